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
	Rejected   Answer = "BUSY"
	Failed     Answer = "ERR"
)

// End is how a client's connection ended.
type End string

// The ends that a connection can have.
const (
	Open       End = ""      // it stands
	Migrated   End = "MOVE"  // the proxy has its client migrate
	Finished   End = "BYE"   // its host served it to its end
	Closed     End = "close" // ended in order, without a line
	Reset      End = "reset"
	ClientLeft End = "left" // the client ended it itself
)

// Outcome is what became of a session so far.
type Outcome struct {
	Sent             time.Time // when its first line was written whole; zero: never
	Answer           Answer
	AnsweredAt       time.Time
	End              End
	EndedAt          time.Time
	Lines            int           // lines that came back
	LongestRoundTrip time.Duration // longest time from a line to the line back, of those that came
}

// Request is what a client asks for.
type Request struct {
	Class    string
	Wait     time.Duration // how long the client waits for its answer
	Extra    string        // further values of the first line, such as "again=1"
	Interval time.Duration // how often it sends a line once it is served; 0: never
}

// Session is one client's connection from its first line to its end. Its methods may be called from any goroutine.
type Session struct {
	ID       string
	Request  Request
	InPieces bool // its first line comes in two pieces
	conn     net.Conn
	ended    chan struct{}

	mu              sync.Mutex
	outcome         Outcome
	unansweredLines []time.Time // lines without an answer yet
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
	if s.InPieces {
		fmt.Fprint(s.conn, line[:len(line)/2])
		line = line[len(line)/2:]
		time.Sleep(30 * time.Millisecond)
	}
	s.mu.Lock()
	s.outcome.Sent = time.Now()
	s.mu.Unlock()
	if _, err := fmt.Fprint(s.conn, line+"\r\n"); err != nil {
		s.mu.Lock()
		s.outcome.Sent = time.Time{}
		s.mu.Unlock()
		return err
	}
	return nil
}

// Outcome is what became of it so far.
func (s *Session) Outcome() Outcome {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := s.outcome
	for _, at := range s.unansweredLines {
		if out.End == Open {
			out.LongestRoundTrip = max(out.LongestRoundTrip, time.Since(at))
		}
	}
	return out
}

// Ended is closed once the connection is over.
func (s *Session) Ended() <-chan struct{} { return s.ended }

// Leave ends the connection from the client's side.
func (s *Session) Leave() {
	s.finish(ClientLeft)
	s.conn.Close()
}

// finish records how the connection ended; the first end counts.
func (s *Session) finish(how End) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.outcome.End == Open {
		s.outcome.End, s.outcome.EndedAt = how, time.Now()
		close(s.ended)
	}
}

// read takes every line that comes until the connection ends. A client that is migrated hangs up.
func (s *Session) read() {
	defer s.conn.Close()
	in := bufio.NewReaderSize(s.conn, 512)
	for {
		line, err := in.ReadString('\n')
		if err != nil {
			s.finish(endOf(err))
			return
		}
		if word, _, _ := strings.Cut(strings.TrimSpace(line), " "); !s.receive(word) {
			return
		}
	}
}

// endOf is the end that a read error stands for.
func endOf(err error) End {
	if strings.Contains(err.Error(), "reset") {
		return Reset
	}
	return Closed
}

// receive notes one line, and returns whether more may come.
func (s *Session) receive(word string) bool {
	s.mu.Lock()
	if s.outcome.Answer == Unanswered {
		s.outcome.Answer, s.outcome.AnsweredAt = Answer(word), time.Now()
		s.mu.Unlock()
		if Answer(word) != Served {
			s.finish(Closed)
			return false
		}
		if s.Request.Interval > 0 {
			go s.sendLines()
		}
		return true
	}
	defer s.mu.Unlock()
	switch {
	case s.outcome.End != Open:
		return false // its client has left meanwhile
	case word == string(Migrated) || word == string(Finished):
		s.outcome.End, s.outcome.EndedAt = End(word), time.Now()
		close(s.ended)
		return false
	case word == "GOT" && len(s.unansweredLines) > 0:
		s.outcome.Lines++
		s.outcome.LongestRoundTrip = max(s.outcome.LongestRoundTrip, time.Since(s.unansweredLines[0]))
		s.unansweredLines = s.unansweredLines[1:]
	}
	return true
}

// sendLines sends a line every so often, whatever has come back, until the connection ends.
func (s *Session) sendLines() {
	every := time.NewTicker(s.Request.Interval)
	defer every.Stop()
	for {
		select {
		case <-s.ended:
			return
		case <-every.C:
			s.mu.Lock()
			s.unansweredLines = append(s.unansweredLines, time.Now())
			s.mu.Unlock()
			if _, err := fmt.Fprint(s.conn, "M "+s.ID+"\r\n"); err != nil {
				return // read records how it ended
			}
		}
	}
}
