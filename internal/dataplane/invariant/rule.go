// Package invariant holds the rules that no action on a request may break. An action is the start
// of an attempt to serve the request at a host, the writing of its first line, or an answer to the
// client.
//
// The caller queries a Request before an action (CheckAttempt, CheckWrite, MayReject,
// MayPlaceAgain) and does not carry out what a rule forbids. It also notifies the Request of each
// action as it is carried out (AttemptBegan, LineWritten, Accepted, …), so that an action that
// broke a rule is counted whichever code path led to it. The package does no I/O; callers pass in
// times, in nanoseconds of their clock.
package invariant

// Rule identifies a rule that no action on a request may break.
type Rule int

// The rules. None stands for no rule.
const (
	None                 Rule = iota
	RequestOver               // no attempt begins or is written for a request that is answered, or whose client has left
	SingleAttempt             // at most one attempt is in flight at a time, and each writes its first line once
	AttemptLimit              // a request has at most MaxAttempts attempts
	BeforeDeadline            // no attempt begins or is written at the deadline or later
	HostAcceptsNew            // no new request goes to a host that is draining, removed or suspended
	NoUnsafeRetry             // a request that may have run and is not idempotent is not retried
	RetryWithinScope          // a retry with an idempotency key goes only to hosts that share the first host's dedup memory
	RetryWithinWindow         // a retry with an idempotency key is sent only within the dedup window
	RejectionIsSafe           // a request is rejected only if a retry by the client is harmless
	SingleAnswer              // a request has one answer
	AnswerInTime              // the answer comes by the deadline, or at most answerSlack later
	NoSilentEnd               // no request ends without an answer, and no open connection without a line to its client
	NothingAfterShutdown      // no attempt begins or is written once a process that is shutting down has answered all requests
	ruleCount                 // the number of rules, including None
)

var ruleNames = [ruleCount]string{"none", "request_over", "single_attempt", "attempt_limit", "before_deadline", "host_accepts_new", "no_unsafe_retry",
	"retry_within_scope", "retry_within_window", "rejection_is_safe", "single_answer", "answer_in_time", "no_silent_end", "nothing_after_shutdown"}

// String returns the rule's name in the log.
func (r Rule) String() string { return ruleNames[r] }
