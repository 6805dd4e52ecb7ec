package owneragent

import (
	"encoding/hex"
	"log/slog"
	"time"

	"croftlock/internal/fleet/rules"
	"croftlock/internal/operations/settings"
)

// RulesOptions is the part of the section (owners ...) on rules that the fleet agrees on.
type RulesOptions struct {
	Enabled       bool
	LeaseDuration time.Duration // bound on how long two proxies act by rules that contradict each other; default 3 s
	OnLeaseLapse  string        // what a proxy does whose lease has lapsed: refuse (default) or keep
	MaxEntries    int           // of a version that this proxy accepts
}

func (r *RulesOptions) bind(f *settings.Form) {
	*r = RulesOptions{LeaseDuration: 3 * time.Second, OnLeaseLapse: "refuse", MaxEntries: rules.MaxEntries}
	f.Bool("rules", "whether requests are judged by rules that all proxies agree on: croftlock rules put FILE", &r.Enabled)
	f.Duration("agree_within", "how long at most two proxies act by rules that contradict each other; the same everywhere", &r.LeaseDuration, 500*time.Millisecond, time.Minute)
	f.Enum("when_cut", "what a proxy does that can't know whether its rules still hold: refuse new requests, or keep to the last ones", &r.OnLeaseLapse, "refuse", "keep")
	f.Int("rules_most", "entries of rules that this proxy takes; a larger version is active nowhere", &r.MaxEntries, 1, rules.MaxEntries)
}

// lapseFaultFactor is how much longer rules hold with FaultInjection.ExtendRulesLease.
const lapseFaultFactor = 10

// rulesState is this process's part in the agreement on rules; the zero value where the section has them off.
type rulesState struct {
	enforcer  *rules.Enforcer // nil: off
	member    *rules.Member
	onChanged func() // on the worker, once this process acts by another version; nil: not reported
}

func (r *rulesState) tick(now int64) {
	if r.member != nil {
		r.member.Step(now)
	}
}

func (r *rulesState) versionChanged(version uint64, hash rules.Hash) {
	slog.Info("rules_activated", "version", version, "hash", hex.EncodeToString(hash[:4]))
	if r.onChanged != nil {
		r.onChanged()
	}
}

// addRules makes the enforcer, the member and the publisher's job, before the worker starts.
func (a *Agent) addRules() {
	o := a.options.Rules
	if !o.Enabled {
		return
	}
	leaseDuration := int64(o.LeaseDuration)
	enforcer := &rules.Enforcer{Now: a.now, KeepLastVersion: o.OnLeaseLapse == "keep", LapsedRetryAfter: o.LeaseDuration}
	member := &rules.Member{LeaseDuration: leaseDuration, MaxEntries: o.MaxEntries, Enforcer: enforcer, VersionChanged: a.rules.versionChanged}
	source := a.queries.newSource(func(tag uint64, body []byte) { member.ReplyReceived(a.now(), tag, body) })
	member.SendQuery = func(tag uint64, body []byte) { a.queries.send(source, rulesJob, tag, body) }
	if Faults.ExtendRulesLease {
		member.LeaseDuration *= lapseFaultFactor
	}
	a.rules.enforcer, a.rules.member = enforcer, member
	a.jobs.add(rulesJob, &rules.Publisher{LeaseDuration: leaseDuration, NotificationReceived: member.NotificationReceived, WallClock: func() int64 { return time.Now().UnixMilli() }})
}

// Enforcer is what requests are judged by; nil: there are no such rules.
func (a *Agent) Enforcer() *rules.Enforcer {
	if a == nil {
		return nil
	}
	return a.rules.enforcer
}

// OnRulesChanged has f called on the loop each time that this process begins to act by another version, and once now.
func (a *Agent) OnRulesChanged(f func()) {
	a.worker.post(func() {
		a.rules.onChanged = func() { a.loop.Post(f) }
		a.rules.onChanged()
	})
}
