package ownership

import "strings"

// A reason has two forms. The log uses the code of a ReleaseReason. Messages, the table and
// operators' commands use a text, which is stored and recorded and must not change.

// ReleaseReason is the reason why a process stops a job.
type ReleaseReason uint8

// Reasons why a process stops a job.
const (
	// LeaseEnded means that the process's lease was not renewed in time.
	LeaseEnded ReleaseReason = iota
	// HandedOver means that the coordinator hands the job over to another process.
	HandedOver
	// NoLongerListed means that the coordinator's list does not contain the job under this token: it
	// has another owner or a raised token, or the table is uncertain.
	NoLongerListed
	// LaterTokenSeen means that a receiver has rejected an effect (a message from the job's owner) as
	// Stale: the receiver has accepted one of a later owner, or its Fence is full.
	LaterTokenSeen
	// JobFailed means that the job ended because of its own failure.
	JobFailed
	// ProcessLeaving means that Core.Leave was called.
	ProcessLeaving
)

var releaseReasonCodes = [...]string{
	LeaseEnded:     "lease_ended",
	HandedOver:     "handed_over",
	NoLongerListed: "no_longer_listed",
	LaterTokenSeen: "later_token_seen",
	JobFailed:      "job_failed",
	ProcessLeaving: "process_leaving",
}

// String returns the reason's code, as used in the log.
func (r ReleaseReason) String() string { return releaseReasonCodes[r] }

// Texts that the table of jobs stores as the reason of a job's last change. The text of textOwnerUnfit
// mentions "starved" although nothing measures that (see Core.SetEligible): stored texts do not
// change.
const (
	textRegistered  = "made known"
	textFree        = "free, and it has the fewest"
	textOwnerUnfit  = "its owner is leaving, starved or hard to hear"
	textRebalanced  = "its owner has more than others"
	textMoved       = "moved by an operator"
	textMemoryLost  = "the voters lost their memory"
	ownerLostFormat = "its owner %s was lost"
)

// Texts that are sent and stored as the reason why a process released a job.
const (
	textLeaseEnded     = "the lease ended"
	textHandedOver     = "it is to be handed over"
	textLaterTokenSeen = "a receiver has seen a later token"
	textNotBegun       = "not begun: it is to be handed over, or this process is leaving"
	// failedPrefix begins the text for a job that failed. The coordinator delays the job's next grant.
	failedPrefix = "failed: "
)

// isFailure reports whether the text of a release is that of a failed job and includes a cause.
func isFailure(text string) bool {
	return len(text) > len(failedPrefix) && strings.HasPrefix(text, failedPrefix)
}
