package proxy

import (
	"log/slog"
	"time"

	"croftlock/internal/rules"
)

// SetRules gives the core the rules on which the fleet agrees. It is called before clients come.
func (c *Core) SetRules(g *rules.Gate) { c.gate = g }

// ruled says whether the fleet's rules refuse a request, and logs by which version it was decided.
func (c *Core) ruled(tenant, class, id string) (refused bool, after time.Duration) {
	if c.gate == nil {
		return false, 0
	}
	v := c.gate.Judge(tenant, class)
	if tracing() {
		slog.Debug("ruled", "request", id, "tenant", tenant, "class", class, "refused", v.Refused, "version", v.Version, "lapsed", v.Lapsed)
	}
	if !c.opt.Settings.RetryAfter {
		v.Advice = 0
	}
	return v.Refused, min(v.Advice, max(0, time.Duration(c.opt.Settings.MaxRetryAfter)))
}

// again is the second look, right before an attempt: the process may have slept since the first one, and rules may have changed.
func (c *Core) again(r *Request, host string) (refused, passed bool, after time.Duration) {
	if c.gate == nil || r.adopted {
		return false, false, 0
	}
	refused, after = c.ruled(r.tenant, c.opt.Settings.Classes[r.ask.Class].Name, r.ask.ID)
	return refused, !refused && !c.gate.Usable(host), after
}
