package rules

import (
	"fmt"
	"sort"
	"strings"
)

// Kinds of questions to the keeper.
const (
	askKeep = 'k'
	askPut  = 'p'
	askShow = 's'
)

// kept is what the group keeps of the rules: what one keeper leaves to the next.
type kept struct {
	_              struct{} `cbor:",toarray"`
	Active, Staged []byte
}

// proposal is an operator's change, made against a version.
type proposal struct {
	_       struct{} `cbor:",toarray"`
	Against uint64
	Version []byte // its number counts as Against + 1
}

// stands says how many may act by the active version, and who can't.
func (k *Keeper) stands(now Time) string {
	n, all := 0, 0
	var lapsed []string
	for _, m := range k.owner.Members() {
		all++
		if r, has := k.rights[m.Peer]; has && r.until > now {
			n++
		} else {
			lapsed = append(lapsed, m.Name)
		}
	}
	sort.Strings(lapsed)
	s := fmt.Sprintf("active: version %d at %d of %d", k.active.Number, n, all)
	if len(lapsed) > 0 {
		s += "; lapsed: " + strings.Join(lapsed, " ")
	}
	return s
}

func (k *Keeper) show(now Time) string {
	s := k.stands(now)
	if k.staged != nil {
		s += fmt.Sprintf("; version %d is on its way", k.staged.Number)
	}
	return s
}

func (k *Keeper) name(peer uint32) string {
	for _, m := range k.owner.Members() {
		if m.Peer == peer {
			return m.Name
		}
	}
	return fmt.Sprintf("%08x", peer)
}

// Put is the question that proposes a version against the active one.
func Put(v *Version, against uint64) []byte {
	c := *v
	c.Number = against + 1
	return append([]byte{askPut}, marshal(proposal{Against: against, Version: c.Encode()})...)
}

// Show is the question what is active.
func Show() []byte { return []byte{askShow} }
