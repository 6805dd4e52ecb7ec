package invariant

import (
	"fmt"
	"time"

	"croftlock/internal/balancer"
)

// answerSlack is how far past its deadline an answer may be, in nanoseconds: an answer later than this counts as none.
const answerSlack = int64(500 * time.Millisecond)

// MaxPause is the longest process pause that the rules allow for: the machine may keep a process from running between a decision and its
// effect. An action counts as against a deadline or a window only where it comes later than that.
const MaxPause = 150 * time.Millisecond

// Host is what the rules have to know of an upstream host.
type Host struct {
	State balancer.HostState
	Zone  string
	Cell  int
}

// clientState is what a request's client has had so far.
type clientState int

const (
	awaitingAnswer clientState = iota
	answered                   // the final answer, or its open connection has ended in order
	established                // the host's acceptance; the connection is open
	clientLeft                 // the client has ended the connection, or it was ended on this side
)

// String is the state's name.
func (s clientState) String() string {
	switch s {
	case awaitingAnswer:
		return "awaiting_answer"
	case answered:
		return "answered"
	case established:
		return "established"
	case clientLeft:
		return "client_left"
	}
	return fmt.Sprintf("clientState(%d)", int(s))
}

// Request is one request's record. Its zero value with Monitor, ID, Class, Deadline and MaxAttempts set is a request that was just
// read.
type Request struct {
	Monitor     *Monitor
	ID          string
	Class       *balancer.Class
	Deadline    int64 // ns, on the clock of the times that are passed in
	MaxAttempts int
	Adopted     bool // its connection was open at its host before: it goes nowhere else, and a draining host accepts it

	client          clientState
	attemptsBegun   int
	attemptInFlight bool
	lineWritten     bool  // that attempt's first line is written completely
	mayHaveRun      bool  // an attempt that has ended may have run
	firstRunAt      int64 // start of the first attempt that may have run, from which hosts reckon their dedup window; 0: none
	firstRunHost    Host  // its host
}
