// Package balancerconfig decodes the platform's settings object into the configuration of a
// balancer. The protocol's names of the settings occur only here, as tags in settings.go; the proxy
// and the simulator's adapter both use Decode.
package balancerconfig

import (
	"encoding/json"
	"fmt"
	"slices"

	"croftlock/internal/balancer"
)

// Values of settings, as the protocol writes them.
const (
	priorityByWork     = "work"
	passThrough        = "pass"
	noLoadReports      = "none"
	loadField          = "x0"
	queueField         = "queue"
	queueFieldOnWire   = "pending" // the simulator's name for queueField
	discoveryAutomatic = "automatic"
	discoverySubscribe = "subscribe"
)

var idempotencies = map[string]balancer.Idempotency{
	"read_like": balancer.Idempotent, "idempotency_key": balancer.IdempotentWithKey,
	"non_idempotent": balancer.NotIdempotent,
}

var dedupScopes = map[string]balancer.DedupScope{
	"": balancer.ScopeAll, "all": balancer.ScopeAll, "zone": balancer.ScopeZone, "cell": balancer.ScopeCell,
}

// Decode decodes the settings object, which is JSON, into a balancer's configuration. It ignores
// unknown keys. For an invalid value it returns an error that contains the value.
func Decode(raw []byte) (balancer.Config, error) {
	var s settings
	if err := json.Unmarshal(raw, &s); err != nil {
		return balancer.Config{}, fmt.Errorf("message Init with malformed config: %v", err)
	}
	c := s.config()
	c.LoadField, c.QueueField = s.Report.fieldPositions()
	switch s.Discovery {
	case discoveryAutomatic, "": // lists are pushed, so PollsDiscovery stays false
	case discoverySubscribe:
		c.PollsDiscovery = true
	default:
		return c, fmt.Errorf("config with discovery %q, which is unknown", s.Discovery)
	}
	var err error
	if c.Classes, err = s.classes(); err != nil {
		return c, err
	}
	c.Tenants = s.tenants()
	restoreRateQuotas(c.Tenants)
	return c, nil
}

// config returns the configuration without the values that Decode has to check or combine: classes,
// tenants, report fields and discovery.
func (s *settings) config() balancer.Config {
	return balancer.Config{
		Instance:                s.Instance,
		Instances:               s.Instances,
		Zone:                    s.Zone,
		Zones:                   s.Zones,
		Tick:                    s.Tick,
		OverQuotaWeight:         s.OverQuotaWeight,
		PriorityByWork:          s.PriorityBy == priorityByWork,
		MaxAttempts:             s.Limits.MaxAttempts,
		ConnectTimeout:          s.Limits.ConnectTimeout,
		IdleTimeout:             s.Limits.IdleTimeout,
		MaxRetryAfter:           s.Limits.MaxRetryAfter,
		SendsRetryAfter:         s.Limits.SendsRetryAfter,
		MayHealthCheck:          s.Limits.MayHealthCheck,
		MayGossip:               s.Limits.MayGossip,
		MayCancel:               s.Limits.MayCancel,
		AnswerSlack:             s.Contract.AnswerSlack,
		SlowStartFloor:          s.Contract.SlowStartFloor,
		SlowStartDuration:       s.Contract.SlowStartDuration,
		SlowStartOverloadFactor: s.Contract.SlowStartOverloadFactor,
		SlowStartOverloadWindow: s.Contract.SlowStartOverloadWindow,
		DrainGrace:              s.Contract.DrainGrace,
		PollInterval:            s.Contract.PollInterval,
		PassThrough:             s.Extra.Mode == passThrough,
		ParkDuration:            s.Extra.ParkDuration,
		Prices:                  balancer.Prices(s.Prices),
		EjectionInitial:         -1, // the balancer derives both durations from the deadlines
		EjectionMax:             -1,
	}
}

// fieldPositions returns the positions, from 0, of the load and of the queue length among the fields
// of a load report. The position of a value that is not reported is -1.
func (r *loadReport) fieldPositions() (load, queue int) {
	if r.How == noLoadReports {
		return -1, -1
	}
	load, queue = slices.Index(r.Fields, loadField), slices.Index(r.Fields, queueField)
	if queue < 0 {
		queue = slices.Index(r.Fields, queueFieldOnWire)
	}
	return load, queue
}

// classes returns the classes of requests. Their latency objectives for messages come from
// Extra.MessageObjectives, which is in the same order and may be shorter. For an unknown value it
// returns an error.
func (s *settings) classes() ([]balancer.Class, error) {
	var classes []balancer.Class
	for i, entry := range s.Classes {
		idempotency, ok := idempotencies[entry.Semantics]
		if !ok {
			return classes, fmt.Errorf("config: class %q with semantics %q, which is unknown", entry.Name, entry.Semantics)
		}
		scope, ok := dedupScopes[entry.DedupScope]
		if !ok {
			return classes, fmt.Errorf("config: class %q with dedup_scope %q, which is unknown", entry.Name, entry.DedupScope)
		}
		c := balancer.Class{Name: entry.Name, LatencyObjective: entry.LatencyObjective, Deadline: entry.Deadline,
			Idempotency: idempotency, DedupScope: scope, DedupWindow: entry.DedupWindow,
			PriorityWeight: entry.PriorityWeight, LatePriorityWeight: entry.LatePriorityWeight}
		if i < len(s.Extra.MessageObjectives) {
			c.MessageLatencyObjective = s.Extra.MessageObjectives[i]
		}
		classes = append(classes, c)
	}
	return classes, nil
}

// tenants returns the tenants. Their connection quotas come from Extra.ConnectionQuotas, which is in the
// same order and may be shorter.
func (s *settings) tenants() []balancer.Tenant {
	var tenants []balancer.Tenant
	for i, entry := range s.Tenants {
		t := balancer.Tenant{Name: entry.Name, RateQuota: entry.RateQuota, ServiceQuota: entry.ServiceQuota}
		if i < len(s.Extra.ConnectionQuotas) {
			t.ConnectionQuota = s.Extra.ConnectionQuotas[i]
		}
		tenants = append(tenants, t)
	}
	return tenants
}
