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
		t.Fatal(err)
	}
	ofCores, ofVoters := 0, 0
	for line := range strings.Lines(string(recorded)) {
		kind, digits, _ := strings.Cut(strings.TrimSpace(line), " ")
		data, err := hex.DecodeString(digits)
		if err != nil {
			t.Fatal(err)
		}
		var encoded []byte
		switch {
		case strings.HasPrefix(kind, "owners-"):
			ofCores++
			m, err := decodeMessage(data)
			if err != nil {
				t.Errorf("decodeMessage of %q: %v", line, err)
				continue
			}
			encoded = m.encode()
		case strings.HasPrefix(kind, "group-memory-"):
			ofVoters++
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
			t.Errorf("recorded message %q decodes and encodes to %x", line, encoded)
		}
	}
	if ofCores == 0 || ofVoters == 0 {
		t.Errorf("%d messages between Cores and %d between voters were checked, want at least one of each", ofCores, ofVoters)
	}
}
