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

const (
	defaultFleet      = "croftlock"
	maxFleetName      = 64    // bytes
	maxFleetSize      = 10000 // members
	maxKeys           = 2     // during a key change, the old and the new key
	addressFormat     = "an address with a port"
	addressListFormat = "addresses with ports"
)

// Options holds the section (membership …) of the settings file.
type Options struct {
	Enabled bool   // whether this process takes part; default false
	Fleet   string // name of the fleet; datagrams of another fleet are rejected; default "croftlock"
	// Listen is the address at which this process receives datagrams. It is empty if the platform's link
	// is used.
	Listen string
	Peers  []string // addresses of all members, as this process reaches them, including its own
	// Seeds are the addresses of some members. They replace Peers if members come and go.
	Seeds []string
	// FleetSize is the intended number of members, of which a majority is more than half. Zero means the
	// number of Peers or Seeds, or of the platform's proxies.
	FleetSize int
	// Keys are the paths of at most two key files. The first key seals datagrams, and either opens them.
	// Without keys, datagrams are not sealed.
	Keys   []string
	Socket string // path of the Unix socket for operators; empty if there is none
}

// usesPlatform reports whether the platform specifies the addresses, as the section has none.
func (o Options) usesPlatform() bool { return len(o.Peers) == 0 && len(o.Seeds) == 0 }

// IntendedSize returns the intended number of members. platformProxies is the number of the platform's
// proxies.
func (o Options) IntendedSize(platformProxies int) int {
	switch {
	case o.FleetSize > 0:
		return o.FleetSize
	case o.usesPlatform():
		return platformProxies
	}
	return max(len(o.Peers), len(o.Seeds))
}

// Section returns the declaration of the settings section.
func Section() settings.Section {
	return settings.Section{Name: "membership", Doc: "which of a fleet's proxies are there", Bind: func(f *settings.FieldSet) any {
		o := Options{Fleet: defaultFleet}
		o.bind(f)
		o.checkConsistency(f)
		return o
	}}
}

// bind declares the fields of the section, which it stores in o.
func (o *Options) bind(f *settings.FieldSet) {
	f.Bool("on", "whether proxies tell one another who is there, by datagrams", &o.Enabled)
	f.Text("fleet", "name of the fleet; others' datagrams are refused", "a name", &o.Fleet, func(s string) bool { return s != "" && len(s) <= maxFleetName })
	f.Text("listen", "own address for datagrams", addressFormat, &o.Listen, isAddress)
	var list string
	f.Text("peers", "addresses of all members, the own included, as reached from here, with spaces between", addressListFormat, &list, parseAddresses(&o.Peers))
	f.Text("seeds", "addresses of some members, in place of peers, where members come and go; the others' are learnt", addressListFormat, &list, parseAddresses(&o.Seeds))
	f.Int("base", "members that the fleet is meant to have, for a majority; 0: as many as peers", &o.FleetSize, 0, maxFleetSize)
	f.Paths("keys", "files with the keys of datagrams, at most two: the first seals, either opens; readable by their owner alone", &o.Keys)
	f.Path("socket", "Unix socket at which operators ask who is there", &o.Socket)
}

// checkConsistency reports settings that contradict each other.
func (o *Options) checkConsistency(f *settings.FieldSet) {
	if len(o.Seeds) > 0 && (len(o.Peers) > 0 || o.Listen == "") {
		f.AddFault("seeds", "seeds require listen and exclude peers")
	}
	if o.Enabled && len(o.Seeds) == 0 && len(o.Peers)+len(o.Listen) > 0 && !slices.Contains(o.Peers, o.Listen) {
		f.AddFault("peers", "the own address %q is not among the peers %q", o.Listen, o.Peers)
	}
	if len(o.Keys) > maxKeys {
		f.AddFault("keys", "%d files, expected at most %d", len(o.Keys), maxKeys)
	}
}

// isAddress reports whether s is an IP address with a port.
func isAddress(s string) bool {
	_, err := netip.ParseAddrPort(s)
	return err == nil
}

// parseAddresses returns a function that appends a list of addresses to *to. The function returns false if
// an address is malformed or repeated, or if there is none.
func parseAddresses(to *[]string) func(s string) bool {
	return func(s string) bool {
		for _, address := range strings.Fields(s) {
			if !isAddress(address) || slices.Contains(*to, address) {
				return false
			}
			*to = append(*to, address)
		}
		return len(*to) > 0
	}
}

// Check reads the key files of the section, and returns an error if they cannot be used.
func (o Options) Check() error {
	_, err := o.seal()
	return err
}

// seal reads the key files and returns the seal over datagrams. It returns nil if there are no keys or
// membership is not enabled.
func (o Options) seal() (*membership.Seal, error) {
	if !o.Enabled || len(o.Keys) == 0 {
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
