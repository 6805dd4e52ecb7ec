package membership

import (
	"hash/fnv"
)

// State is what a member is held to be.
type State uint8

var stateNames = [...]string{"joining", "alive", "suspect", "unreachable", "left", "gone"}

// String names a state as operators read it.
func (s State) String() string {
	if int(s) < len(stateNames) {
		return stateNames[s]
	}
	return "unknown"
}

// ID names a member in datagrams: its name, hashed.
func ID(name string) uint32 {
	h := fnv.New32a()
	h.Write([]byte(name))
	return h.Sum32()
}

// Change is one change of the view, with its reason.
type Change struct {
	Name        string // "" where it has not been told yet
	ID          uint32
	From, To    State
	Incarnation Incarnation
	Version     uint64
	Reason      string
}

// Member is one member as others may see it.
type Member struct {
	Name        string
	ID          uint32
	Slot        int // -1: not known
	State       State
	Incarnation Incarnation
	HeardHere   Time     // when it was last heard here; 0: never
	HeardByAny  Time     // and by anybody
	Unheard     []uint32 // whom it does not hear, as it says itself
	UnheardAt   Time
}

type member struct {
	Member
	missed    Time // when it first did not answer since it was last heard here; 0: it did
	suspected Time
	since     Time // in this state
}

// rumour is news that is still being spread.
type rumour struct {
	id   uint32
	left int
}

// pending is a probe that is out.
type pending struct {
	id     uint32
	at     Time
	asked  bool // others are asked
	onward bool // it is another's probe
	to     int  // whose, by slot
	seq    uint32
}

// Counts are what a process has done and met.
type Counts struct {
	Sent, Bytes, Heard                           int
	Malformed, OtherVersion, OtherFleet          int
	OldIncarnation, Clashes, Pauses, Refutations int
}
