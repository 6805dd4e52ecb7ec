// Package soak runs many proxy processes on loopback while faults overlap, and checks the rules on sockets from outside:
// by what clients were answered and what hosts received. It knows nothing of the program but its protocol and its exit.
package soak

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"sync"
	"time"

	"croftlock/internal/testbed/fake"
)

// Answer is what a client got for its first line.
type Answer string

// The answers that a request can get.
const (
	Unanswered Answer = ""
	Served     Answer = "UP"
	Refused    Answer = "BUSY"
	Failed     Answer = "ERR"
)

// End is how a client's connection ended.
type End string

// The ends that a connection can have.
const (
	Open   End = ""      // it stands
	Moved  End = "MOVE"  // the proxy sent its client away
	Bye    End = "BYE"   // its host served it to its end
	Closed End = "close" // ended in order, without a word
	Reset  End = "reset"
	Left   End = "left" // the client ended it itself
)

// Outcome is what became of a session so far.
type Outcome struct {
	Sent       time.Time // when its first line was written whole; zero: never
	Answer     Answer
	AnsweredAt time.Time
	End        End
	EndedAt    time.Time
	Lines      int           // lines that came back
	Held       time.Duration // longest time from a line to the line back, of those that came
}

// Request is what a client asks for.
type Request struct {
	Class string
	Wait  time.Duration // how long the client waits for its answer
	Extra string        // further values of the first line, such as "again=1"
	Every time.Duration // how often it sends a line once it is served; 0: never
}

// Session is one client's connection from its first line to its end. Its methods may be called from any goroutine.
type Session struct {
	ID      string
	Request Request
	Pieces  bool // its first line comes in two pieces
	conn    net.Conn
	ended   chan struct{}

	mu      sync.Mutex
	out     Outcome
	waiting []time.Time // lines without an answer yet
}

// Dial connects to a proxy and sends nothing yet.
func Dial(proxy string, r Request) (*Session, error) {
	conn, err := net.DialTimeout("tcp", proxy, 2*time.Second)
	if err != nil {
		return nil, err
	}
	s := &Session{ID: fake.NewID(), Request: r, conn: conn, ended: make(chan struct{})}
	go s.read()
	return s, nil
}

// Start connects to a proxy and sends the first line.
func Start(proxy string, r Request) (*Session, error) {
	s, err := Dial(proxy, r)
	if err != nil {
		return nil, err
	}
	return s, s.Ask()
}

// Ask sends the first line.
func (s *Session) Ask() error {
	line := fmt.Sprintf("OPEN %s %s c=%s,d=%d", s.ID, fake.NewID(), s.Request.Class, s.Request.Wait.Milliseconds())
	if s.Request.Extra != "" {
		line += "," + s.Request.Extra
	}
	if s.Pieces {
		fmt.Fprint(s.conn, line[:len(line)/2])
		line = line[len(line)/2:]
		time.Sleep(30 * time.Millisecond)
	}
	s.mu.Lock()
	s.out.Sent = time.Now()
	s.mu.Unlock()
	if _, err := fmt.Fprint(s.conn, line+"\r\n"); err != nil {
		s.mu.Lock()
		s.out.Sent = time.Time{}
		s.mu.Unlock()
		return err
	}
	return nil
}

// Outcome is what became of it so far.
func (s *Session) Outcome() Outcome {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := s.out
	for _, at := range s.waiting {
		if out.End == Open {
			out.Held = max(out.Held, time.Since(at))
		}
	}
	return out
}

// Ended is closed once the connection is over.
func (s *Session) Ended() <-chan struct{} { return s.ended }

// Leave ends the connection from the client's side.
func (s *Session) Leave() {
	s.finish(Left)
	s.conn.Close()
}

func (s *Session) finish(how End) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.out.End == Open {
		s.out.End, s.out.EndedAt = how, time.Now()
		close(s.ended)
	}
}

// read takes every line that comes until the connection ends. A client that is moved hangs up.
func (s *Session) read() {
	defer s.conn.Close()
	in := bufio.NewReaderSize(s.conn, 512)
	for {
		line, err := in.ReadString('\n')
		if err != nil {
			s.finish(endOf(err))
			return
		}
		if word, _, _ := strings.Cut(strings.TrimSpace(line), " "); !s.take(word) {
			return
		}
	}
}

func endOf(err error) End {
	if strings.Contains(err.Error(), "reset") {
		return Reset
	}
	return Closed
}

// take notes one line, and tells whether more may come.
func (s *Session) take(word string) bool {
	s.mu.Lock()
	if s.out.Answer == Unanswered {
		s.out.Answer, s.out.AnsweredAt = Answer(word), time.Now()
		s.mu.Unlock()
		if Answer(word) != Served {
			s.finish(Closed)
			return false
		}
		if s.Request.Every > 0 {
			go s.talk()
		}
		return true
	}
	defer s.mu.Unlock()
	switch {
	case s.out.End != Open:
		return false // its client has left meanwhile
	case word == string(Moved) || word == string(Bye):
		s.out.End, s.out.EndedAt = End(word), time.Now()
		close(s.ended)
		return false
	case word == "GOT" && len(s.waiting) > 0:
		s.out.Lines++
		s.out.Held = max(s.out.Held, time.Since(s.waiting[0]))
		s.waiting = s.waiting[1:]
	}
	return true
}

// talk sends a line every so often, whatever has come back, until the connection ends.
func (s *Session) talk() {
	every := time.NewTicker(s.Request.Every)
	defer every.Stop()
	for {
		select {
		case <-s.ended:
			return
		case <-every.C:
			s.mu.Lock()
			s.waiting = append(s.waiting, time.Now())
			s.mu.Unlock()
			if _, err := fmt.Fprint(s.conn, "M "+s.ID+"\r\n"); err != nil {
				return // read tells how it ended
			}
		}
	}
}
