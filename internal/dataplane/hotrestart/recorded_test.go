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

// fullState has a value of its own in every field of what one process leaves to the next.
func fullState() *proxy.Snapshot {
	return &proxy.Snapshot{At: 900, Discovery: "127.0.0.1:1", Revision: 7, Suspended: []maintenance.Suspension{{ID: "b", Since: 5}}, KnownHosts: []string{"a", "b"},
		Hosts: []proxy.HostEntry{{Address: "127.0.0.1:2", ListedHost: balancer.ListedHost{ID: "a", State: balancer.Draining, Zone: "z", Kind: "k", Cell: 3, Weight: 1.5, StartedAt: 4}}},
		Balancer: balancer.Snapshot{Started: 1, RateAt: 2, Rate: 3.5, Fresh: 4.5, MeanCost: 5.5, ClassCost: []float64{6.5, 7.5},
			Servers: []balancer.HostSnapshot{{ID: "a", Since: 8, Fails: 9, Until: 910, FailedAt: 11, Ill: 0.125, Delay: 0.25, IllAt: 14, DelayAt: 15, Tokens: 16.5, TokensAt: 17, Passed: 918}}}}
}

// fullStanding has a value of its own in every field of a connection that is handed over.
func fullStanding() *proxy.HandedOverConnection {
	return &proxy.HandedOverConnection{Request: balancer.Request{ID: "r", Class: 1, Tenant: 2, Key: "k", Group: "g", ExpectedLoad: 3.5, Retry: true, MidFlow: true, Returned: true, Remaining: 4},
		Class: "c", Tenant: "t", Host: "h", Load: 5.5, UnansweredSince: []int64{6, 7}, LastKind: proxy.LoadReported,
		Down: netio.Parts{FD: 8, In: []byte("in"), Rest: []byte("rest")}, Up: netio.Parts{FD: 9, In: []byte("up"), Rest: []byte("more")}}
}

// TestRecordedStateFile: the state file has the bytes that it had, and a file of then is read.
func TestRecordedStateFile(t *testing.T) {
	data, err := encode(fullState())
	if err != nil {
		t.Fatal(err)
	}
	golden.Check(t, "croftlock.state", data)
	got, err := decode(golden.Read(t, "croftlock.state"), 1000)
	if err != nil || !reflect.DeepEqual(got, fullState()) {
		t.Errorf("read %+v, %v", got, err)
	}
}

// TestRecordedMessages: what two processes of a proxy tell one another has the bytes that it had, and messages of then are read.
func TestRecordedMessages(t *testing.T) {
	messages := []message{
		{Kind: kindAsk, Listen: "127.0.0.1:3"},
		{Kind: kindWelcome, Kept: fullState(), Datagram: true},
		{Kind: kindNo, Reason: "why"},
		{Kind: kindTake},
		{Kind: kindTaken, Kept: fullState()},
		{Kind: kindByHand, ID: "b", Out: true},
		{Kind: kindListed, Kept: fullState()},
		{Kind: kindSessions, Sessions: 12},
		{Kind: kindStanding, Standing: fullStanding()},
	}
	var lines []byte
	for _, m := range messages {
		body, err := json.Marshal(&m)
		if err != nil {
			t.Fatal(err)
		}
		lines = append(append(lines, body...), '\n')
	}
	golden.Check(t, "messages.golden", lines)
	for i, line := range bytes.Split(bytes.TrimSpace(golden.Read(t, "messages.golden")), []byte("\n")) {
		var got message
		if err := json.Unmarshal(line, &got); err != nil || !reflect.DeepEqual(got, messages[i]) {
			t.Errorf("%s is read as %+v, %v", line, got, err)
		}
	}
}
