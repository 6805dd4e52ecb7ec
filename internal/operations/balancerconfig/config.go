// Package balancerconfig reads the platform's settings object as the decision module's configuration. The names that the protocol gives
// to settings are known here alone; the real proxy and the simulator's adapter both read them by Decode.
package balancerconfig

import (
	"encoding/json"
	"fmt"
	"math"
	"slices"

	"croftlock/internal/balancer"
)

type settings struct {
	Me     int      `json:"me"`
	Peers  int      `json:"peers_total"`
	Zone   string   `json:"my_zone"`
	Zones  []string `json:"zones"`
	Step   int64    `json:"step"`
	Family string   `json:"family"`
	Lanes  []struct {
		Name      string  `json:"name"`
		OnTime    int64   `json:"on_time"`
		Deadline  int64   `json:"deadline"`
		Semantics string  `json:"semantics"`
		Scope     string  `json:"dedup_scope"`
		KeyTTL    int64   `json:"key_ttl"`
		Gain      float64 `json:"gain"`
		Late      float64 `json:"late_worth"`
	} `json:"lanes"`
	Orgs []struct {
		Name     string  `json:"name"`
		Quota    float64 `json:"quota_per_s"`
		Fraction float64 `json:"fraction"`
	} `json:"orgs"`
	OverShare float64 `json:"over_share_worth"`
	WorthBy   string  `json:"worth_by"`
	Discovery string  `json:"discovery"`
	Bounds    struct {
		Cancelling     bool  `json:"cancelling"`
		ConnectTimeout int64 `json:"connect_timeout"`
		IdleClose      int64 `json:"idle_close"`
		MaxRetryAfter  int64 `json:"max_retry_after"`
		MayTell        bool  `json:"may_tell"`
		Probes         bool  `json:"probes"`
		RetryAfter     bool  `json:"retry_after"`
		TryLimit       int   `json:"try_limit"`
	} `json:"bounds"`
	Contract struct {
		AnswerSlack  int64   `json:"answer_slack"`
		ColdFrom     float64 `json:"cold_from"`
		DrainGrace   int64   `json:"drain_grace"`
		Fall         int64   `json:"fall"`
		FallMultiple float64 `json:"fall_multiple"`
		MustAskIn    int64   `json:"must_ask_in"`
		WarmUp       int64   `json:"warm_up"`
	} `json:"contract"`
	Report struct {
		How    string   `json:"how"`
		Fields []string `json:"fields"`
	} `json:"report"`
	Extra struct {
		Mode       string    `json:"mode"`
		Park       int64     `json:"park"`
		MessageAim []int64   `json:"message_aim"`
		Quota      []float64 `json:"tenant_quota_connections"`
	} `json:"extra"`
	Tariffs struct {
		CrossZone  float64 `json:"cross_zone"`
		Waste      float64 `json:"waste"`
		Probe      float64 `json:"probe"`
		Peer       float64 `json:"peer"`
		LateFail   float64 `json:"late_fail"`
		Handshake  float64 `json:"handshake"`
		Moves      float64 `json:"moves"`
		Connection float64 `json:"connection"`
		Discovery  float64 `json:"discovery"`
	} `json:"tariffs"`
}

var semantics = map[string]balancer.Effect{
	"read_like": balancer.Safe, "idempotency_key": balancer.Keyed, "non_idempotent": balancer.Unsafe,
}

var scopes = map[string]balancer.Scope{
	"": balancer.ScopeAll, "all": balancer.ScopeAll, "zone": balancer.ScopeZone, "cell": balancer.ScopeCell,
}

// Decode reads the settings object. Keys that it does not know are skipped; a value that can't be used is an error that names it.
func Decode(raw []byte) (balancer.Config, error) {
	var s settings
	if err := json.Unmarshal(raw, &s); err != nil {
		return balancer.Config{}, fmt.Errorf("message Init with malformed config: %v", err)
	}
	c := balancer.Config{
		Me: s.Me, Peers: s.Peers, Zone: s.Zone, Zones: s.Zones, Tick: s.Step, OverShare: s.OverShare,
		WorthByWork: s.WorthBy == "work",
		MaxAttempts: s.Bounds.TryLimit, ConnectTimeout: s.Bounds.ConnectTimeout,
		IdleClose:     s.Bounds.IdleClose,
		MaxRetryAfter: s.Bounds.MaxRetryAfter, RetryAfter: s.Bounds.RetryAfter, MayProbe: s.Bounds.Probes,
		MayTell: s.Bounds.MayTell, MayCancel: s.Bounds.Cancelling,
		AnswerSlack: s.Contract.AnswerSlack, ColdFrom: s.Contract.ColdFrom, WarmUp: s.Contract.WarmUp,
		DrainGrace: s.Contract.DrainGrace, FallMultiple: s.Contract.FallMultiple, Fall: s.Contract.Fall,
		AskWithin: s.Contract.MustAskIn, Pass: s.Extra.Mode == "pass", Park: s.Extra.Park,
		QuarantineInit: -1, QuarantineMax: -1,
		ReportLoad: slices.Index(s.Report.Fields, "x0"), ReportQueue: slices.Index(s.Report.Fields, "queue"),
	}
	if c.ReportQueue < 0 {
		c.ReportQueue = slices.Index(s.Report.Fields, "pending") // its name on the simulator's wire
	}
	if s.Report.How == "none" {
		c.ReportLoad, c.ReportQueue = -1, -1
	}
	c.Prices = balancer.Prices{CrossZone: s.Tariffs.CrossZone, Waste: s.Tariffs.Waste, Probe: s.Tariffs.Probe, Peer: s.Tariffs.Peer, LateFail: s.Tariffs.LateFail,
		Handshake: s.Tariffs.Handshake, Moves: s.Tariffs.Moves, Connection: s.Tariffs.Connection, Discovery: s.Tariffs.Discovery}
	switch s.Discovery {
	case "automatic", "":
	case "subscribe":
		c.Ask = true
	default:
		return c, fmt.Errorf("config with discovery %q, which is unknown", s.Discovery)
	}
	for i, l := range s.Lanes {
		effect, ok := semantics[l.Semantics]
		if !ok {
			return c, fmt.Errorf("config: class %q with semantics %q, which is unknown", l.Name, l.Semantics)
		}
		scope, ok := scopes[l.Scope]
		if !ok {
			return c, fmt.Errorf("config: class %q with dedup_scope %q, which is unknown", l.Name, l.Scope)
		}
		class := balancer.Class{Name: l.Name, Aim: l.OnTime, Deadline: l.Deadline, Effect: effect, Scope: scope,
			Window: l.KeyTTL, Worth: l.Gain, LateWorth: l.Late}
		if i < len(s.Extra.MessageAim) {
			class.MessageAim = s.Extra.MessageAim[i]
		}
		c.Classes = append(c.Classes, class)
	}
	for i, o := range s.Orgs {
		t := balancer.Tenant{Name: o.Name, QuotaPerS: o.Quota, Share: o.Fraction}
		if i < len(s.Extra.Quota) {
			t.QuotaConnections = s.Extra.Quota[i]
		}
		c.Tenants = append(c.Tenants, t)
	}
	unround(c.Tenants)
	return c, nil
}

// unround makes the tenants' quotas in requests a second exact again. The settings give them as whole numbers, and a
// small tenant's as 0, which in sum may be off by half; their quotas in connections are larger, and the same life of a
// connection lies between all of them. Quotas that no one life explains stay as they are told.
func unround(tenants []balancer.Tenant) {
	least, most := 0.0, math.Inf(1)
	for _, t := range tenants {
		n := t.QuotaPerS
		if n != math.Trunc(n) || t.QuotaConnections <= 0 {
			return
		}
		// The connections are rounded as well.
		least = max(least, (t.QuotaConnections-0.5)/(n+0.5))
		if n > 0 {
			most = min(most, (t.QuotaConnections+0.5)/(n-0.5))
		}
	}
	if least <= 0 || math.IsInf(most, 1) || least > most {
		return
	}
	life := math.Sqrt(least * most)
	for i := range tenants {
		tenants[i].QuotaPerS = tenants[i].QuotaConnections / life
	}
}
