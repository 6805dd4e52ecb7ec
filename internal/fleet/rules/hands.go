package rules

import (
	"bytes"

	"croftlock/internal/fleet/namespace"
)

// moves tells whether a host or a tenant changes hands between two versions.
func moves(old, next *Version) bool {
	frame := func(v *Version) (namespace.Frame, map[string]string) {
		f, of := namespace.Frame{Pools: book(v).Pools, Accounts: book(v).Accounts}, map[string]string{}
		for _, a := range f.Accounts { // the deepest stands last
			for _, t := range a.Tenants {
				of[t] = a.Name
			}
		}
		return f, of
	}
	a, had := frame(old)
	b, has := frame(next)
	if len(had) != len(has) || !bytes.Equal(marshal(a.Pools), marshal(b.Pools)) {
		return true
	}
	for t, account := range has {
		if had[t] != account {
			return true
		}
	}
	return false
}

// bare is what a frame needs to say whose something was.
func bare(v *Version) *namespace.Frame {
	f := &namespace.Frame{Pools: book(v).Pools}
	for _, a := range book(v).Accounts {
		f.Accounts = append(f.Accounts, namespace.Account{Name: a.Name, Tenants: a.Tenants})
	}
	return f
}
