package rules

import "testing"

func TestRateLimiter(t *testing.T) {
	limiter := rateLimiter{buckets: map[string]*tokenBucket{}}
	v := twoCustomers()
	v.Directory.Accounts[0].Changes = 60 // acme has a burst of ten changes, then one each second
	acme := &Change{Account: "acme", Key: publicKey(1)}
	allowed := func(now Time, c *Change) (n int) {
		for range 1000 {
			if limiter.allow(now, c, v) {
				n++
			}
		}
		return n
	}
	for _, step := range []struct {
		name   string
		at     Time
		change *Change
		want   int
	}{
		{"the burst", 0, acme, 10},
		{"one second later", 1000 * ms, acme, 1},
		{"a full bucket after an hour", 3600 * 1000 * ms, acme, 10},
		{"an account below", 3600 * 1000 * ms, &Change{Account: "acme/web", Key: publicKey(1)}, 10},
		{"another account", 3600 * 1000 * ms, &Change{Account: "other", Key: publicKey(1)}, defaultChangesPerMinute / burstDivisor},
	} {
		if got := allowed(step.at, step.change); got != step.want {
			t.Errorf("%s: %d changes were allowed, want %d", step.name, got, step.want)
		}
	}
}

func TestLeaseTableReadiness(t *testing.T) {
	staged, other := Hash{1}, Hash{2}
	for _, c := range []struct {
		name    string
		members []memberState
		want    readiness
	}{
		{"nobody", nil, readiness{all: true}},
		{"all ready", []memberState{{leaseEnd: 10, ready: staged}, {leaseEnd: 10, ready: staged}}, readiness{all: true}},
		{"one not ready", []memberState{{leaseEnd: 10, ready: staged}, {leaseEnd: 10, ready: other}}, readiness{}},
		{"not ready, and its lease has ended", []memberState{{leaseEnd: 10, ready: staged}, {leaseEnd: 5, ready: other}}, readiness{all: true}},
		{"faulty", []memberState{{leaseEnd: 10, ready: staged}, {leaseEnd: 10, fault: "too large"}}, readiness{faultyPeer: 1, faultReason: "too large"}},
		{"faulty, and its lease has ended", []memberState{{leaseEnd: 5, fault: "too large"}}, readiness{all: true}},
	} {
		table := newLeaseTable(0, leaseDuration)
		for i := range c.members {
			*table.member(uint32(i)) = c.members[i]
		}
		if got := table.readiness(staged, 5); got != c.want {
			t.Errorf("%s: readiness = %+v, want %+v", c.name, got, c.want)
		}
	}
}

// A lease must end at the member before it ends at the publisher, even if the clock of the member
// runs 1 % slow and that of the publisher 1 % fast.
func TestLeaseEndsAtMemberBeforePublisher(t *testing.T) {
	member, publisher := MemberLeaseEnd(0, leaseDuration), PublisherLeaseEnd(0, leaseDuration)
	if float64(member)/0.99 >= float64(publisher)/1.01 {
		t.Errorf("a lease of %d ms ends after %d ms at the member and after %d ms at the publisher, which is too early there with a drift of 1 %%", leaseDuration/ms, member/ms, publisher/ms)
	}
}

func TestProposalRounds(t *testing.T) {
	alone := &proposal{Change: &Change{ID: []byte("alone")}, alone: true}
	first, second := &proposal{Change: &Change{ID: []byte("first")}}, &proposal{Change: &Change{ID: []byte("second")}}
	q := proposalQueue{waiting: []*proposal{first, second, alone}}
	for i, want := range []int{2, 1, 0} {
		if round := q.nextRound(); len(round) != want {
			t.Errorf("round %d has %d proposals, want %d", i, len(round), want)
		}
	}
	q.retryAlone([]*proposal{first, second})
	if round := q.nextRound(); len(round) != 1 || round[0] != first {
		t.Errorf("the first round after retryAlone has %d proposals, want only the first one", len(round))
	}
	if q.byID([]byte("second")) != second || q.byID(nil) != nil {
		t.Error("byID(second) is not the second proposal, or byID(nil) is not nil")
	}
}

func TestDecodeQueryErrors(t *testing.T) {
	for _, c := range []struct {
		body string
		want error
	}{
		{"k\xff", errMalformedLease},
		{"p", errMalformedChange},
		{"r\x61a", errMalformedNumber},
		{"?", errUnknownQuery},
		{"s", nil},
	} {
		if _, err := decodeQuery([]byte(c.body)); err != c.want {
			t.Errorf("decodeQuery(%q): error %v, want %v", c.body, err, c.want)
		}
	}
}

func TestAuditLogRestore(t *testing.T) {
	var entries []AuditEntry
	for n := uint64(1); n <= 3; n++ {
		entries = appendEntry(entries, AuditEntry{Number: n, Proposer: "operators", Subject: "rules"})
	}
	var log auditLog
	log.restore(entries, 2)
	if len(log.active) != 2 || len(log.staged) != 3 {
		t.Errorf("the log has %d entries up to version 2 and %d with the staged version, want 2 and 3", len(log.active), len(log.staged))
	}
	entries[1].Proposer = "somebody"
	log = auditLog{}
	log.restore(entries, 2)
	if len(log.active) != 0 || len(log.staged) != 0 || len(log.rejected) != 1 {
		t.Errorf("restoring an altered log results in %+v, want an empty log with one rejection", log)
	}
}
