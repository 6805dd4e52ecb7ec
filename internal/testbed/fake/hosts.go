package fake

// Hosts is a set of upstream hosts and the discovery service that lists them.
type Hosts struct {
	Servers   []*Server
	Discovery *Discovery
}

// NewHosts starts a host without TLS for each ID, all in one zone, and a discovery service that
// lists them.
func NewHosts(zone string, ids ...string) (*Hosts, error) {
	h := &Hosts{}
	for _, id := range ids {
		s, err := NewServer(id, zone, nil)
		if err != nil {
			h.Close()
			return nil, err
		}
		h.Servers = append(h.Servers, s)
	}
	var err error
	if h.Discovery, err = NewDiscovery(h.Entries()...); err != nil {
		h.Close()
		return nil, err
	}
	return h, nil
}

// Entries returns the hosts' entries in an endpoint list.
func (h *Hosts) Entries() (entries []Entry) {
	for _, s := range h.Servers {
		entries = append(entries, s.Entry())
	}
	return entries
}

// Close stops the hosts and their discovery service.
func (h *Hosts) Close() {
	if h.Discovery != nil {
		h.Discovery.Close()
	}
	for _, s := range h.Servers {
		s.Close()
	}
}
