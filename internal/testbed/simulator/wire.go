// Package simulator is the adapter to the simulator: it reads and writes the simulator's line protocol. It holds no policy: events go to the decision module of the
// instance they name, and what that does comes back as the actions of the reply.
package simulator

import (
	"encoding/json"
	"fmt"

	"croftlock/internal/balancer"
)

// Factory makes the decision code of one instance.
type Factory func(cfg balancer.Config, seed int64, fx balancer.Effects) (*balancer.Balancer, error)

// Host keeps the instances of one process and turns batches into replies. The instances share nothing.
type Host struct {
	make      Factory
	instances map[string]*instance
	sheets    map[int][]balancer.ListedHost
	out       writer
}

type instance struct {
	brain   *balancer.Balancer
	classes map[string]int
	tenants map[string]int
	failed  bool
}

// NewHost makes a host that builds its instances with the given factory.
func NewHost(f Factory) *Host {
	return &Host{make: f, instances: map[string]*instance{}, sheets: map[int][]balancer.ListedHost{}}
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
func (h *Host) guard(in *instance, call func(*balancer.Balancer)) {
	defer func() {
		if p := recover(); p != nil {
			in.failed = true
			h.out.action("Bug").text("message", fmt.Sprint(p)).end()
		}
	}()
	call(in.brain)
}
