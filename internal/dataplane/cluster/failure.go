package cluster

import (
	"errors"
	"fmt"

	"croftlock/internal/dataplane/netio"
)

// errBadStatus is a response with another status than 200.
var errBadStatus = errors.New("status")

// failureReason is why a call on discovery failed, for the log.
type failureReason int

const (
	connectionFailed  failureReason = iota // not established, or broken
	noAnswer                               // not answered in time
	badStatus                              // another HTTP status than 200
	malformedResponse                      // not HTTP
	responseTooLarge                       // beyond what is buffered
	invalidList                            // a response with a list that cannot be used
)

// String is the reason's name in the log.
func (r failureReason) String() string {
	names := [...]string{"connection_failed", "no_answer", "bad_status", "malformed_response", "response_too_large", "invalid_list"}
	if r < 0 || int(r) >= len(names) {
		return fmt.Sprintf("failureReason(%d)", int(r))
	}
	return names[r]
}

// reasonOf finds the reason in a call's error. What none of the others caused is the list's.
func reasonOf(err error) failureReason {
	var connection *netio.Error
	switch {
	case errors.As(err, &connection):
		return connectionFailed
	case errors.Is(err, errSilent):
		return noAnswer
	case errors.Is(err, errBadStatus):
		return badStatus
	case errors.Is(err, errMalformed):
		return malformedResponse
	case errors.Is(err, errTooLarge):
		return responseTooLarge
	}
	return invalidList
}
