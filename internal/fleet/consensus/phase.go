package consensus

// Phase is how far a process takes part.
type Phase uint8

// The phases.
const (
	Starting  Phase = iota // asks the others what they know of it
	NotMember              // not of the group, or not yet
	Member                 // takes part
	Stale                  // its store is older than what others have received from it: it must be replaced
	Broken                 // its store failed
)

var phaseNames = [...]string{"starting", "outside", "member", "stale", "broken"}

// String is the phase's name as operators read it.
func (p Phase) String() string { return phaseNames[p] }
