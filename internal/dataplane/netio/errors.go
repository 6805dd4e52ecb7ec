package netio

import "fmt"

// Stage is the progress of an attempt to reach a peer. It alone determines what a failure means for a
// request: up to Sending the peer cannot have acted on the request, from Sent on it may have.
type Stage int

// The stages, in order.
const (
	Connecting Stage = iota // the connection is not established yet
	Sending                 // the connection is established, the first line is not completely written
	Sent                    // the first line is completely written
	Up                      // the peer has accepted the request
)

var stageNames = [...]string{"connecting", "sending", "sent", "up"}

// String returns the stage's name in the log.
func (s Stage) String() string { return stageNames[s] }

// Cause is the reason why a connection has ended.
type Cause int

// The causes.
const (
	Ended        Cause = iota // the peer ended its side in order; passed to another connection, to end it in order too
	Broken                    // the connection was reset, or the system reports it as dead
	Refused                   // the connection was never established
	TimedOut                  // the connection was not established in time
	EndedLocally              // this side ended the connection: at a limit, for a fault, or because it was not needed any more
)

var causeNames = [...]string{"ended", "broke", "refused", "expired", "dropped"}

// String returns the cause's name in the log.
func (c Cause) String() string { return causeNames[c] }

// Error describes the end of a connection.
type Error struct {
	Stage  Stage
	Cause  Cause
	Detail error // the error of the system or the parser; may be nil
}

// Error returns the cause, the stage and, if it is not nil, the detail.
func (e *Error) Error() string {
	if e.Detail != nil {
		return fmt.Sprintf("%s while %s: %v", e.Cause, e.Stage, e.Detail)
	}
	return fmt.Sprintf("%s while %s", e.Cause, e.Stage)
}

// Text returns the detail's text. It returns "" if there is no detail.
func (e *Error) Text() string {
	if e.Detail == nil {
		return ""
	}
	return e.Detail.Error()
}

// Unwrap returns the detail. It may be nil.
func (e *Error) Unwrap() error { return e.Detail }
