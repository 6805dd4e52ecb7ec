package rules

import (
	"bytes"
	"cmp"
	"errors"
	"fmt"
	"slices"

	"croftlock/internal/fleet/namespace"
)

// What a change is about.
const (
	ChangeRules   = 1 + iota // the operators' part: refusals, hosts out, pools, top accounts, their own namespace
	ChangeSpace              // an account's namespace
	ChangeAccount            // an account below another
	DropAccount              // the end of one, and of all below it
	Rollback                 // everything as an earlier version had it
)

// Change is one administrator's wish. It is made against a version: whatever it is about must be as it was in that one.
type Change struct {
	_       struct{} `cbor:",toarray"`
	ID      []byte   // asked twice is as once
	Kind    uint8
	Part    string // the account that it is about; "" for the operators' part
	Against uint64
	Body    []byte
	Key     []byte // who signed it; empty: the operators, at their own socket
	Sig     []byte
}

// Part names what a change is about, for people; two with the same are never on their way at once.
func (c *Change) about() string {
	switch c.Kind {
	case ChangeSpace:
		return "namespace " + c.Part
	case ChangeAccount, DropAccount:
		return "account " + c.Part
	}
	return "rules"
}

// stale says that a change was made against something older than what holds now.
func stale(against, changed, now uint64) error {
	if against < changed {
		return fmt.Errorf("it was made against version %d, and %d is active", against, changed)
	}
	if against > now {
		return fmt.Errorf("it was made against version %d, which is yet to come", against)
	}
	return nil
}

// between tells whether a version is a step from one to the next, while something changes hands.
func (v *Version) between() bool { return book(v).Was != nil }

// next is a version that changes may be applied to; nothing of v is changed through it.
func (v *Version) next() *Version {
	n := *v
	n.Number++
	b := namespace.Book{}
	if v.Book != nil {
		b = *v.Book
	}
	b.Was = nil
	b.Accounts, b.Spaces = slices.Clone(b.Accounts), slices.Clone(b.Spaces)
	n.Book = &b
	return &n
}

// tidy drops an empty book, and checks the whole.
func (v *Version) tidy() error {
	if b := v.Book; b != nil && len(b.Pools)+len(b.Accounts)+len(b.Spaces) == 0 && b.Was == nil {
		v.Book = nil
	}
	return v.Check()
}

// Apply gives the version after a change. Nothing holds for a change alone: the whole version is checked, so that no order of changes gets round
// what an account may have. read gives an earlier version, for Rollback.
func (v *Version) Apply(c *Change, read func(number uint64) *Version) (*Version, error) {
	n := v.next()
	return n, n.apply(v, c, read)
}

// apply changes a version that next has made; was is the one that it came from, which may hold other changes of the same round.
func (n *Version) apply(was *Version, c *Change, read func(uint64) *Version) error {
	var err error
	switch c.Kind {
	case ChangeRules:
		err = n.changeRules(was, c)
	case ChangeSpace:
		err = n.changeSpace(was, c)
	case ChangeAccount:
		err = n.changeAccount(was, c)
	case DropAccount:
		err = n.dropAccount(was, c)
	case Rollback:
		err = n.rollback(was, c, read)
	default:
		err = errors.New("a kind of change that is not known here")
	}
	if err != nil {
		return err
	}
	return n.tidy()
}

func (n *Version) changeRules(was *Version, c *Change) error {
	if err := stale(c.Against, was.Root, was.Number); err != nil {
		return err
	}
	p, err := Decode(c.Body)
	if err != nil {
		return err
	}
	n.Refuse, n.Out, n.Root = p.Refuse, p.Out, n.Number
	b := p.Book
	if b == nil {
		b = &namespace.Book{}
	}
	old := *n.Book
	n.Book.Pools, n.Book.Accounts, n.Book.Spaces = b.Pools, nil, nil
	for _, a := range b.Accounts {
		a.Number = n.Number
		if i, is := account(old.Accounts, a.Name); is {
			if a.Number = old.Accounts[i].Number; !bytes.Equal(marshal(a), marshal(old.Accounts[i])) {
				a.Number = n.Number
			}
		}
		n.Book.Accounts = append(n.Book.Accounts, a)
	}
	// What customers have made below their own accounts stays, as long as these do.
	for _, a := range old.Accounts {
		_, named := account(n.Book.Accounts, a.Name)
		if _, above := account(n.Book.Accounts, namespace.Parent(a.Name)); !named && above {
			i, _ := account(n.Book.Accounts, a.Name)
			n.Book.Accounts = slices.Insert(n.Book.Accounts, i, a)
		}
	}
	for _, s := range b.Spaces {
		if s.Account != "" {
			return fmt.Errorf("the namespace of account %s is changed by itself", s.Account)
		}
		s.Number = n.Number
		n.Book.Spaces = append(n.Book.Spaces, s)
	}
	for _, s := range old.Spaces {
		if _, is := account(n.Book.Accounts, s.Account); is {
			n.Book.Spaces = append(n.Book.Spaces, s)
		}
	}
	return nil
}

func account(all []namespace.Account, name string) (int, bool) {
	return slices.BinarySearchFunc(all, name, func(a namespace.Account, name string) int { return cmp.Compare(a.Name, name) })
}

func space(all []namespace.Space, name string) (int, bool) {
	return slices.BinarySearchFunc(all, name, func(s namespace.Space, name string) int { return cmp.Compare(s.Account, name) })
}

// without gives the entries less the one at i, where it is there, and the number of the version that changed that one last. It
// changes all, which is a copy of the next version's own.
func without[T any](all []T, i int, there bool, number func(T) uint64) (rest []T, changed uint64) {
	if !there {
		return all, 0
	}
	changed = number(all[i]) // Delete clears what it leaves behind
	return slices.Delete(all, i, i+1), changed
}

func (n *Version) changeSpace(was *Version, c *Change) error {
	var s namespace.Space
	if err := decoding().Unmarshal(c.Body, &s); err != nil {
		return err
	}
	if s.Account != c.Part || c.Part == "" {
		return fmt.Errorf("a change of namespace %q that holds the one of %q", c.Part, s.Account)
	}
	if err := namespace.CheckSpace(&s); err != nil {
		return err
	}
	i, is := space(n.Book.Spaces, c.Part)
	spaces, changed := without(n.Book.Spaces, i, is, func(s namespace.Space) uint64 { return s.Number })
	if err := stale(c.Against, changed, was.Number); err != nil {
		return err
	}
	n.Book.Spaces = spaces
	if s.Number = n.Number; len(s.Guards)+len(s.Routes)+len(s.Defaults) > 0 {
		n.Book.Spaces = slices.Insert(n.Book.Spaces, i, s)
	}
	return nil
}

func (n *Version) changeAccount(was *Version, c *Change) error {
	var a namespace.Account
	if err := decoding().Unmarshal(c.Body, &a); err != nil {
		return err
	}
	if a.Name != c.Part || namespace.Parent(a.Name) == "" {
		return fmt.Errorf("a change of account %q that holds %q; those at the top are changed with the rules", c.Part, a.Name)
	}
	i, is := account(n.Book.Accounts, a.Name)
	accounts, changed := without(n.Book.Accounts, i, is, func(a namespace.Account) uint64 { return a.Number })
	if err := stale(c.Against, changed, was.Number); err != nil {
		return err
	}
	n.Book.Accounts = accounts
	a.Number = n.Number
	n.Book.Accounts = slices.Insert(n.Book.Accounts, i, a)
	return nil
}
