package netio

import "fmt"

// Stage is how far an attempt to reach a peer has come. What a failure means for a request depends on it alone: up
// to Sending the peer cannot have acted on it, from Sent on it may have.
type Stage int

// The stages, in order.
const (
	Connecting Stage = iota // the connection is not established yet
	Sending                 // it is established, the first line is not completely written
	Sent                    // the first line's last byte is written
	Up                      // the peer has accepted
)

var stageNames = [...]string{"connecting", "sending", "sent", "up"}

// String is the stage's name in the log.
func (s Stage) String() string { return stageNames[s] }

// Cause is why a connection is over.
type Cause int

// The causes.
const (
	Ended        Cause = iota // the peer ended its side in order
	Broken                    // the connection was reset, or the machine says it is dead
	Refused                   // it was never established
	TimedOut                  // it was not established in time
	EndedLocally              // this side ended it: a limit, a fault, or no more use for it
)

var causeNames = [...]string{"ended", "broke", "refused", "expired", "dropped"}

// String is the cause's name in the log.
func (c Cause) String() string { return causeNames[c] }

// Error is the end of a connection, with how far it had come.
type Error struct {
	Stage  Stage
	Cause  Cause
	Detail error // what the system or the parser said; may be nil
}

// Error is why the connection ended, how far it had come, and what the system said.
func (e *Error) Error() string {
	if e.Detail != nil {
		return fmt.Sprintf("%s while %s: %v", e.Cause, e.Stage, e.Detail)
	}
	return fmt.Sprintf("%s while %s", e.Cause, e.Stage)
}

// Text is what the system or the parser said; "" where neither said anything.
func (e *Error) Text() string {
	if e.Detail == nil {
		return ""
	}
	return e.Detail.Error()
}

// Unwrap gives what the system said.
func (e *Error) Unwrap() error { return e.Detail }
