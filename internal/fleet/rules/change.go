package rules

import (
	"fmt"

	"croftlock/internal/fleet/namespace"
)

// ChangeKind says what a change is about.
type ChangeKind uint8

// The kinds of changes.
const (
	KindOperators     ChangeKind = 1 + iota // the operators' part: refusals, hosts out, pools, top accounts, their own namespace
	KindNamespace                           // an account's namespace
	KindAccount                             // an account below another
	KindRemoveAccount                       // the removal of one, and of all below it
	KindRollback                            // everything as an earlier version had it
)

// String names the kind.
func (k ChangeKind) String() string {
	switch k {
	case KindOperators:
		return "operators"
	case KindNamespace:
		return "namespace"
	case KindAccount:
		return "account"
	case KindRemoveAccount:
		return "remove_account"
	case KindRollback:
		return "rollback"
	}
	return fmt.Sprintf("kind_%d", uint8(k))
}

// Change is what an administrator proposes. It is a compare-and-set: its subject must not have changed since the version that it was made against.
type Change struct {
	_           struct{} `cbor:",toarray"`
	ID          []byte   // a retry with the same ID is applied once
	Kind        ChangeKind
	Account     string // the account that it is about; "" for the operators' part
	BaseVersion uint64 // number of the version that it was made against
	Body        []byte // the new state, encoded
	Key         []byte // public key of who signed it; empty: the operators, at their own socket
	Sig         []byte
}

// subject names what a change is about, as people read it; two changes of one subject are never pending at once.
func (c *Change) subject() string {
	switch c.Kind {
	case KindNamespace:
		return "namespace " + c.Account
	case KindAccount, KindRemoveAccount:
		return "account " + c.Account
	}
	return "rules"
}

// NewOperatorsChange replaces the operators' part.
func NewOperatorsChange(v *Version, baseVersion uint64, id []byte) *Change {
	proposed := *v
	proposed.Number = baseVersion + 1
	return &Change{ID: id, Kind: KindOperators, BaseVersion: baseVersion, Body: proposed.Encode()}
}

// NewNamespaceChange replaces an account's namespace.
func NewNamespaceChange(s *namespace.Namespace, baseVersion uint64, id []byte) *Change {
	return &Change{ID: id, Kind: KindNamespace, Account: s.Account, BaseVersion: baseVersion, Body: marshal(s)}
}

// NewAccountChange replaces or adds an account below another.
func NewAccountChange(a *namespace.Account, baseVersion uint64, id []byte) *Change {
	return &Change{ID: id, Kind: KindAccount, Account: a.Name, BaseVersion: baseVersion, Body: marshal(a)}
}

// NewAccountRemoval removes an account and all below it.
func NewAccountRemoval(account string, baseVersion uint64, id []byte) *Change {
	return &Change{ID: id, Kind: KindRemoveAccount, Account: account, BaseVersion: baseVersion}
}

// NewRollback restores everything as an earlier version had it.
func NewRollback(to, baseVersion uint64, id []byte) *Change {
	return &Change{ID: id, Kind: KindRollback, BaseVersion: baseVersion, Body: marshal(to)}
}

// StaleChangeError says that a change's subject is not as it was in the version that the change was made against.
type StaleChangeError struct {
	BaseVersion uint64 // the version that it was made against
	Current     uint64 // the version that changed the subject last, or, for one made against a later version, the active one
}

// Error names both versions.
func (e *StaleChangeError) Error() string {
	if e.BaseVersion > e.Current {
		return fmt.Sprintf("it was made against version %d, which is yet to come", e.BaseVersion)
	}
	return fmt.Sprintf("it was made against version %d, and %d is active", e.BaseVersion, e.Current)
}

// checkBase returns a StaleChangeError where the subject, last changed by one version, is not as a change expects.
func checkBase(baseVersion, lastChanged, active uint64) error {
	if baseVersion < lastChanged {
		return &StaleChangeError{baseVersion, lastChanged}
	}
	if baseVersion > active {
		return &StaleChangeError{baseVersion, active}
	}
	return nil
}
