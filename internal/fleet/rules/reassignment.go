package rules

import (
	"bytes"

	"croftlock/internal/fleet/namespace"
)

// reassigns reports whether a host or a tenant gets another owner between two versions. If so a transitional version becomes active between them, by
// which nobody uses what is reassigned: two versions may be in use side by side for a lease's time, and must not give one host to two owners.
func reassigns(old, next *Version) bool {
	before, after := tenantOwners(old), tenantOwners(next)
	if len(before) != len(after) || !bytes.Equal(marshal(old.directoryOrEmpty().Pools), marshal(next.directoryOrEmpty().Pools)) {
		return true
	}
	for tenant, account := range after {
		if before[tenant] != account {
			return true
		}
	}
	return false
}

// tenantOwners gives each tenant's account, which is the deepest that names it: accounts are sorted by name, so a child overwrites its parent.
func tenantOwners(v *Version) map[string]string {
	owners := map[string]string{}
	for _, a := range v.directoryOrEmpty().Accounts {
		for _, t := range a.Tenants {
			owners[t] = a.Name
		}
	}
	return owners
}

// ownerAssignment is what a transitional version needs of the one before: who owned each host and tenant.
func ownerAssignment(v *Version) *namespace.Assignment {
	directory := v.directoryOrEmpty()
	previous := &namespace.Assignment{Pools: directory.Pools}
	for _, a := range directory.Accounts {
		previous.Accounts = append(previous.Accounts, namespace.Account{Name: a.Name, Tenants: a.Tenants})
	}
	return previous
}

// transitional reports whether a version is an intermediate step while something is reassigned.
func (v *Version) transitional() bool { return v.directoryOrEmpty().Previous != nil }
