package consensus

import (
	"bytes"
	"testing"

	"go.etcd.io/raft/v3/raftpb"

	"croftlock/internal/fleet/encoding"
)

// kindAndBody splits a message into its kind and body, as Receive does.
func kindAndBody(t *testing.T, data []byte) (kind uint64, body encoding.Reader) {
	t.Helper()
	r := encoding.Reader{Data: data}
	kind = r.Uint()
	return kind, r
}

// TestMessagesRoundTrip checks that each kind of message decodes to what was encoded, and that a
// raft message of another group is rejected.
func TestMessagesRoundTrip(t *testing.T) {
	h := hello{group: "g", name: "a", replica: 1 << 40, starts: 300, incarnation: 1 << 63}
	kind, body := kindAndBody(t, h.encode())
	if got, err := decodeHello(body); err != nil || kind != kindHello || got != h {
		t.Errorf("decoded hello = kind %d, %+v, error %v, want kind %d, %+v", kind, got, err, kindHello, h)
	}
	m := welcome{group: "g", replica: 7, hasGroup: true, start: StartRecord{Starts: 2, Incarnation: 3}, received: provenState{4, 5, 6}}
	kind, body = kindAndBody(t, m.encode())
	if got, err := decodeWelcome(body); err != nil || kind != kindWelcome || got != m {
		t.Errorf("decoded welcome = kind %d, %+v, error %v, want kind %d, %+v", kind, got, err, kindWelcome, m)
	}
	sent := raftpb.Message{Type: raftpb.MsgApp, From: 1, To: 2, Term: 3}
	data, err := encodeRaft("g", &sent)
	if err != nil {
		t.Fatal(err)
	}
	kind, body = kindAndBody(t, data)
	if got, err := decodeRaft(body, "g"); err != nil || kind != kindRaft || got.Term != 3 {
		t.Errorf("decoded raft message = kind %d, %+v, error %v, want kind %d, %+v", kind, got, err, kindRaft, sent)
	}
	if _, err := decodeRaft(body, "other"); err != ErrInvalidRaftMessage {
		t.Errorf("decodeRaft of a message of another group returned %v, want %v", err, ErrInvalidRaftMessage)
	}
	p := proposal{tag: 9, machine: 1, command: []byte("x")}
	if got, err := decodeProposal(p.encode()); err != nil || got.tag != 9 || got.machine != 1 || !bytes.Equal(got.command, p.command) {
		t.Errorf("decodeProposal = %+v, %v, want %+v", got, err, p)
	}
}

// TestTruncatedMessagesAreRejected checks that no truncated hello or welcome decodes.
func TestTruncatedMessagesAreRejected(t *testing.T) {
	for name, c := range map[string]struct {
		data   []byte
		decode func(encoding.Reader) error
	}{
		"hello":   {hello{group: "g", name: "a"}.encode(), func(r encoding.Reader) error { _, err := decodeHello(r); return err }},
		"welcome": {welcome{group: "g"}.encode(), func(r encoding.Reader) error { _, err := decodeWelcome(r); return err }},
	} {
		for n := 1; n < len(c.data); n++ {
			if _, body := kindAndBody(t, c.data[:n]); c.decode(body) == nil {
				t.Errorf("decoding a %s truncated to %d of %d bytes returned no error", name, n, len(c.data))
			}
		}
	}
}

// TestStaleCause checks that staleCause detects each kind of state that another process has
// received and that the store does not contain.
func TestStaleCause(t *testing.T) {
	c := &Core{identity: Identity{ID: 1, Starts: 4}, incarnation: 11}
	c.recovered.HardState.Term = 5
	c.recovered.Entries = []raftpb.Entry{{Index: 20, Term: 5}}
	own := StartRecord{Starts: 4, Incarnation: 11}
	for _, test := range []struct {
		name string
		m    welcome
		want staleCause
	}{
		{"the same start and log", welcome{start: own, received: provenState{5, 5, 20}}, storeCurrent},
		{"an earlier start and less of the log", welcome{start: StartRecord{3, 9}, received: provenState{4, 4, 10}}, storeCurrent},
		{"a later start", welcome{start: StartRecord{5, 11}}, laterStart},
		{"the same start of another process", welcome{start: StartRecord{4, 12}}, laterStart},
		{"a later term", welcome{start: own, received: provenState{6, 0, 0}}, laterTerm},
		{"more of the log", welcome{start: own, received: provenState{5, 5, 21}}, longerLog},
		{"more of a log that was overwritten", welcome{start: own, received: provenState{5, 4, 21}}, storeCurrent},
	} {
		if got := c.staleCause(test.m); got != test.want {
			t.Errorf("%s: staleCause(%+v) = %v, want %v", test.name, test.m, got, test.want)
		}
	}
}
