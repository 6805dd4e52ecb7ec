package consensus

// staleReason is why a stale replica takes no part, as operators' commands show it.
const staleReason = "its store is older than what others have had from this voter: a file was put back; move it away and have the voter replaced"

// staleCause is what shows that a store is older than what others have received from it.
type staleCause uint8

const (
	storeCurrent  staleCause = iota // nothing shows it
	laterStart                      // another process has noted a start that this store does not know
	laterTerm                       // another process has received a later term
	longerLog                       // another process has received more of the log
	staleRecorded                   // an earlier start has found it, and stored that
)

var staleCauseCodes = [...]string{"current", "later_start", "later_term", "longer_log", "recorded"}

// String is the code that the log has.
func (s staleCause) String() string { return staleCauseCodes[s] }

// notMemberReason is why a process with an empty store waits to be added.
type notMemberReason uint8

const (
	notInitialVoter notMemberReason = iota // it is not among Config.InitialVoters
	groupExists                            // others know a group: this process lost its store, or never was of that group
)

// String is the code that the log has.
func (r notMemberReason) String() string {
	if r == groupExists {
		return "group_exists"
	}
	return "not_initial_voter"
}
