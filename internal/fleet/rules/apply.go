package rules

import (
	"bytes"
	"cmp"
	"errors"
	"fmt"
	"slices"

	"croftlock/internal/fleet/namespace"
)

var errUnknownChange = errors.New("a kind of change that is not known here")

// versionByNumber returns the active version or an earlier one. It returns nil if the history does
// not have the version any more.
type versionByNumber func(number uint64) *Version

// next returns a copy of v with the following number and a directory that is not nil, but without a
// previous assignment. Changes may be applied to the copy without changing v.
func (v *Version) next() *Version {
	next := *v
	next.Number++
	directory := v.directoryOrEmpty()
	directory.Previous = nil
	directory.Accounts, directory.Namespaces = slices.Clone(directory.Accounts), slices.Clone(directory.Namespaces)
	next.Directory = &directory
	return &next
}

// normalizeAndCheck sets an empty directory to nil, which the canonical encoding requires, and
// returns the error of Check.
func (v *Version) normalizeAndCheck() error {
	if directory := v.Directory; directory != nil && len(directory.Pools)+len(directory.Accounts)+len(directory.Namespaces) == 0 && directory.Previous == nil {
		v.Directory = nil
	}
	return v.Check()
}

// Apply returns the version that a change makes of v, without changing v. It checks the complete
// version, so that no order of changes evades an account's limits. Only KindRollback uses history.
// If the error is not nil, the returned version must not be used.
func (v *Version) Apply(c *Change, history versionByNumber) (*Version, error) {
	next := v.next()
	return next, next.apply(v, c, history)
}

// apply applies a change to v, which must be a copy that Version.next returned. base is the active
// version. v may already contain other changes that are staged together with this one.
func (v *Version) apply(base *Version, c *Change, history versionByNumber) error {
	var err error
	switch c.Kind {
	case KindOperators:
		err = v.applyOperators(base, c)
	case KindNamespace:
		err = v.applyNamespace(base, c)
	case KindAccount:
		err = v.applyAccount(base, c)
	case KindRemoveAccount:
		err = v.applyRemoval(base, c)
	case KindRollback:
		err = v.applyRollback(base, c, history)
	default:
		err = errUnknownChange
	}
	if err != nil {
		return err
	}
	return v.normalizeAndCheck()
}

// applyOperators replaces the operators' part (see NewOperatorsChange). It keeps the customers'
// accounts that still have a parent, and the namespaces of accounts that still exist.
func (v *Version) applyOperators(base *Version, c *Change) error {
	if err := checkBase(c.BaseVersion, base.OperatorsNumber, base.Number); err != nil {
		return err
	}
	proposed, err := Decode(c.Body)
	if err != nil {
		return err
	}
	v.Refusals, v.ExcludedHosts, v.OperatorsNumber = proposed.Refusals, proposed.ExcludedHosts, v.Number
	directory, old := proposed.directoryOrEmpty(), *v.Directory
	v.Directory.Pools = directory.Pools
	v.Directory.Accounts = mergeAccounts(directory.Accounts, old.Accounts, v.Number)
	v.Directory.Namespaces, err = mergeNamespaces(directory.Namespaces, old.Namespaces, v.Directory.Accounts, v.Number)
	return err
}

// mergeAccounts returns the proposed accounts and the old accounts below them, sorted by name. A
// proposed account that equals the old one keeps its version number; others get number.
func mergeAccounts(proposed, old []namespace.Account, number uint64) (accounts []namespace.Account) {
	for _, a := range proposed {
		a.VersionNumber = number
		if i, found := findAccount(old, a.Name); found {
			if a.VersionNumber = old[i].VersionNumber; !bytes.Equal(marshal(a), marshal(old[i])) {
				a.VersionNumber = number
			}
		}
		accounts = append(accounts, a)
	}
	for _, a := range old {
		i, isProposed := findAccount(accounts, a.Name)
		if _, hasParent := findAccount(accounts, namespace.Parent(a.Name)); !isProposed && hasParent {
			accounts = slices.Insert(accounts, i, a)
		}
	}
	return accounts
}

// mergeNamespaces returns the proposed namespace of the operators with the version number, and the
// old ones of accounts that still exist. It returns an error if an account's namespace is proposed.
func mergeNamespaces(proposed, old []namespace.Namespace, accounts []namespace.Account, number uint64) (spaces []namespace.Namespace, err error) {
	for _, s := range proposed {
		if s.Account != "" {
			return spaces, fmt.Errorf("the namespace of account %s is changed by itself", s.Account)
		}
		s.VersionNumber = number
		spaces = append(spaces, s)
	}
	for _, s := range old {
		if _, found := findAccount(accounts, s.Account); found {
			spaces = append(spaces, s)
		}
	}
	return spaces, nil
}

// findAccount returns the index of an account in the sorted slice all, or the index at which to
// insert it, and reports whether it exists.
func findAccount(all []namespace.Account, name string) (int, bool) {
	return slices.BinarySearchFunc(all, name, func(a namespace.Account, name string) int { return cmp.Compare(a.Name, name) })
}

// findNamespace returns the index of an account's namespace in the sorted slice all, or the index at
// which to insert it, and reports whether it exists.
func findNamespace(all []namespace.Namespace, account string) (int, bool) {
	return slices.BinarySearchFunc(all, account, func(s namespace.Namespace, account string) int { return cmp.Compare(s.Account, account) })
}

// removeEntry removes the entry at index i if exists is true. It returns the other entries and the
// number of the version that last changed the removed entry, or 0 if there was none. It overwrites
// the slice all, which must be a copy that Version.next has made.
func removeEntry[T any](all []T, i int, exists bool, number func(T) uint64) (rest []T, lastChanged uint64) {
	if !exists {
		return all, 0
	}
	lastChanged = number(all[i]) // read before slices.Delete overwrites the entry
	return slices.Delete(all, i, i+1), lastChanged
}

// applyNamespace replaces an account's namespace, or removes it if the proposed one has no routes.
func (v *Version) applyNamespace(base *Version, c *Change) error {
	var proposed namespace.Namespace
	if err := unmarshal(c.Body, &proposed); err != nil {
		return err
	}
	if proposed.Account != c.Account || c.Account == "" {
		return fmt.Errorf("a change of namespace %q that holds the one of %q", c.Account, proposed.Account)
	}
	if err := namespace.CheckNamespace(&proposed); err != nil {
		return err
	}
	i, exists := findNamespace(v.Directory.Namespaces, c.Account)
	spaces, lastChanged := removeEntry(v.Directory.Namespaces, i, exists, func(s namespace.Namespace) uint64 { return s.VersionNumber })
	if err := checkBase(c.BaseVersion, lastChanged, base.Number); err != nil {
		return err
	}
	v.Directory.Namespaces = spaces
	if proposed.VersionNumber = v.Number; len(proposed.Guards)+len(proposed.Routes)+len(proposed.Defaults) > 0 {
		v.Directory.Namespaces = slices.Insert(v.Directory.Namespaces, i, proposed)
	}
	return nil
}

// applyAccount replaces or adds an account below another one. It rejects top-level accounts: only
// KindOperators changes them.
func (v *Version) applyAccount(base *Version, c *Change) error {
	var proposed namespace.Account
	if err := unmarshal(c.Body, &proposed); err != nil {
		return err
	}
	if proposed.Name != c.Account || namespace.Parent(proposed.Name) == "" {
		return fmt.Errorf("a change of account %q that holds %q; those at the top are changed with the rules", c.Account, proposed.Name)
	}
	i, exists := findAccount(v.Directory.Accounts, proposed.Name)
	accounts, lastChanged := removeEntry(v.Directory.Accounts, i, exists, func(a namespace.Account) uint64 { return a.VersionNumber })
	if err := checkBase(c.BaseVersion, lastChanged, base.Number); err != nil {
		return err
	}
	proposed.VersionNumber = v.Number
	v.Directory.Accounts = slices.Insert(accounts, i, proposed)
	return nil
}

// applyRemoval removes an account and everything below it, including the namespaces.
func (v *Version) applyRemoval(base *Version, c *Change) error {
	i, exists := findAccount(v.Directory.Accounts, c.Account)
	if !exists || namespace.Parent(c.Account) == "" {
		return fmt.Errorf("there is no account %s below another", c.Account)
	}
	if err := checkBase(c.BaseVersion, v.Directory.Accounts[i].VersionNumber, base.Number); err != nil {
		return err
	}
	v.Directory.Accounts = slices.DeleteFunc(v.Directory.Accounts, func(a namespace.Account) bool { return namespace.IsWithin(a.Name, c.Account) })
	v.Directory.Namespaces = slices.DeleteFunc(v.Directory.Namespaces, func(s namespace.Namespace) bool { return namespace.IsWithin(s.Account, c.Account) })
	return nil
}

// applyRollback restores an earlier version. Unlike other changes, a rollback must be based on
// exactly the active version.
func (v *Version) applyRollback(base *Version, c *Change, history versionByNumber) error {
	if c.BaseVersion != base.Number {
		return checkBase(c.BaseVersion, base.Number, base.Number)
	}
	var number uint64 // of the version to restore
	if err := unmarshal(c.Body, &number); err != nil {
		return err
	}
	old := history(number)
	if old == nil {
		return fmt.Errorf("version %d is not kept any more", number)
	}
	restored := old.next()
	restored.setNumber(v.Number)
	*v = *restored
	return nil
}

// setNumber sets the number of a version and of all its parts. After a rollback every part counts
// as changed, so that every change that was made against an older version is rejected as stale.
func (v *Version) setNumber(number uint64) {
	v.Number, v.OperatorsNumber = number, number
	for i := range v.Directory.Namespaces {
		v.Directory.Namespaces[i].VersionNumber = number
	}
	for i := range v.Directory.Accounts {
		v.Directory.Accounts[i].VersionNumber = number
	}
}

// equalIgnoringNumbers reports whether two versions differ at most in the numbers of the version
// and its parts.
func equalIgnoringNumbers(a, b *Version) bool {
	x, y := a.next(), b.next()
	x.setNumber(0)
	y.setNumber(0)
	return bytes.Equal(marshal(x), marshal(y))
}
