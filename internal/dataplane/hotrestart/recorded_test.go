package hotrestart

import (
	"bytes"
	"encoding/json"
	"reflect"
	"testing"

	"croftlock/internal/balancer"
	"croftlock/internal/dataplane/netio"
	"croftlock/internal/dataplane/proxy"
	"croftlock/internal/operations/maintenance"
	"croftlock/internal/testbed/golden"
)

// fullSnapshot returns a snapshot with a distinct value in every field.
func fullSnapshot() *proxy.Snapshot {
	return &proxy.Snapshot{WrittenAt: 900, Discovery: "127.0.0.1:1", Revision: 7, Suspended: []maintenance.Suspension{{ID: "b", Since: 5}}, KnownHosts: []string{"a", "b"},
		Hosts: []proxy.HostEntry{{Address: "127.0.0.1:2", ListedHost: balancer.ListedHost{ID: "a", State: balancer.Draining, Zone: "z", Kind: "k", Cell: 3, Weight: 1.5, StartedAt: 4}}},
		Balancer: balancer.Snapshot{Started: 1, RateAt: 2, Rate: 3.5, Fresh: 4.5, MeanCost: 5.5, ClassCost: []float64{6.5, 7.5},
			Servers: []balancer.HostSnapshot{{ID: "a", Since: 8, Fails: 9, Until: 910, FailedAt: 11, Ill: 0.125, Delay: 0.25, IllAt: 14, DelayAt: 15, Tokens: 16.5, TokensAt: 17, Passed: 918}}}}
}

// fullConnection returns a connection to hand over with a distinct value in every field.
func fullConnection() *proxy.HandedOverConnection {
	return &proxy.HandedOverConnection{Request: balancer.Request{ID: "r", Class: 1, Tenant: 2, Key: "k", Group: "g", ExpectedLoad: 3.5, Retry: true, MidFlow: true, Returned: true, Remaining: 4},
		Class: "c", Tenant: "t", Host: "h", Load: 5.5, UnansweredSince: []int64{6, 7}, LastKind: proxy.LoadReported,
		Downstream: netio.ReleasedConn{FD: 8, Input: []byte("in"), Unsent: []byte("rest")}, Upstream: netio.ReleasedConn{FD: 9, Input: []byte("up"), Unsent: []byte("more")}}
}

// TestRecordedStateFile checks that the state file is written byte for byte as in the golden file, and
// that the golden file can be read.
func TestRecordedStateFile(t *testing.T) {
	data, err := encodeState(fullSnapshot())
	if err != nil {
		t.Fatal(err)
	}
	golden.Check(t, "croftlock.state", data)
	got, err := decodeState(golden.Read(t, "croftlock.state"), 1000)
	if err != nil || !reflect.DeepEqual(got, fullSnapshot()) {
		t.Errorf("decodeState(golden file) = %+v, %v, want %+v", got, err, fullSnapshot())
	}
}

// TestRecordedMessages checks that the messages between two processes are written byte for byte as in
// the golden file, and that the recorded messages can be read.
func TestRecordedMessages(t *testing.T) {
	messages := []message{
		handoverRequest{listen: "127.0.0.1:3", protocol: protocolVersion},
		welcome{Handoff{Snapshot: fullSnapshot(), ListenerFD: 8, DatagramFD: 9}, protocolVersion},
		rejection{reason: "why"},
		takeOver{},
		takenOver{snapshot: fullSnapshot()},
		hostSuspended{hostID: "b", suspended: true},
		listChanged{snapshot: fullSnapshot()},
		downstreamCount{count: 12, accounts: map[string]int{"a": 1}},
		connection{fullConnection()},
		idQuestion{requestID: "r"},
		idAnswer{requestID: "r", status: proxy.IDStatus{InUse: true}},
		idAnswer{requestID: "r", status: proxy.IDStatus{Run: &balancer.EarlierRun{HostID: "h", At: 7}}},
	}
	var lines []byte
	for _, m := range messages {
		e := m.envelope()
		body, err := json.Marshal(&e)
		if err != nil {
			t.Fatal(err)
		}
		lines = append(append(lines, body...), '\n')
	}
	golden.Check(t, "messages.golden", lines)
	for i, line := range bytes.Split(bytes.TrimSpace(golden.Read(t, "messages.golden")), []byte("\n")) {
		var e envelope
		if err := json.Unmarshal(line, &e); err != nil || !reflect.DeepEqual(e, messages[i].envelope()) {
			t.Errorf("Unmarshal(%s) = %+v, %v, want %+v", line, e, err, messages[i].envelope())
		}
		if got := decode(&e, messages[i].descriptors()); !reflect.DeepEqual(got, messages[i]) {
			t.Errorf("decode(%s) = %+v, want %+v", line, got, messages[i])
		}
	}
}

// TestMessagesOfEarlierBuild checks that a request and a handover of a build without questions about IDs
// are read, and that this build does not ask such a process.
func TestMessagesOfEarlierBuild(t *testing.T) {
	request, isRequest := decode(&envelope{Kind: kindRequest, Listen: "127.0.0.1:3"}, nil).(handoverRequest)
	if !isRequest || newPartner(nil, request.protocol).AnswersIDQuestions() {
		t.Errorf("the request of an earlier build is read as %+v, %t, want one whose sender answers no questions", request, isRequest)
	}
	reply, isWelcome := decode(&envelope{Kind: kindWelcome, Snapshot: sampleSnapshot()}, []int{1 << 20}).(welcome)
	if !isWelcome || newPartner(nil, reply.protocol).AnswersIDQuestions() || len(reply.Snapshot.OpenIDs) > 0 {
		t.Errorf("the handover of an earlier build is read as %+v, %t, want one whose sender answers no questions", reply, isWelcome)
	}
}

// TestUnexpectedMessages checks that a message that lacks a required part, or has an unknown kind, is
// decoded as unexpectedMessage.
func TestUnexpectedMessages(t *testing.T) {
	for _, e := range []envelope{{Kind: "later"}, {Kind: kindWelcome}, {Kind: kindWelcome, Snapshot: fullSnapshot()}, {Kind: kindConnection}, {Kind: kindConnection, Connection: fullConnection()}} {
		if m, ok := decode(&e, nil).(unexpectedMessage); !ok || m.kind != e.Kind {
			t.Errorf("decode(%+v) = unexpectedMessage %t of kind %q, want true of kind %q", e, ok, m.kind, e.Kind)
		}
	}
}
