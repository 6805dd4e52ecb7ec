package fake

// Hosts are upstream hosts with a discovery that lists them.
type Hosts struct {
	Servers   []*Server
	Discovery *Discovery
}

// NewHosts starts a host for each ID, in one zone, without TLS.
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

// Entries are the hosts in an endpoint list.
func (h *Hosts) Entries() (entries []Entry) {
	for _, s := range h.Servers {
		entries = append(entries, s.Entry())
	}
	return entries
}

// Close ends the hosts and their discovery.
func (h *Hosts) Close() {
	if h.Discovery != nil {
		h.Discovery.Close()
	}
	for _, s := range h.Servers {
		s.Close()
	}
}
