// Package cluster is the client of discovery: it keeps a watch on the list of upstream hosts.
package cluster

import (
	"encoding/json"
	"errors"
	"fmt"

	"croftlock/internal/balancer"
	"croftlock/internal/dataplane/proxy"
)

// list is a list, or a change of it, in discovery's form and by its names.
type list struct {
	Rev     *int64  `json:"rev"`
	All     bool    `json:"all"`
	Targets []entry `json:"targets"`
}

// entry is one host in it.
type entry struct {
	UID      string  `json:"uid"`
	Endpoint string  `json:"endpoint"`
	Zone     string  `json:"az"`
	Model    string  `json:"model"`
	Group    int     `json:"pod_group"`
	State    string  `json:"state"`
	Weight   float64 `json:"capacity_hint"`
	BootMS   int64   `json:"boot_ms"`
}

var hostStates = map[string]balancer.HostState{"up": balancer.Ready, "draining": balancer.Draining, "removed": balancer.Removed}

// ParseList reads a list or a change of it, as discovery and the configuration's known give it.
func ParseList(data []byte) (proxy.WatchEvent, error) {
	var l list
	if err := json.Unmarshal(data, &l); err != nil {
		return proxy.WatchEvent{}, fmt.Errorf("list: %v", err)
	}
	if l.Rev == nil {
		return proxy.WatchEvent{}, errors.New("list without rev")
	}
	ch := proxy.WatchEvent{Kind: balancer.ListDelta, Version: *l.Rev}
	if l.All {
		ch.Kind = balancer.ListFull
	}
	for i, e := range l.Targets {
		state, ok := hostStates[e.State]
		if !ok {
			return proxy.WatchEvent{}, fmt.Errorf("list entry %d: state %q, which is unknown", i, e.State)
		}
		if e.UID == "" || e.Endpoint == "" && state != balancer.Removed {
			return proxy.WatchEvent{}, fmt.Errorf("list entry %d: no uid or endpoint", i)
		}
		ch.Hosts = append(ch.Hosts, proxy.HostEntry{Address: e.Endpoint, ListedHost: balancer.ListedHost{ID: e.UID, State: state,
			Zone: e.Zone, Kind: e.Model, Cell: e.Group, Weight: e.Weight, StartedAt: e.BootMS * 1e6}})
	}
	return ch, nil
}
