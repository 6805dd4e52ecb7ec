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

// TestMessageRoundTrip: each message decodes to what was encoded, and a truncated one is malformed.
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
			t.Errorf("%#v decodes to %#v, %v", m, got, err)
		}
		for n := 1; n < len(data); n++ {
			if got, err := decodeMessage(data[:n]); !errors.Is(err, ErrMalformedMessage) {
				t.Errorf("%T truncated to %d of %d bytes: got %#v, %v", m, n, len(data), got, err)
			}
		}
	}
}

// TestQueryKeepsItsBytes: a decoded query holds the bytes received, which the coordinator forwards.
func TestQueryKeepsItsBytes(t *testing.T) {
	data := queryMessage{job: "j", tag: 12, requester: 8, body: []byte("body")}.encode()
	got, err := decodeMessage(data)
	want := queryMessage{job: "j", tag: 12, requester: 8, body: []byte("body"), encoded: data}
	if err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("%#v, %v", got, err)
	}
}

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
			t.Errorf("%s: %v, want %v", c.name, err, c.want)
		}
	}
}

// TestQuorumMessageRoundTrip is TestMessageRoundTrip for the messages between voters.
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
			t.Errorf("%#v decodes to %q %#v, %v", m, name, got, err)
		}
		for n := 1; n < len(data); n++ {
			if _, got, err := decodeQuorumMessage(data[:n]); !errors.Is(err, ErrMalformedMessage) {
				t.Errorf("%T truncated to %d of %d bytes: got %#v, %v", m, n, len(data), got, err)
			}
		}
	}
}

// TestKindNames: each kind has a name of its own, and one of a later version its number.
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
		t.Errorf("%d names for %d kinds: %v", len(names), kinds, names)
	}
	for name, known := range names {
		if !known {
			t.Errorf("%s has no name", name)
		}
	}
	if got := messageKind(99).String(); got != "kind_99" {
		t.Errorf("kind 99 is called %q", got)
	}
}

// TestFailureBackoff: the backoff of a job that fails doubles up to its bound, and starts again from the shortest once the job has not failed for a while.
func TestFailureBackoff(t *testing.T) {
	backoff, now := failureBackoff{}, 100*sec
	for i, want := range []Time{sec, 2 * sec, 4 * sec, 8 * sec, 16 * sec, 32 * sec, 60 * sec, 60 * sec} {
		backoff.recordFailure("j", now)
		if !backoff.blocked("j", now+want-1) || backoff.blocked("j", now+want) || backoff.blocked("k", now) {
			t.Errorf("failure %d: the backoff is not %d s", i+1, want/sec)
		}
		now += want
	}
	now += maxBackoff + 1
	if backoff.recordFailure("j", now); backoff.blocked("j", now+sec) {
		t.Error("the backoff did not start again from the shortest")
	}
}

// TestLogBatches: a batch holds entries up to its bound in bytes, and at least one.
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
			t.Errorf("after %d: %v, want %s", c.after, versions, c.want)
		}
	}
	for range maxUncommitted {
		log.append(MachineNumber, 1, nil)
	}
	if !log.full() || log.hasAllAfter(3) || !log.hasAllAfter(4) {
		t.Errorf("full %t, first entry %d", log.full(), log.entries[0].version)
	}
}

// TestRepliesWithoutBallot: a voter that is no candidate and no leader ignores replies for ballot 0.
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
			t.Errorf("%#v: %v, %+v", m, err, q.candidate)
		}
	}
}
