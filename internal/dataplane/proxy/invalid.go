package proxy

import (
	"errors"
	"fmt"
	"log/slog"
)

// InvalidReason is what is wrong with what a client sent.
type InvalidReason int

// The reasons.
const (
	UnknownClass     InvalidReason = iota // the settings do not name the class
	UnknownTenant                         // nor the tenant
	IDInUse                               // another request has the ID
	MalformedLine                         // not in the protocol's form
	LineTooLong                           // longer than any line may be
	FirstLineLate                         // the first line was not complete in time
	SentBeforeAnswer                      // more came before the answer than is buffered
)

// String is the reason's name in the log.
func (r InvalidReason) String() string {
	names := [...]string{"unknown_class", "unknown_tenant", "id_in_use", "malformed_line", "line_too_long", "first_line_late", "sent_before_answer"}
	if r < 0 || int(r) >= len(names) {
		return fmt.Sprintf("InvalidReason(%d)", int(r))
	}
	return names[r]
}

// InvalidRequestError says why what a client sent is not a request that can be served.
type InvalidRequestError struct {
	Reason InvalidReason
	Value  string // the class, tenant or ID at fault; "": none
}

// Error is the reason, with the value at fault.
func (e *InvalidRequestError) Error() string {
	if e.Value == "" {
		return e.Reason.String()
	}
	return fmt.Sprintf("%s: %q", e.Reason, e.Value)
}

// ReportInvalidRequest counts what a client sent that is not a request, and logs the first of a log interval.
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
