// Package simulator connects balancers to the simulator. It reads batches of events in the simulator's
// line protocol, delivers them to the balancers that they name, and writes the balancers' effects as the
// reply. It makes no decisions of its own. Only this package uses the protocol's names of events, actions
// and fields: the message types and JSON tags of message.go, and the tables and action names of
// decode.go and effects.go.
package simulator

import (
	"encoding/json"
	"errors"
	"fmt"

	"croftlock/internal/balancer"
)

// Factory creates the balancer of one instance. Adapter passes it the seed of the Init message.
type Factory func(cfg balancer.Config, seed int64, fx balancer.Effects) (*balancer.Balancer, error)

// Adapter runs the balancer instances of one process, which share no state. It is not safe for
// concurrent use.
type Adapter struct {
	newBalancer Factory
	instances   map[string]*instance
	hostLists   map[int][]balancer.ListedHost // endpoint lists by the number that later messages name
	reply       reply
}

// NewAdapter returns an Adapter that creates its instances with f.
func NewAdapter(f Factory) *Adapter {
	return &Adapter{newBalancer: f, instances: map[string]*instance{}, hostLists: map[int][]balancer.ListedHost{}}
}

var (
	errMissingTime = errors.New("malformed batch: no time")
	errMissingType = errors.New("no event_type")
)

// HandleBatch delivers one line of events and returns one line of actions, which is valid until the
// next call. If a message is invalid, it returns an error that names the message, and no reply. The
// messages before the invalid one have taken effect.
func (a *Adapter) HandleBatch(line []byte) ([]byte, error) {
	var b batch
	if err := json.Unmarshal(line, &b); err != nil {
		return nil, fmt.Errorf("malformed batch: %v", err)
	}
	if b.Time == nil {
		return nil, errMissingTime
	}
	a.reply.start()
	for i := range b.Messages {
		if err := a.handle(*b.Time, &b.Messages[i]); err != nil {
			return nil, fmt.Errorf("message %d: %v", i, err)
		}
	}
	return a.reply.finish(), nil
}

// handle processes one message of a batch at time now.
func (a *Adapter) handle(now balancer.Time, m *message) error {
	switch {
	case m.Type == "":
		return errMissingType
	case m.Type == typeHostList:
		return a.storeHostList(m)
	case !balancerTypes[m.Type]:
		return fmt.Errorf("unknown event %q", m.Type)
	case m.Balancer == "":
		return missingField(m, "balancer")
	case m.Type == typeStart:
		return a.startInstance(m)
	case m.Type == typeExit:
		delete(a.instances, m.Balancer)
		return nil
	}
	inst := a.instances[m.Balancer]
	if inst == nil {
		return fmt.Errorf("%s for %q, which has not begun", m.Type, m.Balancer)
	}
	if inst.panicked {
		return nil
	}
	a.reply.balancer = m.Balancer
	e, err := a.decode(inst, m)
	if err != nil {
		return err
	}
	a.callRecovering(inst, func(b *balancer.Balancer) { e.deliver(b, now) })
	return nil
}

// callRecovering calls call with the instance's balancer. If call panics, it adds a Bug action, as the
// protocol requires, so that the process does not crash. The instance then receives no further events.
func (a *Adapter) callRecovering(inst *instance, call func(*balancer.Balancer)) {
	defer func() {
		if p := recover(); p != nil {
			inst.panicked = true
			a.reply.begin("Bug").text("message", fmt.Sprint(p)).end()
		}
	}()
	call(inst.balancer)
}
