package cluster

import (
	"errors"
	"fmt"

	"croftlock/internal/dataplane/netio"
)

// errBadStatus is the error for a response whose HTTP status is not 200. The status follows its text.
var errBadStatus = errors.New("status")

// failureReason is the reason in the log why a call to the discovery service failed.
type failureReason int

const (
	connectionFailed  failureReason = iota // the connection was not established, or it broke
	noAnswer                               // no answer came in time
	badStatus                              // the HTTP status is not 200
	malformedResponse                      // the response is not HTTP
	responseTooLarge                       // the head or the body exceeds its limit
	invalidList                            // the response has no valid list
)

// String returns the reason's name in the log.
func (r failureReason) String() string {
	names := [...]string{"connection_failed", "no_answer", "bad_status", "malformed_response", "response_too_large", "invalid_list"}
	if r < 0 || int(r) >= len(names) {
		return fmt.Sprintf("failureReason(%d)", int(r))
	}
	return names[r]
}

// reasonOf returns the reason for a call's error. An error that matches no other reason is one of ParseList.
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
