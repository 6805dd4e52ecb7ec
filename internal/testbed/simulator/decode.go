package simulator

import (
	"encoding/base64"
	"encoding/json"
	"fmt"

	"croftlock/internal/balancer"
)

type event struct {
	Type      string          `json:"event_type"`
	Balancer  string          `json:"balancer"`
	RequestID string          `json:"request_id"`
	Server    string          `json:"server"`
	Seq       int             `json:"seq_no"`
	Ending    string          `json:"ending"`
	Elapsed   int64           `json:"elapsed"`
	NoMore    bool            `json:"no_more"`
	Gauge     []float64       `json:"gauge"`
	Hint      float64         `json:"hint"`
	Item      string          `json:"item"`
	Party     json.RawMessage `json:"party"`
	Channel   string          `json:"channel"`
	Class     *string         `json:"cls"`
	Bits      int             `json:"bits"`
	Remaining *int64          `json:"remaining"`
	Ref       *string         `json:"ref"`
	Level     float64         `json:"level"`
	Sort      int             `json:"sort"`
	Salt      json.Number     `json:"salt"`
	Config    json.RawMessage `json:"config"`
	Sheet     *int            `json:"sheet"`
	Elements  []element       `json:"elements"`
	Form      string          `json:"form"`
	Gen       int64           `json:"gen"`
	Origin    int             `json:"origin_peer"`
	Contents  string          `json:"contents"`
}

type element struct {
	State  string  `json:"stage_state"`
	Zone   string  `json:"region_part"`
	Weight float64 `json:"capacity_hint"`
	Since  int64   `json:"since"`
	Server string  `json:"server"`
	Kind   string  `json:"type"`
	Cell   int     `json:"stripe"`
}

type batch struct {
	Time *int64  `json:"time"`
	Msgs []event `json:"msgs"`
}

var statuses = map[string]balancer.AttemptStatus{
	"OK": balancer.OK, "INTERNAL": balancer.Error, "RESOURCE_EXHAUSTED": balancer.Full, "DEADLINE_EXCEEDED": balancer.Timeout,
	"UNAVAILABLE": balancer.ConnectFailed, "ABORTED": balancer.Reset, "CANCELLED": balancer.Cancelled, "TOO_LATE": balancer.TooLate,
}

var states = map[string]balancer.HostState{
	"healthy": balancer.Ready, "cordoned": balancer.Draining, "deregistered": balancer.Removed,
}

var forms = map[string]balancer.ListChange{
	"update": balancer.ListDelta, "replace": balancer.ListFull, "restored": balancer.ListCached,
	"unavailable": balancer.ListFailed,
}

func missing(e *event, field string) error { return fmt.Errorf("%s without %s", e.Type, field) }

// decode checks an event and gives the call that delivers it; nil where there is nothing to deliver.
func (h *Host) decode(now int64, in *instance, e *event) (func(*balancer.Balancer), error) {
	switch e.Type {
	case "Inbound", "ClientLeft", "Adopted", "Notice", "Response", "Streaming":
		if e.RequestID == "" {
			return nil, missing(e, "request_id")
		}
	}
	switch e.Type {
	case "HealthResult", "Adopted", "Response", "Streaming":
		if e.Server == "" {
			return nil, missing(e, "server")
		}
	}
	var status balancer.AttemptStatus
	if e.Type == "Response" || e.Type == "HealthResult" {
		s, ok := statuses[e.Ending]
		if !ok {
			return nil, fmt.Errorf("%s with ending %q, which is unknown", e.Type, e.Ending)
		}
		status = s
	}
	switch e.Type {
	case "Membership":
		form, ok := forms[e.Form]
		if !ok {
			return nil, fmt.Errorf("message Membership with form %q, which is unknown", e.Form)
		}
		var entries []balancer.ListedHost
		if form != balancer.ListFailed {
			if e.Sheet == nil {
				return nil, missing(e, "sheet")
			}
			if entries, ok = h.sheets[*e.Sheet]; !ok {
				return nil, fmt.Errorf("message Membership names sheet %d, which was not sent", *e.Sheet)
			}
		}
		return func(b *balancer.Balancer) { b.ListReceived(now, form, e.Gen, entries) }, nil
	case "Inbound", "Adopted":
		q, err := in.request(e)
		if err != nil {
			return nil, err
		}
		if e.Type == "Adopted" {
			return func(b *balancer.Balancer) { b.ConnectionAdopted(now, q, e.Server) }, nil
		}
		return func(b *balancer.Balancer) { b.RequestArrived(now, q) }, nil
	case "ClientLeft":
		return func(b *balancer.Balancer) { b.ClientLeft(now, e.RequestID) }, nil
	case "HealthResult":
		return func(b *balancer.Balancer) { b.HealthCheckEnded(now, e.Server, status, e.Elapsed, e.Gauge) }, nil
	case "Fired":
		if e.Ref == nil {
			return nil, missing(e, "ref")
		}
		return func(b *balancer.Balancer) { b.TimerFired(now, *e.Ref) }, nil
	case "Notice":
		return func(b *balancer.Balancer) { b.Observe(now, e.RequestID, e.Seq, balancer.Observation(e.Sort), e.Level) }, nil
	case "Response":
		return func(b *balancer.Balancer) {
			b.AttemptEnded(now, e.RequestID, e.Seq, status, e.Elapsed, e.NoMore, e.Gauge)
		}, nil
	case "Streaming":
		return func(b *balancer.Balancer) { b.AttemptEstablished(now, e.RequestID, e.Seq, e.Elapsed) }, nil
	case "Memo":
		data, err := base64.StdEncoding.DecodeString(e.Contents)
		if err != nil {
			return nil, fmt.Errorf("message Memo with contents that are not base64: %v", err)
		}
		return func(b *balancer.Balancer) { b.PeerMessageReceived(now, e.Origin, data) }, nil
	}
	return nil, fmt.Errorf("unknown event %q", e.Type)
}

func (in *instance) request(e *event) (balancer.Request, error) {
	q := balancer.Request{ID: e.RequestID, Key: e.Item, Group: e.Channel, Tenant: -1,
		Retry: e.Bits&flagRepeat != 0, MidFlow: e.Bits&flagMidFlow != 0, Returned: e.Bits&flagReturned != 0}
	if e.Class == nil {
		return q, missing(e, "cls")
	}
	c, ok := in.classes[*e.Class]
	if !ok {
		return q, fmt.Errorf("%s of class %q, which the settings do not name", e.Type, *e.Class)
	}
	q.Class = c
	if e.Remaining != nil {
		q.Remaining = *e.Remaining
	} else if e.Type == "Inbound" {
		return q, missing(e, "remaining")
	}
	if e.Bits&flagHint != 0 {
		q.ExpectedLoad = e.Hint
	}
	var name string
	if len(e.Party) > 0 && json.Unmarshal(e.Party, &name) == nil {
		if t, ok := in.tenants[name]; ok {
			q.Tenant = t
		}
	}
	return q, nil
}
