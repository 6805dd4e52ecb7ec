package consensus

// staleReason explains to operators why a stale replica takes no part.
const staleReason = "its store is older than what others have had from this voter: a file was put back; move it away and have the voter replaced"

// staleCause identifies what shows that a store is older than what others have received from it.
type staleCause uint8

const (
	storeCurrent  staleCause = iota // the store is not known to be stale
	laterStart                      // another process has recorded a start that this store does not contain
	laterTerm                       // another process has received a later term
	longerLog                       // another process has received more of the log
	staleRecorded                   // an earlier start found the store to be stale and recorded it there
)

var staleCauseCodes = [...]string{"current", "later_start", "later_term", "longer_log", "recorded"}

// String returns the reason as written to the log.
func (s staleCause) String() string { return staleCauseCodes[s] }

// notMemberReason identifies why a process with an empty store waits to be added.
type notMemberReason uint8

const (
	notInitialVoter notMemberReason = iota // the process is not in Config.InitialVoters
	groupExists                            // others know a group, which this process never joined or whose state it lost
)

// String returns the reason as written to the log.
func (r notMemberReason) String() string {
	if r == groupExists {
		return "group_exists"
	}
	return "not_initial_voter"
}
