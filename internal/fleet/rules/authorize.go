package rules

import (
	"bytes"
	"crypto/ed25519"
	"errors"
	"fmt"

	"croftlock/internal/fleet/namespace"
)

// signatureDomain is the prefix of the signed bytes. It ensures that a signature of other data by
// the same key is never valid for a change.
const signatureDomain = "croftlock rules change\x00"

// minSignedIDBytes is the minimum length of a signed change's ID. It makes it unlikely that two
// changes have the same ID by chance: the second would be treated as a retry of the first.
const minSignedIDBytes = 8

// Errors of authorization. The last two continue a sentence about a grant; see NoGrantError.
var (
	errBadSignature     = errors.New("its signature is not by its key")
	errShortID          = errors.New("a signed change needs an id of 8 bytes or more")
	errNotGrantable     = errors.New("which is for no such change")
	errMalformedAccount = errors.New("and the account can't be read")
)

// signedBytes returns the bytes that the signature covers: the change without the signature.
func (c *Change) signedBytes() []byte {
	unsigned := *c
	unsigned.Sig = nil
	return append([]byte(signatureDomain), marshal(unsigned)...)
}

// Sign signs a change with the private key of a grant, and sets its Key and Sig. Setting any other
// field afterwards makes the signature invalid.
func (c *Change) Sign(key ed25519.PrivateKey) {
	c.Key = key.Public().(ed25519.PublicKey)
	c.Sig = ed25519.Sign(key, c.signedBytes())
}

// authorize returns the name of a change's proposer for the audit log, and an error unless a grant
// of v allows the change. A change without a key is always allowed: it comes from the operators'
// own socket. authorize is called when the change arrives and again when a version is made of it,
// so that a grant that was revoked in between allows nothing. The name is set even with an error.
func (p *Publisher) authorize(change *Change, v *Version) (proposer string, err error) {
	if len(change.Key) == 0 {
		return "operators", nil
	}
	if len(change.Key) != ed25519.PublicKeySize || !ed25519.Verify(change.Key, change.signedBytes(), change.Sig) {
		return "somebody", errBadSignature
	}
	if len(change.ID) < minSignedIDBytes {
		return "somebody", errShortID
	}
	a, g, err := v.grantFor(change, p.wallMillis()/1000)
	if err != nil {
		return fmt.Sprintf("key %x", change.Key[:4]), err
	}
	return a.Name + ":" + g.Label, nil
}

// NoGrantError is returned if no grant of a version allows a signed change.
type NoGrantError struct {
	Version     uint64
	BaseVersion uint64 // the base version of the change
	// Grant is the last grant with the key, and why it does not allow the change. It is empty if no
	// grant has the key.
	Grant string
}

// Error returns a message with the versions and the grant.
func (e *NoGrantError) Error() string {
	if e.Grant == "" {
		return fmt.Sprintf("no grant of version %d has this key; the change was made against version %d", e.Version, e.BaseVersion)
	}
	return fmt.Sprintf("by version %d its grant is %s; the change was made against version %d", e.Version, e.Grant, e.BaseVersion)
}

// grantFor returns the grant that allows a change, and the grant's account. If there is none, it
// returns a *NoGrantError. unix is the time of day in Unix seconds; a grant with an earlier or equal
// end does not count.
func (v *Version) grantFor(c *Change, unix int64) (*namespace.Account, *namespace.Grant, error) {
	var grant string
	accounts := v.directoryOrEmpty().Accounts
	for i := range accounts {
		a := &accounts[i]
		for j := range a.Grants {
			g := &a.Grants[j]
			if !bytes.Equal(g.Key, c.Key) {
				continue
			}
			if grant = a.Name + ":" + g.Label; g.Until > 0 && unix >= g.Until {
				grant += ", which has ended"
				continue
			}
			err := v.checkGrant(a, g, c)
			if err == nil {
				return a, g, nil
			}
			grant += ", " + err.Error()
		}
	}
	return nil, nil, &NoGrantError{Version: v.Number, BaseVersion: c.BaseVersion, Grant: grant}
}

// checkGrant returns an error if grant g on account a does not allow a change of v. The errors
// continue a sentence that names the grant; see NoGrantError.Grant.
func (v *Version) checkGrant(a *namespace.Account, g *namespace.Grant, c *Change) error {
	switch c.Kind {
	case KindNamespace:
		if !namespace.IsWithin(c.Account, a.Name) {
			return fmt.Errorf("which is for %s and below", a.Name)
		}
		return checkVerb(g, namespace.MayRoute)
	case KindAccount, KindRemoveAccount:
		if c.Account == a.Name || !namespace.IsWithin(c.Account, a.Name) {
			return fmt.Errorf("which is for what is below %s", a.Name)
		}
	default:
		return errNotGrantable
	}
	if c.Kind == KindRemoveAccount {
		return checkVerb(g, namespace.MayDelegate)
	}
	var next namespace.Account
	if unmarshal(c.Body, &next) != nil {
		return errMalformedAccount
	}
	if i, exists := findAccount(v.Directory.Accounts, c.Account); exists && differInLimitsOnly(v.Directory.Accounts[i], next) {
		return checkVerb(g, namespace.MayLimit)
	}
	return checkVerb(g, namespace.MayDelegate)
}

// checkVerb returns an error unless a grant includes a verb, which is one bit of Grant.Verbs.
func checkVerb(g *namespace.Grant, verb namespace.Verbs) error {
	if g.Verbs&verb == 0 {
		return fmt.Errorf("which may %s alone", g.Verbs)
	}
	return nil
}

// differInLimitsOnly reports whether two accounts differ at most in limits (rate, connections,
// routes, changes) and version numbers.
func differInLimitsOnly(a, b namespace.Account) bool {
	for _, account := range []*namespace.Account{&a, &b} {
		account.Rate, account.Connections, account.Routes, account.Changes, account.VersionNumber = namespace.Limit{}, namespace.Limit{}, 0, 0, 0
	}
	return bytes.Equal(marshal(a), marshal(b))
}
