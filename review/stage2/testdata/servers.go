package main

import (
	"bufio"
	"fmt"
	"net"
	"regexp"
	"strings"
	"sync"
	"time"
)

// firstLine is the form of a first line that a client sends.
var firstLine = regexp.MustCompile(`^OPEN [0-9a-f]{16} [0-9a-f]{16} [A-Za-z0-9_.:=,+-]+\r\n$`)

// attempt is a first line that came to a server.
type attempt struct {
	at     time.Time // of its first byte
	server string
	id     string
	answer string
}

// server is a catalogue server.
type server struct {
	s    *stage
	uid  string
	addr string
	zone string

	mu       sync.Mutex
	listener net.Listener
	draining bool
	open     map[net.Conn]bool
	attempts []attempt
	count    int
}

func newServer(s *stage, uid string) *server {
	v := &server{s: s, uid: uid, addr: s.freeAddr(), zone: "kathmandu", open: map[net.Conn]bool{}}
	v.listen()
	s.onEnd(v.crash)
	return v
}

func (v *server) listen() {
	l, err := net.Listen("tcp", v.addr)
	if err != nil {
		v.s.cannotRun("server %s: %v", v.uid, err)
	}
	v.mu.Lock()
	v.listener = l
	v.mu.Unlock()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go v.serve(c)
		}
	}()
}

// crash ends the server as a process that dies does: its connections are reset.
func (v *server) crash() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.listener.Close()
	for c := range v.open {
		c.(*net.TCPConn).SetLinger(0)
		c.Close()
	}
}

// restart starts the server again after a crash, at the same address.
func (v *server) restart() {
	v.mu.Lock()
	v.open, v.draining = map[net.Conn]bool{}, false
	v.mu.Unlock()
	v.listen()
}

// entry returns the server's entry in the list.
func (v *server) entry(state string) host {
	return host{UID: v.uid, Endpoint: v.addr, Zone: v.zone, Model: "type-a", State: state, Weight: 1}
}

// drain makes the server refuse what is new and send its clients away.
func (v *server) drain() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.draining = true
	for c := range v.open {
		c.Write([]byte("MOVE\r\n"))
		c.Close()
	}
}

// serve handles one connection.
func (v *server) serve(c net.Conn) {
	defer c.Close()
	v.mu.Lock()
	v.open[c] = false
	v.mu.Unlock()
	defer func() {
		v.mu.Lock()
		delete(v.open, c)
		v.mu.Unlock()
	}()
	in := bufio.NewReaderSize(c, 4096)
	if _, err := in.Peek(1); err != nil {
		return
	}
	at := time.Now()
	line, err := in.ReadString('\n')
	if err != nil {
		return
	}
	if !firstLine.MatchString(line) {
		v.s.say("SYNTAX at %s: %q", v.uid, line)
		fmt.Fprint(c, "SYNTAX\r\n")
		return
	}
	a := attempt{at: at, server: v.uid, id: strings.Fields(line)[1]}
	v.mu.Lock()
	v.count++
	a.answer = fmt.Sprintf("UP %s-%d", v.uid, v.count)
	if v.draining {
		a.answer = "BUSY"
	}
	v.attempts = append(v.attempts, a)
	v.mu.Unlock()
	v.s.noteAt(at, "attempt %s at %s: %s", a.id, v.uid, a.answer)
	fmt.Fprintf(c, "%s\r\n", a.answer)
	if a.answer == "BUSY" {
		return
	}
	for {
		line, err := in.ReadString('\n')
		if err != nil {
			return
		}
		if _, err := fmt.Fprintf(c, "RE %s", line); err != nil {
			return
		}
	}
}

// since returns the attempts that came after t.
func (v *server) since(t time.Time) (after []attempt) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, a := range v.attempts {
		if a.at.After(t) {
			after = append(after, a)
		}
	}
	return after
}
