package rules

import (
	"bytes"
	"crypto/ed25519"
	"errors"
	"fmt"

	"croftlock/internal/fleet/namespace"
)

// signed is what a signature is over: the whole change but for the signature itself.
func (c *Change) signed() []byte {
	u := *c
	u.Sig = nil
	return append([]byte("croftlock rules change\x00"), marshal(u)...)
}

// Sign signs a change with a grant's key.
func (c *Change) Sign(key ed25519.PrivateKey) {
	c.Key = key.Public().(ed25519.PublicKey)
	c.Sig = ed25519.Sign(key, c.signed())
}

// allowed says who asks for a change, and whether a grant of v allows it. It is asked when the change comes and again when a version is made of it:
// a grant that was revoked in between allows nothing. The operators ask at their own socket, unsigned.
func (k *Coordinator) allowed(c *Change, v *Version) (who string, err error) {
	if len(c.Key) == 0 {
		return "operators", nil
	}
	if len(c.Key) != ed25519.PublicKeySize || !ed25519.Verify(c.Key, c.signed(), c.Sig) {
		return "somebody", errors.New("its signature is not by its key")
	}
	if len(c.ID) < 8 {
		return "somebody", errors.New("a signed change needs an id of 8 bytes or more")
	}
	a, g, err := v.grant(c, k.wall()/1000)
	if err != nil {
		return fmt.Sprintf("key %x", c.Key[:4]), err
	}
	return a.Name + ":" + g.Label, nil
}

// grant finds what allows a change in a version. unix is the time.
func (v *Version) grant(c *Change, unix int64) (*namespace.Account, *namespace.Grant, error) {
	var seen string
	if v.Book != nil {
		for i := range v.Book.Accounts {
			a := &v.Book.Accounts[i]
			for j := range a.Grants {
				g := &a.Grants[j]
				if !bytes.Equal(g.Key, c.Key) {
					continue
				}
				if seen = a.Name + ":" + g.Label; g.Until > 0 && unix >= g.Until {
					seen += ", which has ended"
					continue
				}
				if err := v.permits(a, g, c); err == nil {
					return a, g, nil
				} else {
					seen += ", " + err.Error()
				}
			}
		}
	}
	if seen == "" {
		return nil, nil, fmt.Errorf("no grant of version %d has this key; the change was made against version %d", v.Number, c.Against)
	}
	return nil, nil, fmt.Errorf("by version %d its grant is %s; the change was made against version %d", v.Number, seen, c.Against)
}

// permits tells whether a grant on account a covers a change.
func (v *Version) permits(a *namespace.Account, g *namespace.Grant, c *Change) error {
	below := c.Part != a.Name && namespace.Under(c.Part, a.Name)
	need := func(verb uint8) error {
		if g.Verbs&verb == 0 {
			return fmt.Errorf("which may %s alone", namespace.VerbNames(g.Verbs))
		}
		return nil
	}
	switch c.Kind {
	case ChangeSpace:
		if !namespace.Under(c.Part, a.Name) {
			return fmt.Errorf("which is for %s and below", a.Name)
		}
		return need(namespace.MayRoute)
	case ChangeAccount:
		if !below {
			return fmt.Errorf("which is for what is below %s", a.Name)
		}
		var next namespace.Account
		if decoding().Unmarshal(c.Body, &next) != nil {
			return errors.New("and the account can't be read")
		}
		if i, is := account(v.Book.Accounts, c.Part); is && limitsAlone(v.Book.Accounts[i], next) {
			return need(namespace.MayLimit)
		}
		return need(namespace.MayDelegate)
	case DropAccount:
		if !below {
			return fmt.Errorf("which is for what is below %s", a.Name)
		}
		return need(namespace.MayDelegate)
	}
	return errors.New("which is for no such change")
}

// limitsAlone tells whether two states of an account differ in limits alone.
func limitsAlone(a, b namespace.Account) bool {
	for _, x := range []*namespace.Account{&a, &b} {
		x.Rate, x.Standing, x.Routes, x.Changes, x.Number = namespace.Limit{}, namespace.Limit{}, 0, 0, 0
	}
	return bytes.Equal(marshal(a), marshal(b))
}
