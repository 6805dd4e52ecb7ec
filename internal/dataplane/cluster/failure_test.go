package cluster

import (
	"fmt"
	"testing"
	"time"

	"croftlock/internal/dataplane/netio"
)

// Each kind of failure has its own reason in the log.
func TestFailureReasons(t *testing.T) {
	_, listError := ParseList([]byte(`{"targets": []}`))
	_, tooLarge := parseResponse(make([]byte, maxHeadBytes+1), false)
	for _, c := range []struct {
		err  error
		want string
	}{
		{&netio.Error{Cause: netio.Refused}, "connection_failed"},
		{fmt.Errorf("%w in %v", errSilent, time.Second), "no_answer"},
		{fmt.Errorf("%w %d", errBadStatus, 503), "bad_status"},
		{fmt.Errorf("chunk: %w", errMalformed), "malformed_response"},
		{tooLarge, "response_too_large"},
		{listError, "invalid_list"},
	} {
		if c.err == nil || reasonOf(c.err).String() != c.want {
			t.Errorf("reasonOf(%v) = %s, want %s", c.err, reasonOf(c.err), c.want)
		}
	}
}
