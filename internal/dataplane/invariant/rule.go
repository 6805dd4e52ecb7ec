// Package invariant holds the rules that no action on a request may break, each in one function.
//
// A Request is queried before an action (CheckAttempt, CheckWrite, MayReject, MayPlaceAgain) and says which rule forbids it. It is
// notified of each action as it is carried out (AttemptBegan, LineWritten, Accepted, …) and counts those that broke a rule all the
// same, whatever path they took. The package does no I/O; times are passed in, in nanoseconds of the caller's clock.
package invariant

// Rule is something that no action on a request may break.
type Rule int

// The rules.
const (
	None                 Rule = iota
	RequestOver               // nothing begins for a request that is answered, or whose client has left
	SingleAttempt             // one attempt is in flight at a time
	AttemptLimit              // a request has at most MaxAttempts attempts
	BeforeDeadline            // nothing begins past the deadline
	HostAcceptsNew            // nothing new goes to a host that is draining, removed or suspended
	NoUnsafeRetry             // a request that may have run and is not idempotent is not retried
	RetryWithinScope          // a retry with an idempotency key goes only to hosts that share the first one's dedup memory
	RetryWithinWindow         // and only within the dedup window
	RejectionIsSafe           // a rejection promises that a retry by the client is harmless
	SingleAnswer              // a request has one answer
	AnswerInTime              // the answer comes within the deadline
	NoSilentEnd               // no request ends without an answer, and no open connection without a line to its client
	NothingAfterShutdown      // nothing is admitted or begun once a process that shuts down has answered all requests
	ruleCount
)

var ruleNames = [ruleCount]string{"none", "request_over", "single_attempt", "attempt_limit", "before_deadline", "host_accepts_new", "no_unsafe_retry",
	"retry_within_scope", "retry_within_window", "rejection_is_safe", "single_answer", "answer_in_time", "no_silent_end", "nothing_after_shutdown"}

// String is the rule's name in the log.
func (r Rule) String() string { return ruleNames[r] }
