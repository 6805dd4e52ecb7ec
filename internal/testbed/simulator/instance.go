package simulator

import (
	"fmt"
	"strconv"

	"croftlock/internal/balancer"
	"croftlock/internal/operations/balancerconfig"
)

// instance is one balancer, from its Init message to its Exit message.
type instance struct {
	balancer *balancer.Balancer
	classes  map[string]int // index by name
	tenants  map[string]int // index by name
	panicked bool           // whether the balancer has panicked; it then receives no events
}

// storeHostList stores an endpoint list under its number, and replaces an earlier list of that number.
func (a *Adapter) storeHostList(m *message) error {
	if m.ListNumber == nil {
		return missingField(m, "sheet")
	}
	hosts := make([]balancer.ListedHost, len(m.Hosts))
	for i, h := range m.Hosts {
		state, ok := hostStates[h.State]
		if !ok {
			return fmt.Errorf("message Directory entry %d with state %q, which is unknown", i, h.State)
		}
		if h.ID == "" {
			return fmt.Errorf("message Directory entry %d without server", i)
		}
		hosts[i] = balancer.ListedHost{ID: h.ID, State: state, Zone: h.Zone, Kind: h.Kind, Cell: h.Cell,
			Weight: h.Weight, StartedAt: h.StartedAt}
	}
	a.hostLists[*m.ListNumber] = hosts
	return nil
}

// startInstance creates the balancer that an Init message describes. It replaces an instance of the same
// name.
func (a *Adapter) startInstance(m *message) error {
	if len(m.Config) == 0 {
		return missingField(m, "config")
	}
	cfg, err := balancerconfig.Decode(m.Config)
	if err != nil {
		return err
	}
	seed, err := parseSeed(string(m.Seed))
	if err != nil {
		return err
	}
	inst := &instance{classes: map[string]int{}, tenants: map[string]int{}}
	for i, c := range cfg.Classes {
		inst.classes[c.Name] = i
	}
	for i, t := range cfg.Tenants {
		inst.tenants[t.Name] = i
	}
	inst.balancer, err = a.newBalancer(cfg, seed, &effects{&a.reply, m.Balancer})
	if err != nil {
		return fmt.Errorf("message Init of %q: %v", m.Balancer, err)
	}
	a.instances[m.Balancer] = inst
	return nil
}

// parseSeed parses a signed or unsigned 64-bit integer. A value above the range of int64 wraps around to
// a negative one. An empty string is 0.
func parseSeed(s string) (int64, error) {
	if s == "" {
		return 0, nil
	}
	if n, err := strconv.ParseInt(s, 10, 64); err == nil {
		return n, nil
	}
	n, err := strconv.ParseUint(s, 10, 64)
	if err != nil {
		return 0, fmt.Errorf("message Init with salt %q, which is not a 64-bit integer", s)
	}
	return int64(n), nil
}
