package node

import (
	"testing"

	"croftlock/internal/balancer"
	"croftlock/internal/dataplane/proxy"
	"croftlock/internal/operations/platform"
)

// otherDiscovery is the address of another discovery than that of the process under test.
const otherDiscovery = "127.0.0.1:3"

// TestNewProcessKeepsListWithoutRevision guards against a list that is lost in a hot restart, with what it says
// of draining hosts, because discovery has moved and has not answered at its new address.
func TestNewProcessKeepsListWithoutRevision(t *testing.T) {
	configured := proxy.WatchEvent{Kind: balancer.ListCached, Version: 41, Hosts: []proxy.HostEntry{listedHost("configured", balancer.Ready)}}
	for _, c := range []struct {
		name      string
		discovery string
		revision  int64
		live      bool
		want      string // ID of the only host
		version   int64
	}{
		{"newer", ownDiscovery, 42, true, "handed", 42},
		{"older", ownDiscovery, 40, true, "configured", 41},
		{"of a moved discovery that has not answered", ownDiscovery, -1, true, "handed", noRevision},
		{"of another discovery", otherDiscovery, 42, true, "handed", noRevision},
		{"stored, of a moved discovery that had not answered", ownDiscovery, -1, false, "configured", 41},
		{"stored, of another discovery", otherDiscovery, 42, false, "configured", 41},
	} {
		s := &proxy.Snapshot{Discovery: c.discovery, Revision: c.revision, Hosts: []proxy.HostEntry{listedHost("handed", balancer.Draining)}}
		list := knownList(&platform.Config{Discovery: ownDiscovery, CachedList: configured}, s, c.live)
		if list.Hosts[0].ID != c.want || list.Version != c.version {
			t.Errorf("list %s: the process starts with that of host %s, revision %d; want %s, %d", c.name, list.Hosts[0].ID, list.Version, c.want, c.version)
		}
	}
	empty := knownList(&platform.Config{Discovery: ownDiscovery, CachedList: configured}, &proxy.Snapshot{Discovery: ownDiscovery, Revision: -1}, true)
	if empty.Version != 41 {
		t.Errorf("an old process without a list: the process starts with revision %d, want the configuration's, 41", empty.Version)
	}
}
