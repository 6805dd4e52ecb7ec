package ownership

import (
	"encoding/hex"
	"os"
	"strings"
	"testing"
)

// TestRecordedMessagesRoundTrip tests that messages recorded by package simulation decode, and
// encode to the same bytes.
func TestRecordedMessagesRoundTrip(t *testing.T) {
	recorded, err := os.ReadFile("simulation/testdata/messages.golden")
	if err != nil {
		t.Fatalf("recorded messages: %v", err)
	}
	coreMessages, voterMessages := 0, 0
	for line := range strings.Lines(string(recorded)) {
		kind, digits, _ := strings.Cut(strings.TrimSpace(line), " ")
		data, err := hex.DecodeString(digits)
		if err != nil {
			t.Fatalf("recorded message %q: %v", line, err)
		}
		var encoded []byte
		switch {
		case strings.HasPrefix(kind, "owners-"):
			coreMessages++
			m, err := decodeMessage(data)
			if err != nil {
				t.Errorf("decodeMessage of %q: %v", line, err)
				continue
			}
			encoded = m.encode()
		case strings.HasPrefix(kind, "group-memory-"):
			voterMessages++
			name, m, err := decodeQuorumMessage(data)
			if err != nil {
				t.Errorf("decodeQuorumMessage of %q: %v", line, err)
				continue
			}
			encoded = m.encode(name)
		default: // a message between voters with disks, which package consensus encodes
			continue
		}
		if string(encoded) != string(data) {
			t.Errorf("recorded message %q was decoded and encoded to %x, want the recorded bytes", line, encoded)
		}
	}
	if coreMessages == 0 || voterMessages == 0 {
		t.Errorf("%d messages between Cores and %d between voters were checked, want at least one of each", coreMessages, voterMessages)
	}
}
