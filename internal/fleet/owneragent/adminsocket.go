package owneragent

import (
	"encoding/json"
	"net"
	"path/filepath"
	"time"

	"croftlock/internal/fleet/memberagent"
	"croftlock/internal/fleet/namespace"
)

// Request is an operator's request at the socket, one a connection.
type Request struct {
	Command        string `json:"do"`          // a command: owners, move, status, add, promote, remove, suspend, resume, list, rules, explain, late
	Argument       string `json:"a,omitempty"` // its first argument
	SecondArgument string `json:"b,omitempty"` // its second

	Rules   []byte             `json:"rules,omitempty"`   // a query to the publisher of rules
	Explain *namespace.Request `json:"explain,omitempty"` // a request, for the rules to explain
}

const (
	// requestTimeout bounds the time of a request.
	requestTimeout = 4 * time.Second
	// replyMargin is what a connection has beyond it, to write the reply.
	replyMargin    = time.Second
	dialTimeout    = 2 * time.Second
	maxConnections = 8 // connections
)

// adminSocket serves operators at a Unix socket. The accepting goroutine ends with the listener, those of connections with their deadlines.
type adminSocket struct {
	listener        net.Listener
	handle          func(Request) Reply
	connectionLimit chan struct{} // holds one value for each connection
}

// listenAdmin serves at a Unix socket that only the user of this process may use.
func listenAdmin(path string, handle func(Request) Reply) (*adminSocket, error) {
	l, err := memberagent.ListenUnix(path)
	if err != nil {
		return nil, err
	}
	s := &adminSocket{listener: l, handle: handle, connectionLimit: make(chan struct{}, maxConnections)}
	go s.accept()
	return s, nil
}

func (s *adminSocket) close() { s.listener.Close() }

// accept serves each connection; those beyond maxConcurrent are closed at once.
func (s *adminSocket) accept() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		select {
		case s.connectionLimit <- struct{}{}:
			go s.serve(conn)
		default:
			conn.Close()
		}
	}
}

func (s *adminSocket) serve(conn net.Conn) {
	defer func() { <-s.connectionLimit }()
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(requestTimeout + replyMargin))
	var request Request
	if json.NewDecoder(conn).Decode(&request) != nil {
		json.NewEncoder(conn).Encode(Reply{Error: "a request as JSON is expected"})
		return
	}
	json.NewEncoder(conn).Encode(s.handle(request))
}

// SendRequest sends a request to a running proxy at its socket.
func SendRequest(socket string, request Request) (Reply, error) {
	var reply Reply
	conn, err := net.DialTimeout("unix", filepath.Clean(socket), dialTimeout)
	if err != nil {
		return reply, err
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(requestTimeout + 2*replyMargin))
	if err := json.NewEncoder(conn).Encode(request); err != nil {
		return reply, err
	}
	return reply, json.NewDecoder(conn).Decode(&reply)
}
