package rules

import (
	"crypto/sha256"
	"fmt"
	"sort"
	"strings"

	"croftlock/internal/fleet/namespace"
)

// Kinds of questions to the coordinator.
const (
	askKeep    = 'k'
	askPut     = 'p'
	askShow    = 's'
	askHistory = 'h'
	askRead    = 'r'
	askStatus  = 't'
)

// QueryReceived takes a question.
func (k *Coordinator) QueryReceived(now Time, from uint32, tag uint64, body []byte) {
	if k.owner == nil || len(body) == 0 {
		return
	}
	answer := func(text string) { k.owner.Reply(from, tag, []byte(text)) }
	switch body[0] {
	case askKeep:
		k.keep(now, from, tag, body[1:])
	case askPut:
		k.put(now, answer, body[1:])
	case askShow:
		answer(k.show(now))
	case askStatus:
		answer(string(squeeze([]byte(k.status(now)))))
	case askHistory:
		answer(k.history(string(body[1:])))
	case askRead:
		var number uint64
		if decoding().Unmarshal(body[1:], &number) != nil {
			answer("refused: a number that can't be read")
			return
		}
		if number == 0 {
			number = k.active.Number
		}
		if v := k.read(number); v != nil {
			answer(string(squeeze([]byte(v.String()))))
		} else {
			answer(fmt.Sprintf("refused: version %d is not kept any more", number))
		}
	default:
		answer("refused: a question that is not known here")
	}
}

// stands says how many may act by the active version, and who can't.
func (k *Coordinator) stands(now Time) string {
	n, all := 0, 0
	var lapsed []string
	for _, m := range k.owner.Members() {
		all++
		if r, has := k.leases[m.Peer]; has && r.until > now {
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

func (k *Coordinator) show(now Time) string {
	s := k.stands(now)
	if k.staged != nil {
		s += fmt.Sprintf("; version %d is on its way", k.staged.Number)
	}
	if n := len(k.waiting); n > 0 {
		s += fmt.Sprintf("; %d changes wait", n)
	}
	return s
}

func (k *Coordinator) name(peer uint32) string {
	for _, m := range k.owner.Members() {
		if m.Peer == peer {
			return m.Name
		}
	}
	return fmt.Sprintf("%08x", peer)
}

// IsQuestion tells whether administrators may ask that; what members ask of the coordinator is their own.
func IsQuestion(body []byte) bool {
	return len(body) > 0 && (body[0] == askPut || body[0] == askShow || body[0] == askHistory || body[0] == askRead || body[0] == askStatus)
}

// DecodeReply is an answer as people read it: long ones come squeezed.
func DecodeReply(answer string) string {
	if answer == "" || answer[0] != formSqueezed {
		return answer
	}
	out, err := inflate([]byte(answer[1:]), 8*mostBytes)
	if err != nil {
		return "unknown: the answer can't be read"
	}
	return string(out)
}

// EncodeProposal is the question that asks for a change. One without an id gets one of what it says, so that the same once more is as once.
func EncodeProposal(c *Change) []byte {
	c.Name()
	return append([]byte{askPut}, squeeze(marshal(c))...)
}

// Name gives a change that has none an id of what it says.
func (c *Change) Name() {
	if len(c.ID) == 0 {
		h := sha256.Sum256(marshal(c))
		c.ID = h[:16]
	}
}

// ChangeOperators is the change that puts the operators' part, made against a version.
func ChangeOperators(v *Version, against uint64, id []byte) *Change {
	c := *v
	c.Number = against + 1
	return &Change{ID: id, Kind: ChangeRules, Against: against, Body: c.Encode()}
}

// ChangeNamespace is the change that puts an account's namespace.
func ChangeNamespace(s *namespace.Space, against uint64, id []byte) *Change {
	return &Change{ID: id, Kind: ChangeSpace, Part: s.Account, Against: against, Body: marshal(s)}
}

// ChangeAccountTo is the change that puts an account below another.
func ChangeAccountTo(a *namespace.Account, against uint64, id []byte) *Change {
	return &Change{ID: id, Kind: ChangeAccount, Part: a.Name, Against: against, Body: marshal(a)}
}

// RemoveAccount is the change that ends an account and all below it.
func RemoveAccount(account string, against uint64, id []byte) *Change {
	return &Change{ID: id, Kind: DropAccount, Part: account, Against: against}
}

// RollBackTo is the change that puts everything as an earlier version had it.
func RollBackTo(to, against uint64, id []byte) *Change {
	return &Change{ID: id, Kind: Rollback, Against: against, Body: marshal(to)}
}

// QueryActive is the question what is active, Status who may act by what and what is waited for, History which changes were made, Read what a version says (0: the active one).
func QueryActive() []byte               { return []byte{askShow} }
func QueryStatus() []byte               { return []byte{askStatus} }
func QueryHistory(about string) []byte  { return append([]byte{askHistory}, about...) }
func QueryVersion(number uint64) []byte { return append([]byte{askRead}, marshal(number)...) }
