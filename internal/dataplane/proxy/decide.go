package proxy

import (
	"log/slog"
	"runtime/debug"

	"croftlock/internal/balancer"
)

// decisionLoop serialises the calls of the decision module, the code that chooses hosts for requests.
// The module is single-threaded and not reentrant. The actions that it requests while it handles an
// event, its effects, are therefore queued, and run in order once it has returned. Events that the
// effects cause wait until all effects of the previous event have run.
type decisionLoop struct {
	now     func() balancer.Time
	running bool // submit is handling events, further up the call stack
	events  []decisionEvent
	effects []func()
}

// decisionEvent is an event for the decision module.
type decisionEvent struct {
	request *Request // fails if handling the event panics; may be nil
	module  Balancer // the pool's balancer
	handle  func(now balancer.Time, m Balancer)
}

// submit passes an event to the module, runs its effects, and then does the same for the events
// that they caused. While another event is being handled, submit only queues. If the module or an
// effect panics, request fails; it may be nil.
func (d *decisionLoop) submit(request *Request, module Balancer, handle func(now balancer.Time, m Balancer)) {
	d.events = append(d.events, decisionEvent{request, module, handle})
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

// runEffects runs the queued effects of the event that the module has handled.
func (d *decisionLoop) runEffects(request *Request) {
	for len(d.effects) > 0 {
		effect := d.effects[0]
		d.effects = d.effects[1:]
		recoverRequest(request, effect)
	}
}

// addEffect queues an effect, which runs once the module has returned.
func (d *decisionLoop) addEffect(effect func()) { d.effects = append(d.effects, effect) }

// recoverRequest calls f and recovers from its panic. If f panics, the request that it acts on
// fails unless it has its answer. request may be nil.
func recoverRequest(request *Request, f func()) {
	defer func() {
		if p := recover(); p != nil {
			slog.Error("panic", "where", "core", "reason", p, "stack", string(debug.Stack()))
			if request != nil {
				request.failUnresponsive()
			}
		}
	}()
	f()
}
