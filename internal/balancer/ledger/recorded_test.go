package ledger

import (
	"bytes"
	"fmt"
	"math/rand"
	"strings"
	"testing"

	"croftlock/internal/testbed/golden"
)

// TestRecordedDecisions checks that the random events of each seed lead to the counts and the choice
// of ledger server in the golden file. The texts passed to golden.Digest and golden.Samples are part
// of the golden files and keep earlier terms.
func TestRecordedDecisions(t *testing.T) {
	const sequences, eventsPerSequence = 200, 1000
	var lines strings.Builder
	for seed := range int64(sequences) {
		rng, digest := rand.New(rand.NewSource(seed)), golden.NewDigest()
		instances := []int{1, 3, 20, 300}[seed%4]
		client, placements := NewClient(instances), NewPlacements()
		now := Time(1e9)
		var sent []uint16 // sequence numbers of queries
		for range eventsPerSequence {
			now += Time(rng.Intn(4e8))
			peer, host, group := rng.Intn(instances), uint32(rng.Intn(12)), uint32(rng.Intn(6))
			switch rng.Intn(10) {
			case 0, 1, 2:
				placements.Add(peer, host, group, rng.Intn(255)-127)
			case 3:
				if rng.Intn(10) == 0 {
					placements.RemovePeer(peer)
				}
			case 4:
				placements.RecordAssignment(host, now)
			case 5:
				request := fmt.Sprint("r", rng.Intn(40))
				query := PendingQuery{Request: request, Group: group, Units: 8, SentAt: now}
				sent = append(sent, client.Register(query))
			case 6:
				client.QueryTimedOut(now, fmt.Sprint("r", rng.Intn(40)))
			case 7:
				if len(sent) == 0 {
					break
				}
				if q := client.RemovePending(sent[rng.Intn(len(sent))]); q != nil {
					digest.Add("answered %s %d %d %d %t", q.Request, q.Group, q.Units, q.SentAt, q.Abandoned)
				}
			case 8:
				digest.Add("heard %t", client.ServerMessageReceived(peer, byte(rng.Intn(3))))
			default:
				digest.Add("look %d", client.ServerToPoll(now))
			}
			load, groups, holds := placements.Load(host, group)
			digest.Add("%d %g %d %t granted %d keeper %d told %t keeps %t", now, load, groups, holds,
				placements.AssignmentsSince(host, now-2e9), client.Server(now), client.ServerReachable(now),
				client.IsServer(peer))
		}
		fmt.Fprintf(&lines, "seed=%d peers=%d %s\n", seed, instances, digest)
	}
	golden.Check(t, "decisions.golden", []byte(lines.String()))
}

// TestRecordedMessages checks that each message has the bytes of the golden file, and that it is
// encoded again as it was decoded.
func TestRecordedMessages(t *testing.T) {
	samples := golden.NewSamples(4)
	for _, m := range []struct {
		kind string
		data []byte
	}{
		{"ask", Query{Seq: 513, Zone: 3, Retry: true, Units: 8,
			Group: GroupID(0x123456789abcdef0)}.Append(nil)},
		{"ask", Query{Seq: 1, Zone: 127, Units: 127, Group: 0xffffff}.Append(nil)},
		{"answer", Reply{Seq: 7, Epoch: 9, Host: 0xdeadbeef}.Append(nil)},
		{"entries", Entry{Host: 0xdeadbeef, Group: 0x123456, Units: -127}.Append(
			Entry{Host: 1, Group: 2, Units: 127}.Append(nil))},
		{"all", Entry{Host: 4, Group: 5, Units: 6}.Append(Sync{}.Append(nil))},
		{"here", Announcement{Epoch: 3}.Append(nil)},
		{"look", Poll{}.Append(nil)},
		{"follow", Follow{}.Append(nil)},
		{"answer", Reply{Seq: 8, Epoch: 9, Host: WithinBudget(0xdeadbeef)}.Append(nil)},
	} {
		samples.Add(m.kind, m.data)
		read, err := Decode(m.data)
		if err != nil {
			t.Errorf("Decode(%x), message %s: %v", m.data, m.kind, err)
		} else if again := read.Append(nil); !bytes.Equal(again, m.data) {
			t.Errorf("message %s: %x is encoded again as %x, expected the same bytes", m.kind, m.data, again)
		}
	}
	golden.Check(t, "messages.golden", samples.Bytes())
}
