package rules

import (
	"bytes"

	"croftlock/internal/fleet/namespace"
)

// reassigns reports whether a host or a tenant gets another owner between two versions. If so a transitional version comes between them, by which
// nobody uses what is reassigned.
func reassigns(old, next *Version) bool {
	before, after := tenantOwners(old), tenantOwners(next)
	if len(before) != len(after) || !bytes.Equal(marshal(old.namespaces().Pools), marshal(next.namespaces().Pools)) {
		return true
	}
	for tenant, account := range after {
		if before[tenant] != account {
			return true
		}
	}
	return false
}

// tenantOwners gives each tenant's account: the deepest, since accounts are sorted by name and a child comes after its parent.
func tenantOwners(v *Version) map[string]string {
	owners := map[string]string{}
	for _, a := range v.namespaces().Accounts {
		for _, t := range a.Tenants {
			owners[t] = a.Name
		}
	}
	return owners
}

// ownersFrame is what a transitional version needs of the one before: whose each host and tenant was.
func ownersFrame(v *Version) *namespace.Assignment {
	directory := v.namespaces()
	f := &namespace.Assignment{Pools: directory.Pools}
	for _, a := range directory.Accounts {
		f.Accounts = append(f.Accounts, namespace.Account{Name: a.Name, Tenants: a.Tenants})
	}
	return f
}

// transitional reports whether a version is a step between two others, while something is reassigned.
func (v *Version) transitional() bool { return v.namespaces().Previous != nil }
