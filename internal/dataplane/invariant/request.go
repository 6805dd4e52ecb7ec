package invariant

import (
	"fmt"
	"time"

	"croftlock/internal/balancer"
)

// answerSlack is how long after the request's deadline, in nanoseconds, an answer still counts. To
// the client, a later answer is no answer.
const answerSlack = int64(500 * time.Millisecond)

// MaxPause is the longest pause of the process that the rules allow for, since the machine may
// suspend the process between a decision and its effect. An action counts as having missed a
// deadline or a dedup window only if it comes more than MaxPause late.
const MaxPause = 150 * time.Millisecond

// Host holds the properties of an upstream host that the rules depend on.
type Host struct {
	ID    string
	State balancer.HostState
	Zone  string
	Cell  int // the host's group of hosts that share a dedup memory with ScopeCell, as discovery numbers it
}

// clientState is the state of a request as its client sees it.
type clientState int

const (
	awaitingAnswer clientState = iota
	answered                   // the client has the final answer, or its open connection has ended in order
	established                // the client has the host's acceptance, and the connection is open
	clientLeft                 // the client or the proxy has closed the connection
)

// String returns the state's name.
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

// Request records the attempts and answers of one request. A Request with only Monitor, ID, Class,
// Deadline and MaxAttempts set represents a request that was just read.
type Request struct {
	Monitor     *Monitor
	ID          string
	Class       *balancer.Class
	Deadline    int64 // ns, on the caller's clock
	MaxAttempts int   // math.MaxInt means no limit
	// Adopted marks a request whose connection was open at its host before this proxy's start. It
	// goes to no other host. The host need not be ready, because a draining host still accepts such
	// a request.
	Adopted bool

	client          clientState
	attemptsBegun   int
	attemptInFlight bool // AttemptBegan was called, and AttemptEnded was not called for that attempt yet
	lineWritten     bool // the first line of the latest attempt has been written completely
	mayHaveRun      bool // an attempt that has ended may have run
	// firstRunAt is the start, in nanoseconds, of the first attempt that may have run. Hosts count
	// the dedup window from it. It is 0 if there is no such attempt. firstRunHost is the host of
	// that attempt.
	firstRunAt   int64
	firstRunHost Host
}
