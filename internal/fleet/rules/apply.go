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

// versionByNumber gives an earlier version, or the active one; nil: the history no longer has it.
type versionByNumber func(number uint64) *Version

// next is a copy with the following number, to which changes may be applied without changing v.
func (v *Version) next() *Version {
	next := *v
	next.Number++
	directory := v.directoryOrEmpty()
	directory.Previous = nil
	directory.Accounts, directory.Namespaces = slices.Clone(directory.Accounts), slices.Clone(directory.Namespaces)
	next.Directory = &directory
	return &next
}

// normalizeAndCheck drops an empty directory, and checks the version.
func (v *Version) normalizeAndCheck() error {
	if directory := v.Directory; directory != nil && len(directory.Pools)+len(directory.Accounts)+len(directory.Namespaces) == 0 && directory.Previous == nil {
		v.Directory = nil
	}
	return v.Check()
}

// Apply gives the version after a change. The complete version is checked, so that no order of changes evades an account's limits. history is
// for KindRollback.
func (v *Version) Apply(c *Change, history versionByNumber) (*Version, error) {
	n := v.next()
	return n, n.apply(v, c, history)
}

// apply changes a version that next has made. base is the active version, while v may hold other changes of the same round already.
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

// mergeAccounts gives the operators' accounts, an unchanged one with its earlier number, and the accounts that customers have made below them.
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

// mergeNamespaces gives the operators' own namespace, and those of accounts that still exist.
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

func findAccount(all []namespace.Account, name string) (int, bool) {
	return slices.BinarySearchFunc(all, name, func(a namespace.Account, name string) int { return cmp.Compare(a.Name, name) })
}

func findNamespace(all []namespace.Namespace, account string) (int, bool) {
	return slices.BinarySearchFunc(all, account, func(s namespace.Namespace, account string) int { return cmp.Compare(s.Account, account) })
}

// removeEntry removes the entry at i, where it exists, and gives the number of the version that changed that entry last. It overwrites all, which
// must be a slice that next has copied.
func removeEntry[T any](all []T, i int, exists bool, number func(T) uint64) (rest []T, lastChanged uint64) {
	if !exists {
		return all, 0
	}
	lastChanged = number(all[i]) // Delete clears the last element
	return slices.Delete(all, i, i+1), lastChanged
}

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

func (v *Version) applyRollback(base *Version, c *Change, history versionByNumber) error {
	if c.BaseVersion != base.Number {
		return checkBase(c.BaseVersion, base.Number, base.Number)
	}
	var number uint64
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

// setNumber gives a version and all its parts a number: after a rollback every part counts as changed, so that no older change applies to it.
func (v *Version) setNumber(number uint64) {
	v.Number, v.OperatorsNumber = number, number
	for i := range v.Directory.Namespaces {
		v.Directory.Namespaces[i].VersionNumber = number
	}
	for i := range v.Directory.Accounts {
		v.Directory.Accounts[i].VersionNumber = number
	}
}

// equalIgnoringNumbers reports whether two versions differ at most in numbers.
func equalIgnoringNumbers(a, b *Version) bool {
	x, y := a.next(), b.next()
	x.setNumber(0)
	y.setNumber(0)
	return bytes.Equal(marshal(x), marshal(y))
}
