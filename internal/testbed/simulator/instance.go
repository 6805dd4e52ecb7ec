package simulator

import (
	"fmt"
	"strconv"

	"croftlock/internal/balancer"
	"croftlock/internal/operations/balancerconfig"
)

// instance is one balancer, from its start message to its exit.
type instance struct {
	balancer *balancer.Balancer
	classes  map[string]int // index by name
	tenants  map[string]int // index by name
	panicked bool           // it has panicked
}

// storeHostList keeps an endpoint list under its number.
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

// startInstance makes the balancer that a start message describes, in place of one of the same name.
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

// parseSeed reads a whole number of 64 bits, with or without a sign. Empty is 0.
func parseSeed(s string) (int64, error) {
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
