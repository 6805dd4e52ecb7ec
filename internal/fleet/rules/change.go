package rules

import (
	"fmt"

	"croftlock/internal/fleet/namespace"
)

// ChangeKind specifies which part of the rules a change replaces.
type ChangeKind uint8

// The kinds of changes.
const (
	KindOperators     ChangeKind = 1 + iota // refusals, excluded hosts, pools, top-level accounts and the operators' namespace
	KindNamespace                           // an account's namespace
	KindAccount                             // an account below another account
	KindRemoveAccount                       // the removal of such an account and everything below it
	KindRollback                            // everything, restored from an earlier version
)

// String returns the name of the kind.
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

// Change is a change that an administrator proposes. Like a compare-and-set, it is rejected if its
// subject (the rules, a namespace or an account) has changed since its base version.
type Change struct {
	_           struct{} `cbor:",toarray"`
	ID          []byte   // changes with the same ID are applied once
	Kind        ChangeKind
	Account     string // the account, or the owner of the namespace; empty for KindOperators and KindRollback
	BaseVersion uint64 // number of the version that the change is based on
	Body        []byte // the encoded new state; the number of the version to restore for KindRollback
	Key         []byte // the signer's public key; empty for a change by the operators at their own socket
	Sig         []byte // Ed25519 signature; see Sign
}

// subject returns a readable name of what a change is about. Two changes of the same subject are
// never pending at the same time.
func (c *Change) subject() string {
	switch c.Kind {
	case KindNamespace:
		return "namespace " + c.Account
	case KindAccount, KindRemoveAccount:
		return "account " + c.Account
	}
	return "rules"
}

// NewOperatorsChange returns a change that replaces the operators' part (refusals, excluded hosts,
// pools, top-level accounts and the operators' namespace) with that of v. If id is empty,
// EncodeProposal sets an ID; the same holds for the other constructors.
func NewOperatorsChange(v *Version, baseVersion uint64, id []byte) *Change {
	proposed := *v
	proposed.Number = baseVersion + 1
	return &Change{ID: id, Kind: KindOperators, BaseVersion: baseVersion, Body: proposed.Encode()}
}

// NewNamespaceChange returns a change that replaces an account's namespace.
func NewNamespaceChange(s *namespace.Namespace, baseVersion uint64, id []byte) *Change {
	return &Change{ID: id, Kind: KindNamespace, Account: s.Account, BaseVersion: baseVersion, Body: marshal(s)}
}

// NewAccountChange returns a change that replaces or adds an account below another account.
func NewAccountChange(a *namespace.Account, baseVersion uint64, id []byte) *Change {
	return &Change{ID: id, Kind: KindAccount, Account: a.Name, BaseVersion: baseVersion, Body: marshal(a)}
}

// NewAccountRemoval returns a change that removes an account and everything below it.
func NewAccountRemoval(account string, baseVersion uint64, id []byte) *Change {
	return &Change{ID: id, Kind: KindRemoveAccount, Account: account, BaseVersion: baseVersion}
}

// NewRollback returns a change that restores all rules from the earlier version number.
func NewRollback(number, baseVersion uint64, id []byte) *Change {
	return &Change{ID: id, Kind: KindRollback, BaseVersion: baseVersion, Body: marshal(number)}
}

// StaleChangeError is returned if the subject of a change has changed since the base version of the
// change, or if the base version does not exist yet.
type StaleChangeError struct {
	BaseVersion uint64 // the base version of the change
	Current     uint64 // the last version that changed the subject, or the active one if BaseVersion is later
}

// Error returns a message with both versions.
func (e *StaleChangeError) Error() string {
	if e.BaseVersion > e.Current {
		return fmt.Sprintf("it was made against version %d, which is yet to come", e.BaseVersion)
	}
	return fmt.Sprintf("it was made against version %d, and %d is active", e.BaseVersion, e.Current)
}

// checkBase returns a *StaleChangeError if a subject was last changed after baseVersion, or if
// baseVersion is later than the active version. All arguments are version numbers; lastChanged is 0
// if the subject does not exist.
func checkBase(baseVersion, lastChanged, active uint64) error {
	if baseVersion < lastChanged {
		return &StaleChangeError{baseVersion, lastChanged}
	}
	if baseVersion > active {
		return &StaleChangeError{baseVersion, active}
	}
	return nil
}
