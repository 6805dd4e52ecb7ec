package owneragent

import (
	"encoding/hex"
	"fmt"
	"log/slog"
	"time"

	"croftlock/internal/fleet/quota"
	"croftlock/internal/fleet/rules"
	"croftlock/internal/operations/settings"
)

// Rules is what the section (owners …) says of rules on which the fleet agrees.
type Rules struct {
	On     bool
	Within time.Duration // from the moment that any proxy acts on a newer rule none acts on one that it contradicts for longer
	Cut    string        // what a proxy does whose lease has lapsed: refuse or keep
	Most   int           // entries that this proxy takes
}

func (r *Rules) bind(f *settings.Form) {
	*r = Rules{Within: 3 * time.Second, Cut: "refuse", Most: rules.MaxEntries}
	f.Bool("rules", "whether requests are judged by rules that all proxies agree on: croftlock rules put FILE", &r.On)
	f.Duration("agree_within", "how long at most two proxies act by rules that contradict each other; the same everywhere", &r.Within, 500*time.Millisecond, time.Minute)
	f.Enum("when_cut", "what a proxy does that can't know whether its rules still hold: refuse new requests, or keep to the last ones", &r.Cut, "refuse", "keep")
	f.Int("rules_most", "entries of rules that this proxy takes; a larger version is active nowhere", &r.Most, 1, rules.MaxEntries)
}

// begin makes the keeper's and the member's parts; it is called before there is a goroutine.
func (r Rules) begin(s *Agent) {
	if !r.On {
		return
	}
	within := int64(r.Within)
	s.gate = &rules.Enforcer{Now: s.now, KeepAfterLapse: r.Cut == "keep", LapsedAdvice: r.Within}
	s.ruled = &rules.Member{AgreeWithin: within, MaxEntries: r.Most, Enforcer: s.gate,
		SendQuery: func(tag uint64, body []byte) { s.askAs("rules", s.ruleTags, tag, body) },
		VersionChanged: func(n uint64, h rules.Hash) {
			slog.Info("rules_activated", "version", n, "hash", hex.EncodeToString(h[:4]))
			if s.swapped != nil {
				s.swapped()
			}
		}}
	if Planted == "lapse" {
		s.ruled.AgreeWithin *= 10 // what experiments have to find
	}
	s.handles["rules"] = &rules.Coordinator{AgreeWithin: within, Notified: s.ruled.Notified, Wall: func() int64 { return time.Now().UnixMilli() }}
}

// lapse is how long what an account's owner hands out holds.
const lapse = time.Second

// beginLimits makes the parts that keep accounts to their limits over the fleet.
func (s *Agent) beginLimits(base int) {
	if s.gate == nil {
		return
	}
	s.quota = &quota.Client{Now: s.now, GrantLifetime: int64(lapse), FleetSize: base, Limits: s.gate.Limits, Accounts: s.gate.Limited, SendQuery: func(shard int, tag uint64, body []byte) {
		s.post(func() { s.askAs(limitsJob(shard), s.purseTags, tag, body) })
	}}
	for shard := range quota.Shards {
		s.handles[limitsJob(shard)] = &quota.Issuer{GrantLifetime: int64(lapse), FleetSize: base, Limits: s.gate.Limits}
	}
}

func limitsJob(shard int) string { return fmt.Sprintf("limits%d", shard) }

// IsLimited tells whether an account has limits over the fleet.
func (s *Agent) IsLimited(account string) bool { return s.gate.IsLimited(account) }

// Acquire asks for one more connection of an account; then is called on the loop.
func (s *Agent) Acquire(account string, spread float64, then func(over string, advice time.Duration)) {
	s.loop.After(takeWithin, s.quota.RetryWaiting) // whoever has waited long enough is told so
	s.quota.Acquire(account, spread, func(over string, advice time.Duration) { s.loop.Post(func() { then(over, advice) }) })
}

// takeWithin is a little longer than a request waits for an owner's word.
const takeWithin = 110 * time.Millisecond

// CountExisting counts a connection that is open already, and Release the end of one.
func (s *Agent) CountExisting(account string) { s.quota.CountExisting(account) }
func (s *Agent) Release(account string)       { s.quota.Release(account) }

// Enforcer is what requests are judged by; nil where there are no such rules.
func (s *Agent) Enforcer() *rules.Enforcer {
	if s == nil {
		return nil
	}
	return s.gate
}

const noRules = "refused: (owners (rules on)) is not set"

// OnRulesChanged has f called on the loop each time that this process begins to act by another version, and once now.
func (s *Agent) OnRulesChanged(f func()) {
	s.post(func() {
		s.swapped = func() { s.loop.Post(f) }
		s.swapped()
	})
}

// askRules brings an administrator's question to the keeper.
func (s *Agent) askRules(q Request, tag uint64, ch chan string) {
	if s.gate == nil {
		ch <- noRules
		return
	}
	if !rules.IsQuestion(q.Rules) {
		ch <- "refused: no question that administrators may ask"
		return
	}
	s.core.Query(s.now(), "rules", tag, q.Rules)
}
