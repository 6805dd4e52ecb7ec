package owneragent

import (
	"encoding/hex"
	"log/slog"
	"time"

	"croftlock/internal/fleet/rules"
	"croftlock/internal/operations/settings"
)

// RulesOptions holds the fields of the section (owners ...) about the rules that the fleet agrees
// on.
type RulesOptions struct {
	Enabled       bool          // whether requests are evaluated by the rules; default false
	LeaseDuration time.Duration // of the lease to act by a version, and so the bound on how long two proxies act by contradictory rules; default 3 s
	OnLeaseLapse  string        // what a proxy does when its lease has lapsed: "refuse" (default) or "keep"
	MaxEntries    int           // maximum entries of a version that this proxy accepts; default rules.MaxEntries
}

// bind sets the defaults and declares the fields in the section.
func (r *RulesOptions) bind(f *settings.FieldSet) {
	*r = RulesOptions{LeaseDuration: 3 * time.Second, OnLeaseLapse: "refuse", MaxEntries: rules.MaxEntries}
	f.Bool("rules", "whether requests are judged by rules that all proxies agree on: croftlock rules put FILE", &r.Enabled)
	f.Duration("agree_within", "how long at most two proxies act by rules that contradict each other; the same everywhere", &r.LeaseDuration, 500*time.Millisecond, time.Minute)
	f.Enum("when_cut", "what a proxy does that can't know whether its rules still hold: refuse new requests, or keep to the last ones", &r.OnLeaseLapse, "refuse", "keep")
	f.Int("rules_most", "entries of rules that this proxy takes; a larger version is active nowhere", &r.MaxEntries, 1, rules.MaxEntries)
}

// lapseFaultFactor multiplies the lease duration of rules with FaultInjection.ExtendRulesLease.
const lapseFaultFactor = 10

// rulesState applies the agreed rules in this process. It is the zero value if rules are off.
type rulesState struct {
	enforcer  *rules.Enforcer // nil if rules are off
	member    *rules.Member
	onChanged func() // called on the worker when this process acts by another version; may be nil
}

// tick steps the member, unless rules are off.
func (r *rulesState) tick(now int64) {
	if r.member != nil {
		r.member.Step(now)
	}
}

// versionChanged logs and reports that this process acts by another version.
func (r *rulesState) versionChanged(version uint64, hash rules.Hash) {
	slog.Info("rules_activated", "version", version, "hash", hex.EncodeToString(hash[:4]))
	if r.onChanged != nil {
		r.onChanged()
	}
}

// addRules adds the enforcer, the member and the publisher's job. It is called before the worker
// starts.
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

// Enforcer returns the Enforcer that evaluates requests, or nil if a is nil or rules are off.
func (a *Agent) Enforcer() *rules.Enforcer {
	if a == nil {
		return nil
	}
	return a.rules.enforcer
}

// OnRulesChanged registers f, which is called on the loop once now and each time that this process
// starts to act by another version. It replaces a function registered before. If the worker's inbox
// is full, f is not registered.
func (a *Agent) OnRulesChanged(f func()) {
	a.worker.post(func() {
		a.rules.onChanged = func() { a.loop.Post(f) }
		a.rules.onChanged()
	})
}
