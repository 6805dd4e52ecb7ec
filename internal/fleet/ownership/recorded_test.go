package ownership

import (
	"encoding/hex"
	"os"
	"strings"
	"testing"
)

// TestRecordedMessagesRoundTrip: messages that package simulation has recorded decode, and encode to the same bytes.
func TestRecordedMessagesRoundTrip(t *testing.T) {
	recorded, err := os.ReadFile("simulation/testdata/messages.golden")
	if err != nil {
		t.Fatal(err)
	}
	cores, voters := 0, 0
	for line := range strings.Lines(string(recorded)) {
		kind, digits, _ := strings.Cut(strings.TrimSpace(line), " ")
		data, err := hex.DecodeString(digits)
		if err != nil {
			t.Fatal(err)
		}
		var again []byte
		switch {
		case strings.HasPrefix(kind, "owners-"):
			cores++
			m, err := decodeMessage(data)
			if err != nil {
				t.Errorf("%s: %v", line, err)
				continue
			}
			again = m.encode()
		case strings.HasPrefix(kind, "group-memory-"):
			voters++
			name, m, err := decodeQuorumMessage(data)
			if err != nil {
				t.Errorf("%s: %v", line, err)
				continue
			}
			again = m.encode(name)
		default: // of raft
			continue
		}
		if string(again) != string(data) {
			t.Errorf("%s becomes %x", line, again)
		}
	}
	if cores == 0 || voters == 0 {
		t.Errorf("%d messages of cores and %d of voters show nothing", cores, voters)
	}
}
