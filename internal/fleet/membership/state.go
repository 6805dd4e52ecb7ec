package membership

import "hash/fnv"

// State is the state of a member in the view of a process.
type State uint8

// The states of a member.
const (
	// Joining means that no process is known to have heard the member yet.
	Joining State = iota
	// Alive means that this process, or another one that reports it, has heard the member lately.
	Alive
	// Suspect means that the member answered neither this process nor those asked to probe it, or that
	// others report this. It still counts towards a majority.
	Suspect
	// Unreachable means that no process has heard the member for Config.UnreachableAfter; it may be cut off.
	Unreachable
	// Left means that the member announced its shutdown.
	Left
	// Gone means that the member was unreachable for Config.GoneAfter at a process that saw a majority
	// alive all that time, or that another process reports it as gone.
	Gone
)

var stateNames = [...]string{"joining", "alive", "suspect", "unreachable", "left", "gone"}

// String returns the name of the state as shown to operators, or "unknown" for a number that is no state.
func (s State) String() string {
	if int(s) < len(stateNames) {
		return stateNames[s]
	}
	return "unknown"
}

// ended reports whether a member in this state no longer takes part, unless a newer incarnation appears.
func (s State) ended() bool { return s == Left || s == Gone }

// countsForMajority reports whether a member in this state counts towards a majority.
func (s State) countsForMajority() bool { return s == Alive || s == Suspect }

// Incarnation distinguishes the processes that have run under a member's name. It consists of the start
// time of the process in Unix milliseconds and a 16-bit counter, which only the member itself raises, to
// refute what others report about it. A larger one is newer. Package ownership's incarnation is the
// start time alone, package consensus's is random.
type Incarnation uint64

// NewIncarnation returns the first incarnation of a process that started at unixMS, in Unix milliseconds.
func NewIncarnation(unixMS int64) Incarnation { return Incarnation(uint64(unixMS) << 16) }

// Start returns the start time of the process, in Unix milliseconds. It differs between the processes that
// have run under a member's name.
func (i Incarnation) Start() uint64 { return uint64(i) >> 16 }

// ID returns the ID of a member in datagrams, the hash of its name.
func ID(name string) uint32 {
	h := fnv.New32a()
	h.Write([]byte(name))
	return h.Sum32()
}

// Change is a change of the view of one member. OldState and NewState are equal if the member restarted.
type Change struct {
	Name               string // empty if not known yet
	ID                 uint32
	OldState, NewState State
	Incarnation        Incarnation
	Version            uint64 // version of the view after the change
	Reason             ChangeReason
}

// Counts counts the datagrams that a process has sent and received, its pauses, and its refutations.
type Counts struct {
	Sent, Bytes, Heard                  int // datagrams sent, their bytes with Config.Overhead, datagrams accepted
	Malformed, OtherVersion, OtherFleet int // datagrams rejected, by reason
	OldIncarnation                      int // datagrams of a process that a newer one has replaced
	NameConflicts                       int // datagrams under a name that another live process has
	Pauses, Refutations                 int // detected pauses of this process, reports about it that it refuted
}
