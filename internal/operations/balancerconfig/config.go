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

var semantics = map[string]balancer.Idempotency{
	"read_like": balancer.Idempotent, "idempotency_key": balancer.IdempotentWithKey, "non_idempotent": balancer.NotIdempotent,
}

var scopes = map[string]balancer.DedupScope{
	"": balancer.ScopeAll, "all": balancer.ScopeAll, "zone": balancer.ScopeZone, "cell": balancer.ScopeCell,
}

// Decode reads the settings object. Keys that it does not know are skipped; a value that can't be used is an error that names it.
func Decode(raw []byte) (balancer.Config, error) {
	var s settings
	if err := json.Unmarshal(raw, &s); err != nil {
		return balancer.Config{}, fmt.Errorf("message Init with malformed config: %v", err)
	}
	c := balancer.Config{
		Instance: s.Me, Instances: s.Peers, Zone: s.Zone, Zones: s.Zones, Tick: s.Step, OverQuotaWeight: s.OverShare,
		PriorityByWork: s.WorthBy == "work",
		MaxAttempts:    s.Bounds.TryLimit, ConnectTimeout: s.Bounds.ConnectTimeout,
		IdleTimeout:   s.Bounds.IdleClose,
		MaxRetryAfter: s.Bounds.MaxRetryAfter, SendsRetryAfter: s.Bounds.RetryAfter, MayHealthCheck: s.Bounds.Probes,
		MayGossip: s.Bounds.MayTell, MayCancel: s.Bounds.Cancelling,
		AnswerSlack: s.Contract.AnswerSlack, SlowStartFloor: s.Contract.ColdFrom, SlowStartDuration: s.Contract.WarmUp,
		DrainGrace: s.Contract.DrainGrace, SlowStartOverloadFactor: s.Contract.FallMultiple, SlowStartOverloadWindow: s.Contract.Fall,
		PollInterval: s.Contract.MustAskIn, PassThrough: s.Extra.Mode == "pass", ParkDuration: s.Extra.Park,
		EjectionInitial: -1, EjectionMax: -1,
		LoadField: slices.Index(s.Report.Fields, "x0"), QueueField: slices.Index(s.Report.Fields, "queue"),
	}
	if c.QueueField < 0 {
		c.QueueField = slices.Index(s.Report.Fields, "pending") // its name on the simulator's wire
	}
	if s.Report.How == "none" {
		c.LoadField, c.QueueField = -1, -1
	}
	c.Prices = balancer.Prices{CrossZone: s.Tariffs.CrossZone, Waste: s.Tariffs.Waste, HealthCheck: s.Tariffs.Probe, PeerMessage: s.Tariffs.Peer, LateFail: s.Tariffs.LateFail,
		Handshake: s.Tariffs.Handshake, Migration: s.Tariffs.Moves, Connection: s.Tariffs.Connection, Discovery: s.Tariffs.Discovery}
	switch s.Discovery {
	case "automatic", "":
	case "subscribe":
		c.PollsDiscovery = true
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
		class := balancer.Class{Name: l.Name, LatencyObjective: l.OnTime, Deadline: l.Deadline, Idempotency: effect, DedupScope: scope,
			DedupWindow: l.KeyTTL, PriorityWeight: l.Gain, LatePriorityWeight: l.Late}
		if i < len(s.Extra.MessageAim) {
			class.MessageLatencyObjective = s.Extra.MessageAim[i]
		}
		c.Classes = append(c.Classes, class)
	}
	for i, o := range s.Orgs {
		t := balancer.Tenant{Name: o.Name, RateQuota: o.Quota, ServiceQuota: o.Fraction}
		if i < len(s.Extra.Quota) {
			t.ConnectionQuota = s.Extra.Quota[i]
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
		n := t.RateQuota
		if n != math.Trunc(n) || t.ConnectionQuota <= 0 {
			return
		}
		// The connections are rounded as well.
		least = max(least, (t.ConnectionQuota-0.5)/(n+0.5))
		if n > 0 {
			most = min(most, (t.ConnectionQuota+0.5)/(n-0.5))
		}
	}
	if least <= 0 || math.IsInf(most, 1) || least > most {
		return
	}
	life := math.Sqrt(least * most)
	for i := range tenants {
		tenants[i].RateQuota = tenants[i].ConnectionQuota / life
	}
}
