// Package wire reads and writes the simulator's line protocol. It holds no policy: events go to the brain of the
// instance they name, and what a brain does comes back as the actions of the reply.
package wire

import (
	"encoding/base64"
	"encoding/json"
	"fmt"
	"strconv"

	"croftlock/brain"
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

// Factory makes the decision code of one instance.
type Factory func(cfg brain.Config, seed int64, fx brain.Effects) (*brain.Brain, error)

// Host keeps the instances of one process and turns batches into replies. The instances share nothing.
type Host struct {
	make      Factory
	instances map[string]*instance
	sheets    map[int][]brain.Entry
	out       writer
}

type instance struct {
	brain   *brain.Brain
	classes map[string]int
	tenants map[string]int
	failed  bool
}

// NewHost makes a host that builds its instances with the given factory.
func NewHost(f Factory) *Host {
	return &Host{make: f, instances: map[string]*instance{}, sheets: map[int][]brain.Entry{}}
}

var statuses = map[string]brain.Status{
	"OK": brain.OK, "INTERNAL": brain.Error, "RESOURCE_EXHAUSTED": brain.Full, "DEADLINE_EXCEEDED": brain.Timeout,
	"UNAVAILABLE": brain.ConnectFailed, "ABORTED": brain.Reset, "CANCELLED": brain.Cancelled, "TOO_LATE": brain.Moot,
}

var states = map[string]brain.State{
	"healthy": brain.Ready, "cordoned": brain.Draining, "deregistered": brain.Departed,
}

var forms = map[string]brain.ListKind{
	"update": brain.ListDelta, "replace": brain.ListFull, "restored": brain.ListCached,
	"unavailable": brain.ListFailed,
}

// Flags of a request.
const (
	flagHint     = 1
	flagRepeat   = 2
	flagMidFlow  = 8
	flagReturned = 16
)

// Batch answers one line of events with one line of actions. An error means that the line cannot be understood;
// then there is no reply at all.
func (h *Host) Batch(line []byte) ([]byte, error) {
	var in batch
	if err := json.Unmarshal(line, &in); err != nil {
		return nil, fmt.Errorf("malformed batch: %v", err)
	}
	if in.Time == nil {
		return nil, fmt.Errorf("malformed batch: no time")
	}
	h.out.start()
	for i := range in.Msgs {
		if err := h.event(*in.Time, &in.Msgs[i]); err != nil {
			return nil, fmt.Errorf("message %d: %v", i, err)
		}
	}
	return h.out.finish(), nil
}

func (h *Host) event(now int64, e *event) error {
	if e.Type == "" {
		return fmt.Errorf("no event_type")
	}
	if e.Type == "Directory" {
		return h.directory(e)
	}
	if !known[e.Type] {
		return fmt.Errorf("unknown event %q", e.Type)
	}
	if e.Balancer == "" {
		return missing(e, "balancer")
	}
	switch e.Type {
	case "Init":
		return h.begin(e)
	case "Exit":
		delete(h.instances, e.Balancer)
		return nil
	}
	in := h.instances[e.Balancer]
	if in == nil {
		return fmt.Errorf("%s for %q, which has not begun", e.Type, e.Balancer)
	}
	if in.failed {
		return nil
	}
	h.out.balancer = e.Balancer
	call, err := h.decode(now, in, e)
	if err != nil || call == nil {
		return err
	}
	h.guard(in, call)
	return nil
}

var known = map[string]bool{
	"Init": true, "Membership": true, "Inbound": true, "ClientLeft": true, "HealthResult": true, "Exit": true,
	"Adopted": true, "Fired": true, "Notice": true, "Response": true, "Streaming": true, "Memo": true,
}

// guard reports an inner failure as the wire asks, in place of a crash of the whole process.
func (h *Host) guard(in *instance, call func(*brain.Brain)) {
	defer func() {
		if p := recover(); p != nil {
			in.failed = true
			h.out.action("Bug").text("message", fmt.Sprint(p)).end()
		}
	}()
	call(in.brain)
}

func missing(e *event, field string) error { return fmt.Errorf("%s without %s", e.Type, field) }

// decode checks an event and gives the call that delivers it; nil where there is nothing to deliver.
func (h *Host) decode(now int64, in *instance, e *event) (func(*brain.Brain), error) {
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
	var status brain.Status
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
		var entries []brain.Entry
		if form != brain.ListFailed {
			if e.Sheet == nil {
				return nil, missing(e, "sheet")
			}
			if entries, ok = h.sheets[*e.Sheet]; !ok {
				return nil, fmt.Errorf("message Membership names sheet %d, which was not sent", *e.Sheet)
			}
		}
		return func(b *brain.Brain) { b.Members(now, form, e.Gen, entries) }, nil
	case "Inbound", "Adopted":
		q, err := in.request(e)
		if err != nil {
			return nil, err
		}
		if e.Type == "Adopted" {
			return func(b *brain.Brain) { b.Open(now, q, e.Server) }, nil
		}
		return func(b *brain.Brain) { b.Request(now, q) }, nil
	case "ClientLeft":
		return func(b *brain.Brain) { b.Gone(now, e.RequestID) }, nil
	case "HealthResult":
		return func(b *brain.Brain) { b.Probed(now, e.Server, status, e.Elapsed, e.Gauge) }, nil
	case "Fired":
		if e.Ref == nil {
			return nil, missing(e, "ref")
		}
		return func(b *brain.Brain) { b.Timer(now, *e.Ref) }, nil
	case "Notice":
		return func(b *brain.Brain) { b.Note(now, e.RequestID, e.Seq, brain.NoteKind(e.Sort), e.Level) }, nil
	case "Response":
		return func(b *brain.Brain) {
			b.Outcome(now, e.RequestID, e.Seq, status, e.Elapsed, e.NoMore, e.Gauge)
		}, nil
	case "Streaming":
		return func(b *brain.Brain) { b.First(now, e.RequestID, e.Seq, e.Elapsed) }, nil
	case "Memo":
		data, err := base64.StdEncoding.DecodeString(e.Contents)
		if err != nil {
			return nil, fmt.Errorf("message Memo with contents that are not base64: %v", err)
		}
		return func(b *brain.Brain) { b.Peer(now, e.Origin, data) }, nil
	}
	return nil, fmt.Errorf("unknown event %q", e.Type)
}

func (in *instance) request(e *event) (brain.Request, error) {
	q := brain.Request{ID: e.RequestID, Key: e.Item, Group: e.Channel, Tenant: -1,
		Repeat: e.Bits&flagRepeat != 0, MidFlow: e.Bits&flagMidFlow != 0, Returned: e.Bits&flagReturned != 0}
	if e.Class == nil {
		return q, missing(e, "cls")
	}
	c, ok := in.classes[*e.Class]
	if !ok {
		return q, fmt.Errorf("%s of class %q, which the settings do not name", e.Type, *e.Class)
	}
	q.Class = c
	if e.Remaining != nil {
		q.Left = *e.Remaining
	} else if e.Type == "Inbound" {
		return q, missing(e, "remaining")
	}
	if e.Bits&flagHint != 0 {
		q.Hint = e.Hint
	}
	var name string
	if len(e.Party) > 0 && json.Unmarshal(e.Party, &name) == nil {
		if t, ok := in.tenants[name]; ok {
			q.Tenant = t
		}
	}
	return q, nil
}

func (h *Host) directory(e *event) error {
	if e.Sheet == nil {
		return missing(e, "sheet")
	}
	entries := make([]brain.Entry, len(e.Elements))
	for i, m := range e.Elements {
		state, ok := states[m.State]
		if !ok {
			return fmt.Errorf("message Directory entry %d with state %q, which is unknown", i, m.State)
		}
		if m.Server == "" {
			return fmt.Errorf("message Directory entry %d without server", i)
		}
		entries[i] = brain.Entry{ID: m.Server, State: state, Zone: m.Zone, Kind: m.Kind, Cell: m.Cell,
			Weight: m.Weight, Since: m.Since}
	}
	h.sheets[*e.Sheet] = entries
	return nil
}

func (h *Host) begin(e *event) error {
	if len(e.Config) == 0 {
		return missing(e, "config")
	}
	cfg, err := Config(e.Config)
	if err != nil {
		return err
	}
	seed, err := seedOf(string(e.Salt))
	if err != nil {
		return err
	}
	in := &instance{classes: map[string]int{}, tenants: map[string]int{}}
	for i, c := range cfg.Classes {
		in.classes[c.Name] = i
	}
	for i, t := range cfg.Tenants {
		in.tenants[t.Name] = i
	}
	b, err := h.make(cfg, seed, &effects{h, e.Balancer})
	if err != nil {
		return fmt.Errorf("message Init of %q: %v", e.Balancer, err)
	}
	in.brain = b
	h.instances[e.Balancer] = in
	return nil
}

func seedOf(s string) (int64, error) {
	if s == "" {
		return 0, nil
	}
	if n, err := strconv.ParseInt(s, 10, 64); err == nil {
		return n, nil
	}
	n, err := strconv.ParseUint(s, 10, 64)
	if err != nil {
		return 0, fmt.Errorf("message Init with salt %q, which is no whole number", s)
	}
	return int64(n), nil
}
