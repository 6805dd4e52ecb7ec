// Package cluster provides the client of the discovery service, which watches the list of upstream hosts.
package cluster

import (
	"encoding/json"
	"errors"
	"fmt"

	"croftlock/internal/balancer"
	"croftlock/internal/dataplane/proxy"
)

// list is the discovery service's JSON form of an endpoint list, or of a change of one if All is false. Rev
// is the list's revision; nil means that the field is missing.
type list struct {
	Rev     *int64  `json:"rev"`
	All     bool    `json:"all"`
	Targets []entry `json:"targets"`
}

// entry is the discovery service's JSON form of one host.
type entry struct {
	UID      string  `json:"uid"`
	Endpoint string  `json:"endpoint"`
	Zone     string  `json:"az"`
	Model    string  `json:"model"`
	Group    int     `json:"pod_group"`
	State    string  `json:"state"`
	Weight   float64 `json:"capacity_hint"`
	BootMS   int64   `json:"boot_ms"` // the host's start, as Unix time in milliseconds; 0 if unknown
}

// hostStates maps the discovery service's names of host states.
var hostStates = map[string]balancer.HostState{"up": balancer.Ready, "draining": balancer.Draining, "removed": balancer.Removed}

// ParseList parses an endpoint list or a change of it, in the form used by the discovery service and by the
// field "known" of the platform configuration.
func ParseList(data []byte) (proxy.WatchEvent, error) {
	var l list
	if err := json.Unmarshal(data, &l); err != nil {
		return proxy.WatchEvent{}, fmt.Errorf("endpoint list: %v", err)
	}
	if l.Rev == nil {
		return proxy.WatchEvent{}, errors.New("endpoint list without rev")
	}
	event := proxy.WatchEvent{Kind: balancer.ListDelta, Version: *l.Rev}
	if l.All {
		event.Kind = balancer.ListFull
	}
	for i, host := range l.Targets {
		state, ok := hostStates[host.State]
		if !ok {
			return proxy.WatchEvent{}, fmt.Errorf("endpoint list entry %d with uid %q: unknown state %q", i, host.UID, host.State)
		}
		if host.UID == "" || host.Endpoint == "" && state != balancer.Removed {
			return proxy.WatchEvent{}, fmt.Errorf("endpoint list entry %d: uid %q or endpoint %q is missing", i, host.UID, host.Endpoint)
		}
		event.Hosts = append(event.Hosts, proxy.HostEntry{Address: host.Endpoint, ListedHost: balancer.ListedHost{ID: host.UID, State: state,
			Zone: host.Zone, Kind: host.Model, Cell: host.Group, Weight: host.Weight, StartedAt: host.BootMS * 1e6}})
	}
	return event, nil
}
