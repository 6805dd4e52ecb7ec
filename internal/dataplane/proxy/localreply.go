package proxy

import "fmt"

// localReplyReason is the reason, for the log, why the proxy itself rejects or fails a request.
type localReplyReason int

// Reasons for which the proxy itself rejects or fails a request.
const (
	decidedByBalancer    localReplyReason = iota // the decision module, which chooses hosts, has decided so
	processShuttingDown                          // the process is shutting down
	forbiddenByRules                             // the rules on which all proxies agree reject it
	noUsableHost                                 // no pool (subset of hosts) that it may use has a host that accepts new requests
	quotaExceeded                                // its account's quota over all proxies is used up
	retryUnsafe                                  // it may have run, and is not idempotent
	hostNotListed                                // the host at which it is open is not in the endpoint list
	blockedByInvariant                           // a rule forbids the attempt at the host at which it is open
	adoptionAttemptEnded                         // the attempt at the host at which it is open has failed
	balancerUnresponsive                         // the decision module did not answer, or panicked
	idInUse                                      // a request at the other process of a hot restart has the same ID
	idNotConfirmed                               // the other process of a hot restart did not answer whether it has the ID
	idUsed                                       // a request with the same ID has ended and may have run
)

// String returns the reason's name in the log.
func (r localReplyReason) String() string {
	names := [...]string{"balancer", "shutting_down", "rules", "no_usable_host", "quota_exceeded", "retry_unsafe", "host_not_listed", "invariant", "attempt_ended",
		"balancer_unresponsive", "id_in_use", "id_not_confirmed", "id_used"}
	if r < 0 || int(r) >= len(names) {
		return fmt.Sprintf("localReplyReason(%d)", int(r))
	}
	return names[r]
}
