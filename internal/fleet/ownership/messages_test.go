package ownership

import (
	"errors"
	"fmt"
	"reflect"
	"testing"
)

var (
	testSender = processID{"a", 7}
	testToken  = FencingToken{Token: 3 << tokensPerEpochBits, Sequence: 300}
)

// TestMessageRoundTrip tests that each message decodes to what was encoded, and that every truncated
// message is malformed.
func TestMessageRoundTrip(t *testing.T) {
	for _, m := range []message{
		leaseRequest{sender: testSender, sequence: 300, eligible: true, epoch: 2, listSequence: 5},
		leaseGranted{sequence: 300, incarnation: 7, epoch: 2, requestsOffer: true},
		leaderRedirect{leader: 1 << 31},
		jobOffer{sender: testSender, jobs: []string{"j", "k"}},
		jobList{incarnation: 7, epoch: 2, sequence: 5, jobs: []listedJob{{"j", 9, 4, true, []byte("checkpoint")}, {"k", 10, 0, false, []byte{}}}},
		jobReleased{testSender, true, "j", 9, 11, 4, []byte("checkpoint"), failedPrefix + "why"},
		storeCheckpoint{"j", 9, 4, []byte("checkpoint")},
		checkpointResult{"j", 9, 4, true},
		effectMessage{"j", testToken, []byte("body")},
		effectAck{"j", testToken, Stale, FencingToken{4 << tokensPerEpochBits, 1}},
		moveRequest{"j", "b", 12},
		moveReply{12, "there is no job"},
		queryReply{12, []byte("body")},
	} {
		data := m.encode()
		if got, err := decodeMessage(data); err != nil || !reflect.DeepEqual(got, m) {
			t.Errorf("decodeMessage(%x) = %#v, %v, want %#v", data, got, err, m)
		}
		for n := 1; n < len(data); n++ {
			if got, err := decodeMessage(data[:n]); !errors.Is(err, ErrMalformedMessage) {
				t.Errorf("%T truncated to %d of %d bytes: decodeMessage = %#v, %v, want %v", m, n, len(data), got, err, ErrMalformedMessage)
			}
		}
	}
}

// TestQueryKeepsItsBytes tests that a decoded query holds the bytes received, which the coordinator
// forwards.
func TestQueryKeepsItsBytes(t *testing.T) {
	data := queryMessage{job: "j", tag: 12, requester: 8, body: []byte("body")}.encode()
	got, err := decodeMessage(data)
	want := queryMessage{job: "j", tag: 12, requester: 8, body: []byte("body"), encoded: data}
	if err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("decodeMessage(%x) = %#v, %v, want %#v", data, got, err, want)
	}
}

// TestInvalidMessages tests that messages with invalid values, or of an unknown kind, are rejected.
func TestInvalidMessages(t *testing.T) {
	for _, c := range []struct {
		name string
		data []byte
		want error
	}{
		{"no incarnation", leaseRequest{sender: processID{"a", 0}}.encode(), errNoIncarnation},
		{"no job", effectMessage{}.encode(), errNoJob},
		{"unknown verdict", effectAck{job: "j", verdict: Stale + 1}.encode(), errUnknownVerdict},
		{"unknown kind", []byte{99}, ErrUnknownMessage},
	} {
		if _, err := decodeMessage(c.data); !errors.Is(err, c.want) {
			t.Errorf("%s: decodeMessage(%x) returned error %v, want %v", c.name, c.data, err, c.want)
		}
	}
}

// TestQuorumMessageRoundTrip tests the messages between voters like TestMessageRoundTrip.
func TestQuorumMessageRoundTrip(t *testing.T) {
	position := logPosition{epoch: 300, version: 9}
	for _, m := range []quorumMessage{
		prepareRequest{ballot: 300},
		prepareReply{ballot: 300, promised: true, position: position},
		leaseProposal{ballot: 310, epoch: 300, round: 3},
		leaseAccepted{epoch: 300, round: 3, position: position},
		leaseRejected{epoch: 300, promised: 400},
		leaseYielded{epoch: 300},
		stateRequest{ballot: 300},
		stateTransfer{term: 300, position: position, snapshot: []byte("state")},
		appendEntries{epoch: 300, entries: []logEntry{{9, 1, MachineNumber, []byte("cmd")}, {10, 2, MachineNumber, []byte("cmd")}}},
		appendAcknowledged{position: position},
	} {
		data := m.encode("g")
		if name, got, err := decodeQuorumMessage(data); err != nil || name != "g" || !reflect.DeepEqual(got, m) {
			t.Errorf("decodeQuorumMessage(%x) = %q, %#v, %v, want %q, %#v", data, name, got, err, "g", m)
		}
		for n := 1; n < len(data); n++ {
			if _, got, err := decodeQuorumMessage(data[:n]); !errors.Is(err, ErrMalformedMessage) {
				t.Errorf("%T truncated to %d of %d bytes: decodeQuorumMessage = %#v, %v, want %v", m, n, len(data), got, err, ErrMalformedMessage)
			}
		}
	}
}

// TestKindNames tests that each kind has a unique name, and that an unknown kind is named by its
// number.
func TestKindNames(t *testing.T) {
	names := map[string]bool{}
	for kind := kindLeaseRequest; kind <= kindQueryReply; kind++ {
		names["message "+kind.String()] = messageKindNames[kind] != ""
	}
	for kind := kindPrepare; kind <= kindLeaseRejected; kind++ {
		names["quorum message "+kind.String()] = quorumMessageKindNames[kind] != ""
	}
	for kind := kindGrant; kind <= kindConfirm; kind++ {
		names["command "+kind.String()] = commandKindNames[kind] != ""
	}
	const kinds = 14 + 10 + 6
	if len(names) != kinds {
		t.Errorf("%d kinds have %d distinct names: %v", kinds, len(names), names)
	}
	for name, known := range names {
		if !known {
			t.Errorf("%s is missing from the names of its kinds", name)
		}
	}
	if got := messageKind(99).String(); got != "kind_99" {
		t.Errorf("messageKind(99).String() = %q, want %q", got, "kind_99")
	}
}

// TestFailureBackoff tests that the backoff of a failing job doubles up to its bound, and starts
// again from the shortest once the job has not failed for maxBackoff after its last backoff ended.
func TestFailureBackoff(t *testing.T) {
	backoff, now := failureBackoff{}, 100*sec
	for i, want := range []Time{sec, 2 * sec, 4 * sec, 8 * sec, 16 * sec, 32 * sec, 60 * sec, 60 * sec} {
		backoff.recordFailure("j", now)
		if !backoff.blocked("j", now+want-1) || backoff.blocked("j", now+want) || backoff.blocked("k", now) {
			t.Errorf("failure %d: want job j, and no other, blocked for %d s; blocked at %d s - 1 ns: %t, at %d s: %t, other job: %t", i+1, want/sec,
				want/sec, backoff.blocked("j", now+want-1), want/sec, backoff.blocked("j", now+want), backoff.blocked("k", now))
		}
		now += want
	}
	const shortest = sec
	now += maxBackoff + 1
	if backoff.recordFailure("j", now); backoff.blocked("j", now+shortest) {
		t.Errorf("the backoff of a failure over %d s after the last backoff ended is longer than the shortest, %d s", maxBackoff/sec, shortest/sec)
	}
}

// TestLogBatches tests that a batch holds entries up to its bound in bytes and at least one entry,
// and that the log drops its oldest entries.
func TestLogBatches(t *testing.T) {
	var log replicatedLog
	log.reset(300, 1)
	for _, size := range []int{5000, 2000, 1000, 2000} {
		log.append(MachineNumber, 1, make([]byte, size))
	}
	for _, c := range []struct {
		after uint64
		want  string
	}{{0, "[1]"}, {1, "[2 3]"}, {2, "[3 4]"}, {3, "[4]"}, {4, "[]"}} {
		versions := []uint64{}
		for _, e := range log.batchAfter(c.after) {
			versions = append(versions, e.version)
		}
		if fmt.Sprint(versions) != c.want {
			t.Errorf("batchAfter(%d) returned versions %v, want %s", c.after, versions, c.want)
		}
	}
	for range maxUncommitted {
		log.append(MachineNumber, 1, nil)
	}
	if !log.full() || log.hasAllAfter(3) || !log.hasAllAfter(4) {
		t.Errorf("after %d more entries: full %t, want true; first entry %d, want 5", maxUncommitted, log.full(), log.entries[0].version)
	}
}

// TestRepliesWithoutBallot tests that a voter that is neither a candidate nor the leader ignores
// replies for ballot 0.
func TestRepliesWithoutBallot(t *testing.T) {
	_, q := newVoterCore(t)
	q.rounds.begin(0)
	for _, m := range []quorumMessage{
		prepareReply{promised: true},
		leaseAccepted{round: q.rounds.last},
		leaseRejected{promised: 1 << 20},
		appendAcknowledged{},
	} {
		if err := q.Receive(1, peerOf("b"), m.encode("g")); err != nil || q.leads() || q.candidate.ballot != 0 || len(q.log.acknowledged) > 0 {
			t.Errorf("after %#v: error %v, leads %t, candidate %+v, %d voters acknowledged; want no effect", m, err, q.leads(), q.candidate, len(q.log.acknowledged))
		}
	}
}
