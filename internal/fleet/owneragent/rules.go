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
	member    *rules.Member   // its times are on the enforcer's clock
	onChanged func()          // called on the worker when this process acts by another version; may be nil
}

// tick steps the member, unless rules are off.
func (r *rulesState) tick() {
	if r.member != nil {
		r.member.Step(r.enforcer.Now())
	}
}

// versionChanged logs and reports that this process acts by another version.
func (r *rulesState) versionChanged(version uint64, hash rules.Hash) {
	slog.Info("rules_activated", "version", version, "hash", hex.EncodeToString(hash[:4]))
	if r.onChanged != nil {
		r.onChanged()
	}
}

// addRules adds the member and the publisher's job. It is called before the worker starts.
func (a *Agent) addRules() {
	if a.enforcement == nil {
		return
	}
	o := a.options.Rules
	leaseDuration := int64(o.LeaseDuration)
	enforcer := a.enforcement.rules
	member := &rules.Member{LeaseDuration: leaseDuration, MaxEntries: o.MaxEntries, Enforcer: enforcer, VersionChanged: a.rules.versionChanged}
	source := a.queries.newSource(func(tag uint64, body []byte) { member.ReplyReceived(enforcer.Now(), tag, body) })
	member.SendQuery = func(tag uint64, body []byte) { a.queries.send(source, rulesJob, tag, body) }
	if Faults.ExtendRulesLease {
		member.LeaseDuration *= lapseFaultFactor
	}
	a.rules.enforcer, a.rules.member = enforcer, member
	a.jobs.add(rulesJob, &rules.Publisher{LeaseDuration: leaseDuration, NotificationReceived: func(int64) { member.NotificationReceived(enforcer.Now()) },
		WallClock: func() int64 { return time.Now().UnixMilli() }})
}

// RenewRulesLease requests a new lease to act by the rules now, before the next regular renewal. It does
// nothing if a is nil or rules are off.
func (a *Agent) RenewRulesLease() {
	if a == nil || a.enforcement == nil {
		return
	}
	a.worker.post(func() { a.rules.member.NotificationReceived(a.enforcement.now()) })
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
