package ownership

import "strings"

// Two forms of a reason: the log has the code of a ReleaseReason; messages, the table and operators' commands have a text, whose bytes are
// recorded and never change.

// ReleaseReason is why a process stops a job.
type ReleaseReason uint8

// The reasons.
const (
	LeaseEnded     ReleaseReason = iota // without a renewal in time
	HandedOver                          // the coordinator has requested the job, for another process
	NoLongerListed                      // not on the coordinator's list under this token: another owner, a raised token, or an uncertain table
	LaterTokenSeen                      // a receiver has accepted an effect of a later owner
	JobFailed                           // a fault of the job's own
	ProcessLeaving                      // Core.Leave was called
)

var releaseReasonCodes = [...]string{
	LeaseEnded:     "lease_ended",
	HandedOver:     "handed_over",
	NoLongerListed: "no_longer_listed",
	LaterTokenSeen: "later_token_seen",
	JobFailed:      "job_failed",
	ProcessLeaving: "process_leaving",
}

// String is the code that the log has.
func (r ReleaseReason) String() string { return releaseReasonCodes[r] }

// Texts of a job's last change, as stored. That of textOwnerUnfit stays though nothing measures whether a process is starved: see Core.SetEligible.
const (
	textRegistered  = "made known"
	textFree        = "free, and it has the fewest"
	textOwnerUnfit  = "its owner is leaving, starved or hard to hear"
	textRebalanced  = "its owner has more than others"
	textMoved       = "moved by an operator"
	textMemoryLost  = "the voters lost their memory"
	ownerLostFormat = "its owner %s was lost"
)

// Texts of a release, as sent and stored.
const (
	textLeaseEnded     = "the lease ended"
	textHandedOver     = "it is to be handed over"
	textLaterTokenSeen = "a receiver has seen a later token"
	textNotBegun       = "not begun: it is to be handed over, or this process is leaving"
	// failedPrefix begins the text of a job that ended by a fault of its own; the coordinator delays its next grant.
	failedPrefix = "failed: "
)

// isFailure reports whether the text of a release is that of a failed job, with a cause.
func isFailure(text string) bool {
	return len(text) > len(failedPrefix) && strings.HasPrefix(text, failedPrefix)
}
