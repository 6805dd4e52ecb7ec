package owneragent

import (
	"encoding/json"
	"net"
	"path/filepath"
	"time"

	"croftlock/internal/dataplane/netio"
	"croftlock/internal/fleet/memberagent"
	"croftlock/internal/fleet/namespace"
)

// Request is an operator's request at the admin socket. A connection carries one request.
type Request struct {
	Command        string `json:"do"`          // a key of adminCommands
	Argument       string `json:"a,omitempty"` // first argument of the command
	SecondArgument string `json:"b,omitempty"` // second argument of the command

	Rules   []byte             `json:"rules,omitempty"`   // query to the publisher of rules, for the command rules
	Explain *namespace.Request `json:"explain,omitempty"` // request to explain, for the command explain
}

const (
	// requestTimeout is how long a request may wait for its result.
	requestTimeout = 4 * time.Second
	// replyMargin is added to requestTimeout for the deadline of a connection, to write the reply.
	replyMargin    = time.Second
	dialTimeout    = 2 * time.Second // for SendRequest to connect
	maxConnections = 8               // served at a time
)

// adminSocket serves operators at a Unix socket. The goroutine that accepts connections ends when
// the listener is closed, and those that serve connections end by their deadlines.
type adminSocket struct {
	listener        net.Listener
	handle          func(Request) Reply
	connectionLimit chan struct{} // holds one value for each connection that is being served
}

// listenAdmin starts to serve a Unix socket that only the user of this process may use, and calls
// listening with it, at once or when no other process serves there any more. stopped reports whether that
// is not needed any more. It must be called on the loop.
func listenAdmin(loop *netio.Loop, path string, handle func(Request) Reply, stopped func() bool, listening func(*adminSocket)) error {
	return memberagent.ListenUnixOnceFree(loop, path, stopped, func(l net.Listener) {
		s := &adminSocket{listener: l, handle: handle, connectionLimit: make(chan struct{}, maxConnections)}
		listening(s)
		go s.accept()
	})
}

func (s *adminSocket) close() { s.listener.Close() }

// accept serves each connection. It closes those beyond maxConnections at once.
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

// serve reads one request from a connection, writes the reply and closes the connection.
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

// SendRequest sends a request to a running proxy at its admin socket and returns the reply. A
// failure of the request itself is reported in Reply.Error.
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
