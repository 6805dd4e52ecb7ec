package memberagent

import (
	"bytes"
	"fmt"
	"net/netip"
	"slices"
	"strings"

	"croftlock/internal/fleet/membership"
	"croftlock/internal/operations/certs"
	"croftlock/internal/operations/settings"
)

// Options are the section (membership …).
type Options struct {
	On     bool
	Fleet  string
	Listen string
	Peers  []string // every member's address as reached from here, the own included
	Seeds  []string // addresses of some, in place of Peers, where members come and go
	Base   int
	Keys   []string // files; none: datagrams are not sealed
	Socket string   // where operators ask; "": nowhere
}

// Section is the operators' say.
func Section() settings.Section {
	return settings.Section{Name: "membership", Doc: "which of a fleet's proxies are there", Bind: func(f *settings.Form) any {
		o := Options{Fleet: "croftlock"}
		isAddr := func(s string) bool { _, err := netip.ParseAddrPort(s); return err == nil }
		f.Bool("on", "whether proxies tell one another who is there, by datagrams", &o.On)
		f.Text("fleet", "name of the fleet; others' datagrams are refused", "a name", &o.Fleet, func(s string) bool { return s != "" && len(s) <= 64 })
		f.Text("listen", "own address for datagrams", "an address with a port", &o.Listen, isAddr)
		addresses := func(to *[]string) func(s string) bool {
			return func(s string) bool {
				for _, p := range strings.Fields(s) {
					if !isAddr(p) || slices.Contains(*to, p) {
						return false
					}
					*to = append(*to, p)
				}
				return len(*to) > 0
			}
		}
		var list string
		f.Text("peers", "addresses of all members, the own included, as reached from here, with spaces between", "addresses with ports", &list, addresses(&o.Peers))
		f.Text("seeds", "addresses of some members, in place of peers, where members come and go; the others' are learnt", "addresses with ports", &list, addresses(&o.Seeds))
		f.Int("base", "members that the fleet is meant to have, for a majority; 0: as many as peers", &o.Base, 0, 10000)
		f.Paths("keys", "files with the keys of datagrams, at most two: the first seals, either opens; readable by their owner alone", &o.Keys)
		f.Path("socket", "Unix socket at which operators ask who is there", &o.Socket)
		if len(o.Seeds) > 0 && (len(o.Peers) > 0 || o.Listen == "") {
			f.Fault("seeds", "seeds go with listen and without peers")
		}
		if o.On && len(o.Seeds) == 0 && len(o.Peers)+len(o.Listen) > 0 && !slices.Contains(o.Peers, o.Listen) {
			f.Fault("peers", "the own address %q is not among the peers, expected it there", o.Listen)
		}
		if len(o.Keys) > 2 {
			f.Fault("keys", "%d files, expected at most two", len(o.Keys))
		}
		return o
	}}
}

// Check reads the files that the section names.
func (o Options) Check() error {
	_, err := o.seal()
	return err
}

func (o Options) seal() (*membership.Seal, error) {
	if !o.On || len(o.Keys) == 0 {
		return nil, nil
	}
	var keys [][]byte
	for _, path := range o.Keys {
		data, err := certs.ReadSecret(path)
		if err != nil {
			return nil, fmt.Errorf("keys: %w", err)
		}
		keys = append(keys, bytes.TrimSpace(data))
	}
	return membership.NewSeal(keys...)
}
