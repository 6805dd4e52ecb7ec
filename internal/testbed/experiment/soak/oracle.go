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

func (v Violation) String() string { return v.Rule + ": " + v.Detail }

// asked is one client's request at one life of a proxy.
type asked struct {
	*Session
	life  *life
	class experiment.Class
}

// What the rules grant, and what a proxy that is held up may add.
const (
	lostAfter  = 500 * time.Millisecond // past its time an answer is lost, and not just late
	drainGrace = 300 * time.Millisecond
	leftGrace  = 100 * time.Millisecond
	heldUp     = 150 * time.Millisecond
	orderSlack = 100 * time.Millisecond // between two goroutines that note what happened
)

// oracle judges what has happened. slack is what this machine itself held everything up by.
type oracle struct {
	record *Record
	slack  time.Duration
	out    []Violation
}

func (o *oracle) broke(rule, format string, args ...any) {
	o.out = append(o.out, Violation{rule, fmt.Sprintf(format, args...)})
}

// judge looks at one request.
func (o *oracle) judge(a *asked) {
	out, arrivals := a.Outcome(), o.record.of(a.ID)
	who := fmt.Sprintf("%s %s d=%v at %s, sent %s", a.ID, a.class.Name, a.Request.Wait, a.life.name, a.life.since(out.Sent))
	if !out.Sent.IsZero() {
		o.answered(a, out, who)
		o.ended(a, out, arrivals, who)
	}
	o.repeats(a, arrivals, who)
	for _, x := range arrivals {
		if out.End == Left && out.Answer == Unanswered && x.at.Sub(out.EndedAt) > leftGrace+heldUp+o.slack {
			o.broke("begun_after_left", "%s: at %s %v after its client left", who, x.host, x.at.Sub(out.EndedAt))
		}
		if since, out := a.life.node.banned(x.host, x.at); out && x.at.Sub(since) > banGrace+heldUp+o.slack {
			o.broke("ban", "%s: at %s %v after its operators took it out; %s", who, x.host, x.at.Sub(since), a.life)
		}
		if since, told := o.record.outSince(a.life.heir(), x.host, x.at); told && x.at.Sub(since.at) > drainGrace+heldUp+o.slack {
			o.broke("drain", "%s: at %s %v after its proxy was told that it is %s by %s; %s", who, x.host, x.at.Sub(since.at), since.state, since.by, a.life)
		}
	}
	if out.Answer == Refused && a.class.Effect == experiment.Unsafe {
		for _, x := range arrivals {
			if said, _, _ := x.seen(); said != "BUSY" {
				o.broke("refusal_harmful", "%s: refused, and %s has it whole and said %q", who, x.host, said)
			}
		}
	}
}

// answered looks whether the request has its answer in time. A process that was killed outright answers nothing any more.
func (o *oracle) answered(a *asked, out Outcome, who string) {
	due := out.Sent.Add(a.Request.Wait + lostAfter + o.slack + a.life.pausedFor())
	switch {
	case out.Answer != Unanswered:
		if out.AnsweredAt.After(due) {
			o.broke("lost", "%s: answered %v after it was sent", who, out.AnsweredAt.Sub(out.Sent))
		}
	case out.End == Left, a.life.crashedBefore(due):
	case out.End == Open && time.Now().Before(due):
	default:
		o.broke("lost", "%s: no answer, connection %q %v after; %s", who, out.End, out.EndedAt.Sub(out.Sent), a.life)
	}
}

// ended looks how an open connection ended: its client leaves, its host ends it, or the proxy moves it.
func (o *oracle) ended(a *asked, out Outcome, arrivals []*arrival, who string) {
	if out.Answer != Served || a.life.crashed() {
		return
	}
	switch out.End {
	case Open:
		if a.life.heir().over() {
			o.broke("held", "%s: still held when its process ended; %s", who, a.life.heir())
		}
	case Closed, Reset:
		if len(arrivals) == 0 {
			o.broke("invented", "%s: served by no host", who)
			return
		}
		if _, by, _ := arrivals[len(arrivals)-1].seen(); by != "host" {
			o.broke("cut", "%s: %s without MOVE %v after; %s", who, out.End, out.EndedAt.Sub(out.Sent), a.life)
		}
	}
}

// repeats looks at a request that was sent more than once.
func (o *oracle) repeats(a *asked, arrivals []*arrival, who string) {
	var ran *arrival
	for i, x := range arrivals {
		if i > 0 {
			before := arrivals[i-1]
			if _, by, at := before.seen(); by == "" || at.Sub(x.at) > orderSlack+o.slack {
				o.broke("two_at_once", "%s: at %s while %s has it", who, x.host, before.host)
			}
		}
		if ran != nil {
			apart := x.at.Sub(ran.at)
			if a.class.Effect == experiment.Unsafe || a.class.Effect == experiment.Keyed && apart > a.class.Window+orderSlack+heldUp+o.slack {
				o.broke("duplicate", "%s: at %s %v after %s", who, x.host, apart, ran.host)
			}
		}
		if said, _, _ := x.seen(); said != "BUSY" && ran == nil {
			ran = x
		}
	}
}

// process looks at what a life of a proxy itself says.
func (o *oracle) process(l *life) {
	for _, line := range l.proc.Log("") {
		if strings.Contains(line, "event=invariant_broken") || strings.Contains(line, "event=panic") {
			o.broke("own_check", "%s: %s", l.name, line[:min(len(line), 300)])
		}
	}
	if l.crashed() {
		return
	}
	if err, over := l.ended(); over && err != nil {
		o.broke("crash", "%s: %v; %s", l.name, err, l)
	}
}
