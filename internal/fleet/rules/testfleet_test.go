package rules

import (
	"errors"
	"strings"
	"testing"
	"time"

	"croftlock/internal/fleet/jobs"
	"croftlock/internal/fleet/namespace"
)

const (
	ms            = Time(1e6)
	leaseDuration = 1000 * ms
)

// testFleet simulates a publisher and its members in virtual time. Tests can delay or lose their
// messages, and each member's clock has its own rate. It also is the publisher's jobs.Owner.
type testFleet struct {
	t                  *testing.T
	now                Time
	publisher          *Publisher
	members            map[uint32]*Member
	clockRate          map[uint32]float64 // by peer ID; 1 means no drift
	isolated           map[uint32]bool    // by peer ID: the member's messages are lost in both directions
	losesReplies       map[uint32]bool    // by peer ID: the publisher's replies to the member are lost
	checkpointsFail    bool               // the group stores no checkpoint
	answers            []string           // to administrators, whose peer ID is 0; the last is the newest
	pendingCheckpoints []func()           // confirm the checkpoints that the group is storing
	checkpoint         []byte             // the last checkpoint that the group has stored
	observations       []observation
	delayedReplies     []func()  // deliver the replies that are delayed
	delayReplies       bool      // replies to members are added to delayedReplies
	recorder           *recorder // nil if messages are not recorded
}

// observation is the version that a member acted by at one time.
type observation struct {
	at     Time
	member uint32
	number uint64
	lapsed bool
}

// SendEffect notifies a member immediately, unless the member is isolated.
func (fleet *testFleet) SendEffect(to uint32, _ uint64, body []byte) {
	fleet.recorder.add("do", body)
	if !fleet.isolated[to] {
		fleet.members[to].NotificationReceived(fleet.clock(to))
	}
}

// StoreCheckpoint stores a checkpoint and confirms it in the next step of run.
func (fleet *testFleet) StoreCheckpoint(number uint64, checkpoint []byte) error {
	if fleet.checkpointsFail {
		return errors.New("the lease of the job has ended")
	}
	fleet.recorder.add("note", checkpoint)
	fleet.pendingCheckpoints = append(fleet.pendingCheckpoints, func() {
		fleet.checkpoint = checkpoint
		fleet.publisher.CheckpointStored(fleet.now, number, true)
	})
	return nil
}

// Reply records an answer to an administrator, or delivers a reply to a member unless it is lost or
// delayed.
func (fleet *testFleet) Reply(to uint32, tag uint64, body []byte) {
	fleet.recorder.add("answer", body)
	if to == 0 {
		fleet.answers = append(fleet.answers, string(body))
		return
	}
	if fleet.isolated[to] || fleet.losesReplies[to] {
		return
	}
	deliver := func() { fleet.members[to].ReplyReceived(fleet.clock(to), tag, body) }
	if fleet.delayReplies {
		fleet.delayedReplies = append(fleet.delayedReplies, deliver)
		return
	}
	deliver()
}

// Members returns all members. Isolated ones are not present.
func (fleet *testFleet) Members() (all []jobs.Member) {
	for i := uint32(1); i <= uint32(len(fleet.members)); i++ {
		all = append(all, jobs.Member{Name: string(rune('a' + i - 1)), Peer: i, Present: !fleet.isolated[i]})
	}
	return all
}

// clock returns the time on the clock of member i, which has another origin than fleet.now and runs
// at clockRate[i].
func (fleet *testFleet) clock(i uint32) Time {
	return 5e15 + Time(float64(fleet.now)*fleet.clockRate[i])
}

// newTestFleet returns a fleet with n members, named a, b, c and so on, with peer IDs from 1 on. They
// have leases for version 0, and their clocks do not drift. The fleet has run for two lease durations
// of virtual time.
func newTestFleet(t *testing.T, n uint32) *testFleet {
	t.Helper()
	fleet := &testFleet{t: t, now: 1e9, members: map[uint32]*Member{}, clockRate: map[uint32]float64{}, isolated: map[uint32]bool{}, losesReplies: map[uint32]bool{}}
	fleet.restartPublisher()
	for i := uint32(1); i <= n; i++ {
		fleet.clockRate[i] = 1
		enforcer := &Enforcer{Now: func() Time { return fleet.clock(i) }, LapsedRetryAfter: time.Second}
		fleet.members[i] = &Member{LeaseDuration: leaseDuration, Enforcer: enforcer, SendQuery: func(tag uint64, body []byte) {
			fleet.recorder.add("ask", body)
			if !fleet.isolated[i] {
				fleet.publisher.QueryReceived(fleet.now, i, tag, body)
			}
		}}
	}
	fleet.run(2 * leaseDuration)
	return fleet
}

// restartPublisher replaces the publisher by one that continues from the last stored checkpoint.
func (fleet *testFleet) restartPublisher() {
	fleet.publisher, fleet.pendingCheckpoints = &Publisher{LeaseDuration: leaseDuration}, nil
	if err := fleet.publisher.Start(fleet.now, fleet, 1, 1, fleet.checkpoint); err != nil {
		fleet.t.Fatalf("Start from a checkpoint of %d bytes: %v", len(fleet.checkpoint), err)
	}
}

// deliverDelayedReplies delivers the delayed replies and ends the delay.
func (fleet *testFleet) deliverDelayedReplies() {
	delayed := fleet.delayedReplies
	fleet.delayedReplies, fleet.delayReplies = nil, false
	for _, deliver := range delayed {
		deliver()
	}
}

// run advances the virtual time by d in steps of 20 ms, and records an observation of each member at
// each step.
func (fleet *testFleet) run(d Time) {
	for end := fleet.now + d; fleet.now < end; fleet.now += 20 * ms {
		pending := fleet.pendingCheckpoints
		fleet.pendingCheckpoints = nil
		for _, confirm := range pending {
			confirm()
		}
		fleet.publisher.Step(fleet.now)
		for i := uint32(1); i <= uint32(len(fleet.members)); i++ {
			fleet.members[i].Step(fleet.clock(i))
			v := fleet.members[i].Enforcer.Evaluate(anyRequest)
			fleet.observations = append(fleet.observations, observation{fleet.now, i, v.Version, v.Lapsed})
		}
	}
}

// proposeOperators proposes the operators' part of v against version baseVersion, as an operator
// does.
func (fleet *testFleet) proposeOperators(v *Version, baseVersion uint64) {
	fleet.publisher.QueryReceived(fleet.now, 0, 1, EncodeProposal(NewOperatorsChange(v, baseVersion, nil)))
}

// lastAnswer returns the last answer to an administrator, or "" if there is none.
func (fleet *testFleet) lastAnswer() string {
	if len(fleet.answers) == 0 {
		return ""
	}
	return fleet.answers[len(fleet.answers)-1]
}

// expectAnswer fails the test unless the last answer to an administrator starts with prefix.
func (fleet *testFleet) expectAnswer(prefix string) {
	fleet.t.Helper()
	if !strings.HasPrefix(fleet.lastAnswer(), prefix) {
		fleet.t.Fatalf("the last answer is %q, want one that starts with %q", fleet.lastAnswer(), prefix)
	}
}

// expectOverlapWithin checks the package's guarantee: no two versions are in use at the same time
// for longer than bound, in nanoseconds.
func (fleet *testFleet) expectOverlapWithin(bound Time) {
	fleet.t.Helper()
	if o := fleet.longestOverlap(); o > bound {
		fleet.t.Errorf("two versions were in use at the same time for %d ms, want at most %d ms", o/ms, bound/ms)
	}
}

// longestOverlap returns the longest time for which two versions were in use: from the first use of
// the newer one to the last use of the older one.
func (fleet *testFleet) longestOverlap() (longest Time) {
	firstUse := map[uint64]Time{}
	newest := uint64(0)
	for _, o := range fleet.observations {
		if o.lapsed {
			continue
		}
		if _, seen := firstUse[o.number]; !seen {
			firstUse[o.number] = o.at
		}
		newest = max(newest, o.number)
		for n := o.number + 1; n <= newest; n++ {
			if at, seen := firstUse[n]; seen {
				longest = max(longest, o.at-at)
			}
		}
	}
	return longest
}

// anyRequest is a request that no account owns.
var anyRequest = namespace.Request{Tenant: "t", Class: "c"}

// rejectAll is a version that rejects every request.
var rejectAll = &Version{Refusals: []Refusal{{RetryAfterMillis: 500}}}
