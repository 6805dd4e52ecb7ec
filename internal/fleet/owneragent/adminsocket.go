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
	replyMargin   = time.Second
	dialTimeout   = 2 * time.Second
	maxConcurrent = 8 // connections
)

// adminSocket serves operators at a Unix socket. The accepting goroutine ends with the listener, those of connections with their deadlines.
type adminSocket struct {
	listener net.Listener
	handle   func(Request) Reply
	slots    chan struct{} // holds one value for each connection
}

// listenAdmin serves at a Unix socket that only the user of this process may use.
func listenAdmin(path string, handle func(Request) Reply) (*adminSocket, error) {
	l, err := memberagent.ListenUnix(path)
	if err != nil {
		return nil, err
	}
	s := &adminSocket{listener: l, handle: handle, slots: make(chan struct{}, maxConcurrent)}
	go s.accept()
	return s, nil
}

func (s *adminSocket) close() { s.listener.Close() }

// accept serves each connection; those beyond maxConcurrent are closed at once.
func (s *adminSocket) accept() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		select {
		case s.slots <- struct{}{}:
			go s.serve(c)
		default:
			c.Close()
		}
	}
}

func (s *adminSocket) serve(c net.Conn) {
	defer func() { <-s.slots }()
	defer c.Close()
	c.SetDeadline(time.Now().Add(requestTimeout + replyMargin))
	var q Request
	if json.NewDecoder(c).Decode(&q) != nil {
		json.NewEncoder(c).Encode(Reply{Error: "a request as JSON is expected"})
		return
	}
	json.NewEncoder(c).Encode(s.handle(q))
}

// SendRequest sends a request to a running proxy at its socket.
func SendRequest(socket string, q Request) (Reply, error) {
	var r Reply
	c, err := net.DialTimeout("unix", filepath.Clean(socket), dialTimeout)
	if err != nil {
		return r, err
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(requestTimeout + 2*replyMargin))
	if err := json.NewEncoder(c).Encode(q); err != nil {
		return r, err
	}
	return r, json.NewDecoder(c).Decode(&r)
}
