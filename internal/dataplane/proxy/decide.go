package proxy

import (
	"log/slog"
	"runtime/debug"

	"croftlock/internal/balancer"
)

// decisionLoop serialises the decision module. The module is single-threaded and must not be entered from inside itself, so its
// effects are noted while it handles an event and are carried out, in order, once it has returned. Events that the effects cause wait
// until all effects of the event before have been carried out.
type decisionLoop struct {
	now     func() balancer.Time
	running bool
	events  []decisionEvent
	effects []func()
}

// decisionEvent is an event for the decision module.
type decisionEvent struct {
	request *Request // answered should the module panic; nil: no request
	module  Balancer // the one of a pool
	handle  func(now balancer.Time, m Balancer)
}

// submit has the module handle an event, then carries out its effects, then whatever these caused. Called while an event is handled,
// it only queues.
func (d *decisionLoop) submit(about *Request, module Balancer, handle func(now balancer.Time, m Balancer)) {
	d.events = append(d.events, decisionEvent{about, module, handle})
	if d.running {
		return
	}
	d.running = true
	defer func() { d.running = false }()
	for len(d.events) > 0 {
		next := d.events[0]
		d.events = d.events[1:]
		recoverRequest(next.request, func() { next.handle(d.now(), next.module) })
		d.runEffects(next.request)
	}
	d.events, d.effects = nil, nil
}

// runEffects carries out the module's effects of the event that it handled.
func (d *decisionLoop) runEffects(about *Request) {
	for len(d.effects) > 0 {
		effect := d.effects[0]
		d.effects = d.effects[1:]
		recoverRequest(about, effect)
	}
}

// addEffect notes an effect, to be carried out when the module has returned.
func (d *decisionLoop) addEffect(effect func()) { d.effects = append(d.effects, effect) }

// recoverRequest confines a panic to the request that it happened for, which still gets its one answer.
func recoverRequest(about *Request, f func()) {
	defer func() {
		if p := recover(); p != nil {
			slog.Error("panic", "where", "core", "reason", p, "stack", string(debug.Stack()))
			if about != nil {
				about.failUnresponsive()
			}
		}
	}()
	f()
}
