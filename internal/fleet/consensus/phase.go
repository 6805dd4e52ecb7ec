package consensus

// Phase says whether a process takes part in the group.
type Phase uint8

// The phases.
const (
	Starting  Phase = iota // queries the others for what they know of it
	NotMember              // of no group, or not yet a member
	Member                 // takes part
	Stale                  // its store is older than what others have received from it: an operator must replace it
	Broken                 // its store failed or does not fit together, or the raft library panicked
)

var phaseNames = [...]string{"starting", "outside", "member", "stale", "broken"}

// String is the phase as the log and operators' commands have it; the bytes of earlier versions.
func (p Phase) String() string { return phaseNames[p] }
