// Package simulator is the adapter to the simulator: it reads batches of events in the simulator's line
// protocol, gives them to the balancers that they name, and writes their effects as the reply. It holds no
// policy. The themed names of the protocol end here: they are known to the JSON tags of message.go, and to the
// tables and names of actions in decode.go and effects.go.
package simulator

import (
	"encoding/json"
	"errors"
	"fmt"

	"croftlock/internal/balancer"
)

// Factory makes the balancer of one instance.
type Factory func(cfg balancer.Config, seed int64, fx balancer.Effects) (*balancer.Balancer, error)

// Adapter holds the instances of one process, which share nothing.
type Adapter struct {
	newBalancer Factory
	instances   map[string]*instance
	hostLists   map[int][]balancer.ListedHost // endpoint lists by number, to which later messages refer
	reply       reply
}

// NewAdapter makes an adapter that builds its instances with the given factory.
func NewAdapter(f Factory) *Adapter {
	return &Adapter{newBalancer: f, instances: map[string]*instance{}, hostLists: map[int][]balancer.ListedHost{}}
}

var (
	errMissingTime = errors.New("malformed batch: no time")
	errMissingType = errors.New("no event_type")
)

// HandleBatch answers one line of events with one line of actions, which is valid until the next call. An error says
// which message cannot be understood; then there is no reply.
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

// handle carries out one message.
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

// callRecovering reports a panic of an instance as the protocol asks, in place of a crash of the whole process. The
// instance gets no further events.
func (a *Adapter) callRecovering(inst *instance, call func(*balancer.Balancer)) {
	defer func() {
		if p := recover(); p != nil {
			inst.panicked = true
			a.reply.begin("Bug").text("message", fmt.Sprint(p)).end()
		}
	}()
	call(inst.balancer)
}
