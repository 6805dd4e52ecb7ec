package soak

import (
	"fmt"
	"strings"
	"time"

	"croftlock/internal/testbed/experiment"
)

// Violation is one action against a rule, with the evidence.
type Violation struct {
	Rule   Rule
	Detail string
}

// String is the rule and the detail.
func (v Violation) String() string { return string(v.Rule) + ": " + v.Detail }

// Rule is what a proxy must not do, as violations name it.
type Rule string

// The rules.
const (
	UnansweredInTime    Rule = "unanswered_in_time"   // a request gets its answer while its client waits
	ServedByNoHost      Rule = "served_by_no_host"    // a client is served only by a host
	ConnectionCut       Rule = "connection_cut"       // an established connection ends by its client, its host or MOVE
	ConnectionAbandoned Rule = "connection_abandoned" // a process that ends has ended its connections
	AttemptAfterClose   Rule = "attempt_after_close"  // no attempt begins for a client that has closed its connection
	SuspendedHostUsed   Rule = "suspended_host_used"  // a host that operators have suspended gets nothing new
	ExcludedHostUsed    Rule = "excluded_host_used"   // a host that drains or is removed gets nothing new
	ConcurrentAttempts  Rule = "concurrent_attempts"  // a request is at one host at a time
	DuplicateExecution  Rule = "duplicate_execution"  // a request that is not idempotent runs once
	RejectedAfterRun    Rule = "rejected_after_run"   // a request that is not idempotent is rejected only if no host may have run it
	OwnCheckFailed      Rule = "own_check_failed"     // the process logs neither a broken invariant nor a panic
	ExitStatus          Rule = "exit_status"          // the process ends without an error
	NotEndedInTime      Rule = "not_ended_in_time"    // the process ends between SIGTERM and SIGKILL
)

// clientRequest is one client's request at one process of a proxy.
type clientRequest struct {
	*ClientConnection
	process *proxyProcess
	class   experiment.Class
}

// String identifies the request in violations.
func (r *clientRequest) String() string {
	return fmt.Sprintf("%s %s d=%v at %s, sent %s", r.ID, r.class.Name, r.Request.Timeout, r.process.name, r.process.secondsSinceStart(r.Outcome().Sent))
}

// The times that the rules allow, and those that a stalled proxy adds.
const (
	answerGrace      = 500 * time.Millisecond // past the client's wait an answer is lost, and not just late
	drainGrace       = 300 * time.Millisecond // from a list that excludes a host until it gets nothing new
	clientCloseGrace = 100 * time.Millisecond // from the client's end until no attempt may begin
	proxyDelay       = 150 * time.Millisecond // that a stalled proxy may add
	orderSlack       = 100 * time.Millisecond // between two goroutines that record events
)

// oracle checks the rules against the record. slack is the longest stall of this machine itself.
type oracle struct {
	record     *Record
	slack      time.Duration
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
	o.checkAttemptOrder(r, attempts)
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

// checkAttemptAllowed checks whether an attempt might begin at that host at that moment.
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

// checkAnswer checks whether the request has its answer in time. A process that was killed outright answers nothing any more.
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

// checkEnd checks how an established connection ended: by its client, by its host, or migrated by the proxy.
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

// checkAttemptOrder checks a request with more than one attempt: one at a time, and no second execution where that does harm.
func (o *oracle) checkAttemptOrder(r *clientRequest, attempts []*hostAttempt) {
	var executed *hostAttempt // the first that its host may have executed
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

// checkProcess checks a process's log and how it ended.
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
