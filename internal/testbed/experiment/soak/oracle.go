package soak

import (
	"fmt"
	"strings"
	"time"

	"croftlock/internal/testbed/experiment"
)

// Violation is one action against a rule, with what is known of it.
type Violation struct {
	Rule, Detail string
}

// String is the rule and the detail.
func (v Violation) String() string { return v.Rule + ": " + v.Detail }

// clientRequest is one client's request at one process of a proxy.
type clientRequest struct {
	*Session
	incarnation *incarnation
	class       experiment.Class
}

// The times that the rules grant, and a stalled proxy.
const (
	lostAfter       = 500 * time.Millisecond // past the client's wait an answer is lost, and not just late
	drainGrace      = 300 * time.Millisecond // from a list that excludes a host until it gets nothing new
	clientLeftGrace = 100 * time.Millisecond // from the client's end until no attempt may begin
	proxyDelay      = 150 * time.Millisecond // that a stalled proxy may add
	orderSlack      = 100 * time.Millisecond // between two goroutines that note what happened
)

// oracle judges what has happened. slack is the longest stall of this machine itself.
type oracle struct {
	record     *Record
	slack      time.Duration
	violations []Violation
}

// violate adds a violation of a rule.
func (o *oracle) violate(rule, format string, args ...any) {
	o.violations = append(o.violations, Violation{rule, fmt.Sprintf(format, args...)})
}

// checkRequest looks at one request.
func (o *oracle) checkRequest(a *clientRequest) {
	out, arrivals := a.Outcome(), o.record.arrivalsOf(a.ID)
	who := fmt.Sprintf("%s %s d=%v at %s, sent %s", a.ID, a.class.Name, a.Request.Wait, a.incarnation.name, a.incarnation.sinceStart(out.Sent))
	if !out.Sent.IsZero() {
		o.checkAnswer(a, out, who)
		o.checkEnd(a, out, arrivals, who)
	}
	o.checkAttempts(a, arrivals, who)
	for _, x := range arrivals {
		o.checkArrival(a, out, x, who)
	}
	if out.Answer == Rejected && a.class.Effect == experiment.Unsafe {
		for _, x := range arrivals {
			if said, _, _ := x.snapshot(); said != Rejected {
				o.violate("refusal_harmful", "%s: refused, and %s has it whole and said %q", who, x.host, said)
			}
		}
	}
}

// checkArrival looks whether one attempt might begin at that host then.
func (o *oracle) checkArrival(a *clientRequest, out Outcome, x *arrival, who string) {
	sinceLeft := x.receivedAt.Sub(out.EndedAt)
	if out.End == ClientLeft && out.Answer == Unanswered && sinceLeft > clientLeftGrace+proxyDelay+o.slack {
		o.violate("begun_after_left", "%s: at %s %v after its client left", who, x.host, sinceLeft)
	}
	from, suspended := a.incarnation.node.suspendedSince(x.host, x.receivedAt)
	if late := x.receivedAt.Sub(from); suspended && late > suspensionGrace+proxyDelay+o.slack {
		o.violate("ban", "%s: at %s %v after its operators took it out; %s", who, x.host, late, a.incarnation)
	}
	notice, excluded := o.record.excludedSince(a.incarnation.latestSuccessor(), x.host, x.receivedAt)
	if late := x.receivedAt.Sub(notice.writtenAt); excluded && late > drainGrace+proxyDelay+o.slack {
		o.violate("drain", "%s: at %s %v after its proxy was told that it is %s by %s; %s", who, x.host, late, notice.state, notice.list, a.incarnation)
	}
}

// checkAnswer looks whether the request has its answer in time. A process that was killed outright answers nothing any more.
func (o *oracle) checkAnswer(a *clientRequest, out Outcome, who string) {
	due := out.Sent.Add(a.Request.Wait + lostAfter + o.slack + a.incarnation.pausedFor())
	switch {
	case out.Answer != Unanswered:
		if out.AnsweredAt.After(due) {
			o.violate("lost", "%s: answered %v after it was sent", who, out.AnsweredAt.Sub(out.Sent))
		}
	case out.End == ClientLeft, a.incarnation.wasKilledBefore(due):
	case out.End == Open && time.Now().Before(due):
	default:
		o.violate("lost", "%s: no answer, connection %q %v after; %s", who, out.End, out.EndedAt.Sub(out.Sent), a.incarnation)
	}
}

// checkEnd looks how an open connection ended: its client leaves, its host ends it, or the proxy moves it.
func (o *oracle) checkEnd(a *clientRequest, out Outcome, arrivals []*arrival, who string) {
	if out.Answer != Served || a.incarnation.wasKilled() {
		return
	}
	switch out.End {
	case Open:
		if a.incarnation.latestSuccessor().hasEnded() {
			o.violate("held", "%s: still held when its process ended; %s", who, a.incarnation.latestSuccessor())
		}
	case Closed, Reset:
		if len(arrivals) == 0 {
			o.violate("invented", "%s: served by no host", who)
			return
		}
		if _, by, _ := arrivals[len(arrivals)-1].snapshot(); by != hostSide {
			o.violate("cut", "%s: %s without MOVE %v after; %s", who, out.End, out.EndedAt.Sub(out.Sent), a.incarnation)
		}
	}
}

// checkAttempts looks at a request that was sent more than once.
func (o *oracle) checkAttempts(a *clientRequest, arrivals []*arrival, who string) {
	var ran *arrival
	for i, x := range arrivals {
		if i > 0 {
			before := arrivals[i-1]
			if _, by, at := before.snapshot(); by == "" || at.Sub(x.receivedAt) > orderSlack+o.slack {
				o.violate("two_at_once", "%s: at %s while %s has it", who, x.host, before.host)
			}
		}
		if ran != nil {
			apart := x.receivedAt.Sub(ran.receivedAt)
			if a.class.Effect == experiment.Unsafe || a.class.Effect == experiment.Keyed && apart > a.class.Window+orderSlack+proxyDelay+o.slack {
				o.violate("duplicate", "%s: at %s %v after %s", who, x.host, apart, ran.host)
			}
		}
		if said, _, _ := x.snapshot(); said != Rejected && ran == nil {
			ran = x
		}
	}
}

// checkProcess looks at what a process logged of itself and how it ended.
func (o *oracle) checkProcess(l *incarnation) {
	for _, line := range l.proc.Log("") {
		if strings.Contains(line, "event=invariant_broken") || strings.Contains(line, "event=panic") {
			o.violate("own_check", "%s: %s", l.name, line[:min(len(line), 300)])
		}
	}
	if l.wasKilled() {
		return
	}
	if err, over := l.exitError(); over && err != nil {
		o.violate("crash", "%s: %v; %s", l.name, err, l)
	}
}
