package soak

import (
	"fmt"
	"strings"
	"time"

	"croftlock/internal/testbed/experiment"
)

// Violation is one action of a proxy against a rule, with the evidence.
type Violation struct {
	Rule   Rule
	Detail string
}

// String returns the rule and the detail.
func (v Violation) String() string { return string(v.Rule) + ": " + v.Detail }

// Rule identifies a rule that every proxy must follow. Violations print its value.
type Rule string

// The rules that the oracle checks.
const (
	UnansweredInTime    Rule = "unanswered_in_time"   // a request is answered while its client waits
	ServedByNoHost      Rule = "served_by_no_host"    // a client is served only by a host
	ConnectionCut       Rule = "connection_cut"       // only its client, its host or MOVE ends an established connection
	ConnectionAbandoned Rule = "connection_abandoned" // a process ends its connections before it ends
	AttemptAfterClose   Rule = "attempt_after_close"  // no attempt begins after the client has closed its connection
	SuspendedHostUsed   Rule = "suspended_host_used"  // a host that operators have suspended receives no new attempts
	ExcludedHostUsed    Rule = "excluded_host_used"   // a host that is draining or removed receives no new attempts
	UsedIDServed        Rule = "used_id_served"       // a bad client with the ID of an open request is not served
	UsedIDUnanswered    Rule = "used_id_unanswered"   // such a client gets an answer or a close within 3 s
	RefusedTenantUsed   Rule = "refused_tenant_used"  // a request that the fleet's rules refuse is neither served nor attempted
	ConcurrentAttempts  Rule = "concurrent_attempts"  // a request has at most one attempt at a time
	DuplicateExecution  Rule = "duplicate_execution"  // a request runs again only if its class allows it
	RejectedAfterRun    Rule = "rejected_after_run"   // a request that is not idempotent is rejected only if no host may have run it
	OwnCheckFailed      Rule = "own_check_failed"     // a process logs neither a broken invariant nor a panic
	ExitStatus          Rule = "exit_status"          // a process ends with exit status 0
	NotEndedInTime      Rule = "not_ended_in_time"    // a process ends by itself between SIGTERM and SIGKILL
)

// clientRequest is a client's request to a process of a proxy.
type clientRequest struct {
	*ClientConnection
	process *proxyProcess
	class   experiment.Class
	idFreed bool // a bad client has used the ID after this request had ended; set before the check
}

// String identifies the request in violations.
func (r *clientRequest) String() string {
	return fmt.Sprintf("%s %s d=%v at %s, sent %s", r.ID, r.class.Name, r.Request.Timeout, r.process.name, r.process.secondsSinceStart(r.Outcome().Sent))
}

// The delays that the rules allow, and those that a stalled proxy or the recording of events adds.
const (
	answerGrace      = 500 * time.Millisecond // after the client's timeout; an answer that is later counts as missing
	drainGrace       = 300 * time.Millisecond // from a list that excludes a host until no attempt may begin there
	clientCloseGrace = 100 * time.Millisecond // from the client's close until no attempt may begin
	proxyDelay       = 150 * time.Millisecond // that a stalled proxy may add
	orderSlack       = 100 * time.Millisecond // between two events recorded by different goroutines
)

// oracle checks requests and processes against the rules and collects the violations.
type oracle struct {
	record     *Record
	slack      time.Duration // longest stall of the machine, by which events may be late
	violations []Violation
}

// addViolation adds a violation of a rule.
func (o *oracle) addViolation(rule Rule, format string, args ...any) {
	o.violations = append(o.violations, Violation{rule, fmt.Sprintf(format, args...)})
}

// checkRequest checks one request, its attempts and its connection.
func (o *oracle) checkRequest(r *clientRequest) {
	outcome, attempts := r.Outcome(), o.record.attemptsOf(r.ID)
	if !outcome.Sent.IsZero() {
		o.checkAnswer(r, outcome)
		o.checkEnd(r, outcome, attempts)
	}
	o.checkRefusal(r, outcome, attempts)
	if !r.idFreed {
		o.checkAttemptOrder(r, attempts)
	}
	for _, attempt := range attempts {
		o.checkAttemptAllowed(r, outcome, attempt)
	}
	if outcome.Answer == Rejected && r.class.Idempotency == experiment.NonIdempotent {
		for _, attempt := range attempts {
			if answer := attempt.current().answer; answer != Rejected {
				o.addViolation(RejectedAfterRun, "%s: rejected, and %s has received it and answered %q", r, attempt.host, answer)
			}
		}
	}
}

// checkAttemptAllowed checks that an attempt was allowed to begin at its host at the time at which
// the host received it.
func (o *oracle) checkAttemptAllowed(r *clientRequest, outcome Outcome, attempt *hostAttempt) {
	sinceClose := attempt.receivedAt.Sub(outcome.EndedAt)
	if outcome.End == ClientClosed && outcome.Answer == Unanswered && sinceClose > clientCloseGrace+proxyDelay+o.slack {
		o.addViolation(AttemptAfterClose, "%s: at %s %v after its client closed the connection", r, attempt.host, sinceClose)
	}
	from, suspended := r.process.node.suspendedSince(attempt.host, attempt.receivedAt)
	if late := attempt.receivedAt.Sub(from); suspended && late > suspensionGrace+proxyDelay+o.slack {
		o.addViolation(SuspendedHostUsed, "%s: at %s %v after operators suspended it; %s", r, attempt.host, late, r.process)
	}
	notice, excluded := o.record.excludedSince(r.process.latestSuccessor(), attempt.host, attempt.receivedAt)
	if late := attempt.receivedAt.Sub(notice.writtenAt); excluded && late > drainGrace+proxyDelay+o.slack {
		o.addViolation(ExcludedHostUsed, "%s: at %s %v after its proxy was sent state %s by %s; %s", r, attempt.host, late, notice.state, notice.source, r.process)
	}
}

// checkAnswer checks that the request was answered in time. It allows a request without an answer
// if its client closed the connection, its process was killed by a fault before the answer was due
// and so could no longer answer, or the answer is not yet due.
func (o *oracle) checkAnswer(r *clientRequest, outcome Outcome) {
	due := outcome.Sent.Add(r.Request.Timeout + answerGrace + o.slack + r.process.totalPause())
	switch {
	case outcome.Answer != Unanswered:
		if outcome.AnsweredAt.After(due) {
			o.addViolation(UnansweredInTime, "%s: answered %v after it was sent", r, outcome.AnsweredAt.Sub(outcome.Sent))
		}
	case outcome.End == ClientClosed, r.process.wasKilledBefore(due):
	case outcome.End == Open && time.Now().Before(due):
	default:
		o.addViolation(UnansweredInTime, "%s: no answer, connection %q %v after; %s", r, outcome.End, outcome.EndedAt.Sub(outcome.Sent), r.process)
	}
}

// checkEnd checks that an established connection was ended by its client, by its host, or by the
// proxy with MOVE. It skips connections of processes that a fault killed.
func (o *oracle) checkEnd(r *clientRequest, outcome Outcome, attempts []*hostAttempt) {
	if outcome.Answer != Served || r.process.wasKilled() {
		return
	}
	switch outcome.End {
	case Open:
		if r.process.latestSuccessor().hasEnded() {
			o.addViolation(ConnectionAbandoned, "%s: still open when its process ended; %s", r, r.process.latestSuccessor())
		}
	case Closed, Reset:
		if len(attempts) == 0 {
			o.addViolation(ServedByNoHost, "%s", r)
			return
		}
		if attempts[len(attempts)-1].current().endedBy != hostSide {
			o.addViolation(ConnectionCut, "%s: %s without MOVE %v after; %s", r, outcome.End, outcome.EndedAt.Sub(outcome.Sent), r.process)
		}
	}
}

// checkAttemptOrder checks that a request's attempts do not overlap, and that no attempt follows
// one that its host may have executed, unless the class allows a repetition.
func (o *oracle) checkAttemptOrder(r *clientRequest, attempts []*hostAttempt) {
	var executed *hostAttempt // first attempt that its host may have executed
	for i, attempt := range attempts {
		if i > 0 {
			previous := attempts[i-1]
			if state := previous.current(); state.endedBy == "" || state.endedAt.Sub(attempt.receivedAt) > orderSlack+o.slack {
				o.addViolation(ConcurrentAttempts, "%s: at %s while it is at %s", r, attempt.host, previous.host)
			}
		}
		if executed != nil {
			apart := attempt.receivedAt.Sub(executed.receivedAt)
			if r.class.Idempotency == experiment.NonIdempotent || r.class.Idempotency == experiment.IdempotentByKey && apart > r.class.Window+orderSlack+proxyDelay+o.slack {
				o.addViolation(DuplicateExecution, "%s: at %s %v after %s", r, attempt.host, apart, executed.host)
			}
		}
		if executed == nil && attempt.current().answer != Rejected {
			executed = attempt
		}
	}
}

// checkProcess checks a process's log, that it ended in time, and its exit status. It does not
// check the exit status of a process that a fault killed.
func (o *oracle) checkProcess(p *proxyProcess) {
	for _, line := range p.proc.LogLines("") {
		if strings.Contains(line, "event=invariant_broken") || strings.Contains(line, "event=panic") {
			o.addViolation(OwnCheckFailed, "%s: %s", p.name, line[:min(len(line), 300)])
		}
	}
	if p.killedAfterTimeout {
		o.addViolation(NotEndedInTime, "%s did not end by itself; %s", p.name, p)
	}
	if p.wasKilled() {
		return
	}
	if err, ended := p.exitError(); ended && err != nil {
		o.addViolation(ExitStatus, "%s: %v; %s", p.name, err, p)
	}
}
