package rules

import (
	"bytes"

	"croftlock/internal/fleet/namespace"
)

// reassigns reports whether a host or a tenant has another owner in next than in old. If so, a
// transitional version becomes active between them, by which no account uses what is reassigned.
// Two versions may be in use at the same time for a lease duration, and must not assign one host to
// two owners.
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

// tenantOwners returns the account of each tenant: the deepest account that names the tenant.
// Accounts are sorted by name, so a child overwrites its parent.
func tenantOwners(v *Version) map[string]string {
	owners := map[string]string{}
	for _, a := range v.directoryOrEmpty().Accounts {
		for _, t := range a.Tenants {
			owners[t] = a.Name
		}
	}
	return owners
}

// ownerAssignment returns the part of a version that a following transitional version contains as
// its previous assignment: the owners of hosts and tenants.
func ownerAssignment(v *Version) *namespace.Assignment {
	directory := v.directoryOrEmpty()
	previous := &namespace.Assignment{Pools: directory.Pools}
	for _, a := range directory.Accounts {
		previous.Accounts = append(previous.Accounts, namespace.Account{Name: a.Name, Tenants: a.Tenants})
	}
	return previous
}

// transitional reports whether a version is an intermediate one, by which no account uses the hosts
// and tenants that are being reassigned.
func (v *Version) transitional() bool { return v.directoryOrEmpty().Previous != nil }
