package membership

import "hash/fnv"

// State is what a member is believed to be.
type State uint8

// The states of a member.
const (
	Joining     State = iota // not heard yet
	Alive                    // heard lately, by this process or by another that says so
	Suspect                  // answered neither this process nor those requested to probe it, or others say so; it still counts as a member
	Unreachable              // heard by nobody for Config.UnreachableAfter; it may be cut off
	Left                     // it announced its shutdown
	Gone                     // unreachable for Config.GoneAfter at a process that saw a majority alive all that time, or given up by another
)

var stateNames = [...]string{"joining", "alive", "suspect", "unreachable", "left", "gone"}

// String names a state as operators read it.
func (s State) String() string {
	if int(s) < len(stateNames) {
		return stateNames[s]
	}
	return "unknown"
}

// ended says whether a member in this state takes part no more, unless a newer incarnation shows up.
func (s State) ended() bool { return s == Left || s == Gone }

// countsForMajority says whether a member in this state counts towards a majority.
func (s State) countsForMajority() bool { return s == Alive || s == Suspect }

// Incarnation distinguishes the processes that have had a member's name: its start in Unix milliseconds, and a 16-bit counter that only the
// member itself raises, to refute what others say of it. A larger one is newer. Ownership's incarnation is the start alone, consensus's is random.
type Incarnation uint64

// NewIncarnation is the first one of a process that started at a time in Unix milliseconds.
func NewIncarnation(unixMS int64) Incarnation { return Incarnation(uint64(unixMS) << 16) }

// Start is the part that distinguishes processes: the start in Unix milliseconds.
func (i Incarnation) Start() uint64 { return uint64(i) >> 16 }

// ID names a member in datagrams: its name, hashed.
func ID(name string) uint32 {
	h := fnv.New32a()
	h.Write([]byte(name))
	return h.Sum32()
}

// Change is one change of the view, with its reason.
type Change struct {
	Name               string // "": not known yet
	ID                 uint32
	OldState, NewState State
	Incarnation        Incarnation
	Version            uint64 // of the view, after the change
	Reason             ChangeReason
}

// Counts are what a process has sent and received, and how often it was paused or refuted an accusation.
type Counts struct {
	Sent, Bytes, Heard                  int // datagrams sent, their bytes, datagrams accepted
	Malformed, OtherVersion, OtherFleet int // datagrams rejected
	OldIncarnation                      int // datagrams of a process that a newer one has replaced
	NameConflicts                       int // datagrams under a name that another live process has
	Pauses, Refutations                 int
}
