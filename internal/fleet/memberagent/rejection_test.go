package memberagent

import (
	"errors"
	"fmt"
	"log/slog"
	"testing"

	"croftlock/internal/fleet/membership"
)

// TestRejectionFieldsNameTheReason checks the log fields of each error that rejects a datagram.
func TestRejectionFieldsNameTheReason(t *testing.T) {
	for _, c := range []struct {
		err  error
		want string
	}{
		{membership.ErrMalformed, "[reason malformed]"},
		{membership.ErrOtherVersion, "[reason other_version]"},
		{membership.ErrOtherFleet, "[reason other_fleet]"},
		{membership.ErrUnknownKey, "[reason unknown_key]"},
		{membership.ErrReplay, "[reason replayed]"},
		{&membership.NameInUseError{Name: "n1", Sender: 0xab}, "[reason own_name member 000000ab]"},
		{&membership.NameInUseError{Sender: 0xab}, "[reason name_in_use member 000000ab]"},
		{&membership.RejectedError{Member: 0xab, Reason: 2}, "[reason rejected_by_member member 000000ab member_reason name_in_use]"},
		{errors.New("another"), "[reason unknown]"},
	} {
		if got := fmt.Sprint(rejectionFields(c.err)); got != c.want {
			t.Errorf("rejectionFields(%v) = %s, want %s", c.err, got, c.want)
		}
	}
	if got := slotField(3); !got.Equal(slog.Int("slot", 3)) {
		t.Errorf("slotField(3) = %s, want slot=3", got)
	}
}
