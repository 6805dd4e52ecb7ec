package rules

import (
	"fmt"
	"slices"

	"croftlock/internal/fleet/namespace"
)

func (n *Version) dropAccount(was *Version, c *Change) error {
	i, is := account(n.Book.Accounts, c.Part)
	if !is || namespace.Parent(c.Part) == "" {
		return fmt.Errorf("there is no account %s below another", c.Part)
	}
	if err := stale(c.Against, n.Book.Accounts[i].Number, was.Number); err != nil {
		return err
	}
	n.Book.Accounts = slices.DeleteFunc(n.Book.Accounts, func(a namespace.Account) bool { return namespace.Under(a.Name, c.Part) })
	n.Book.Spaces = slices.DeleteFunc(n.Book.Spaces, func(s namespace.Space) bool { return namespace.Under(s.Account, c.Part) })
	return nil
}

func (n *Version) rollback(was *Version, c *Change, read func(uint64) *Version) error {
	if c.Against != was.Number {
		return stale(c.Against, was.Number, was.Number)
	}
	var number uint64
	if err := decoding().Unmarshal(c.Body, &number); err != nil {
		return err
	}
	old := read(number)
	if old == nil {
		return fmt.Errorf("version %d is not kept any more", number)
	}
	back := old.next()
	back.Number, back.Root = n.Number, n.Number
	for i := range back.Book.Spaces {
		back.Book.Spaces[i].Number = n.Number
	}
	for i := range back.Book.Accounts {
		back.Book.Accounts[i].Number = n.Number
	}
	*n = *back
	return nil
}
