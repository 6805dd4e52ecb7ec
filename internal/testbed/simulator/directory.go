package simulator

import (
	"fmt"
	"strconv"

	"croftlock/internal/balancer"
	"croftlock/internal/operations/balancerconfig"
)

func (h *Host) directory(e *event) error {
	if e.Sheet == nil {
		return missing(e, "sheet")
	}
	entries := make([]balancer.ListedHost, len(e.Elements))
	for i, m := range e.Elements {
		state, ok := states[m.State]
		if !ok {
			return fmt.Errorf("message Directory entry %d with state %q, which is unknown", i, m.State)
		}
		if m.Server == "" {
			return fmt.Errorf("message Directory entry %d without server", i)
		}
		entries[i] = balancer.ListedHost{ID: m.Server, State: state, Zone: m.Zone, Kind: m.Kind, Cell: m.Cell,
			Weight: m.Weight, StartedAt: m.Since}
	}
	h.sheets[*e.Sheet] = entries
	return nil
}

func (h *Host) begin(e *event) error {
	if len(e.Config) == 0 {
		return missing(e, "config")
	}
	cfg, err := balancerconfig.Decode(e.Config)
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
