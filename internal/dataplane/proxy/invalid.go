package proxy

import (
	"errors"
	"fmt"
	"log/slog"
)

// InvalidReason is the reason why a client's input is invalid.
type InvalidReason int

// The reasons for which a client's input is invalid.
const (
	UnknownClass     InvalidReason = iota // the settings do not name the class
	UnknownTenant                         // the settings do not name the tenant
	IDInUse                               // another request has the ID
	MalformedLine                         // a line does not have the protocol's form
	LineTooLong                           // a line is longer than the protocol allows
	FirstLineLate                         // the first line was not complete in time
	SentBeforeAnswer                      // the client sent more before the answer than the proxy buffers
	IDUsed                                // a request with the ID has ended and may have run; another run may do harm
)

// String returns the reason's name in the log.
func (r InvalidReason) String() string {
	names := [...]string{"unknown_class", "unknown_tenant", "id_in_use", "malformed_line", "line_too_long", "first_line_late", "sent_before_answer", "id_used"}
	if r < 0 || int(r) >= len(names) {
		return fmt.Sprintf("InvalidReason(%d)", int(r))
	}
	return names[r]
}

// InvalidRequestError is the error for client input that is not a valid request.
type InvalidRequestError struct {
	Reason InvalidReason
	Value  string // the class, tenant or ID at fault; may be empty
}

// Error returns the reason and the value at fault, if there is one.
func (e *InvalidRequestError) Error() string {
	if e.Value == "" {
		return e.Reason.String()
	}
	return fmt.Sprintf("%s: %q", e.Reason, e.Value)
}

// ReportInvalidRequest counts a client's invalid input, and logs the first one since the counters
// were last logged, which happens every countsInterval.
func (c *Core) ReportInvalidRequest(err error) {
	c.counters.invalid++
	if c.counters.invalid > 1 {
		return
	}
	if invalid := new(InvalidRequestError); errors.As(err, &invalid) {
		slog.Warn("invalid_request", "reason", invalid.Reason, "value", invalid.Value)
		return
	}
	slog.Warn("invalid_request", "reason", err)
}
