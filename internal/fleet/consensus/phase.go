package consensus

// Phase describes whether a process takes part in the group.
type Phase uint8

// Phases of a process.
const (
	// Starting means that the process is asking the other voters what they know of it.
	Starting Phase = iota
	// NotMember means that the process is not, or not yet, a member of the group.
	NotMember
	// Member means that the process takes part.
	Member
	// Stale means that the store is older than what others have received from the process. An
	// operator must replace the replica.
	Stale
	// Broken means that the store failed or is inconsistent, or that the raft library panicked.
	Broken
)

var phaseNames = [...]string{"starting", "outside", "member", "stale", "broken"}

// String returns the name of the phase in the log and in operators' commands. The names must not
// change, since earlier versions use the same ones.
func (p Phase) String() string { return phaseNames[p] }
