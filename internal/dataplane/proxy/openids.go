package proxy

import (
	"log/slog"
	"time"

	"croftlock/internal/dataplane/netio"
	"croftlock/internal/operations/metrics"
)

const (
	// idAnswerTimeout is the maximum time that a request waits for the other process's answer whether
	// its ID is in use there. The request is then rejected.
	idAnswerTimeout = time.Second
	// idReleaseGrace is how long a process waits for a request to end before it answers that the ID is
	// in use. A client that has left and returns with the same ID may reach the other process before
	// this one has noticed that it left.
	idReleaseGrace = 50 * time.Millisecond
)

// otherProcessIDs tracks the request IDs of the other process of this proxy during a hot restart. An
// ID identifies one request over both processes. Each process asks the other one about an ID that the
// other one may have.
type otherProcessIDs struct {
	// open holds the IDs of requests that the other process had, as far as this one knows. The requests
	// may have ended since.
	open map[string]struct{}
	// confirmAll is set while the other process accepts clients, whose IDs this process does not know.
	confirmAll bool
	// waiting holds the requests whose ID the other process has been asked about, by ID.
	waiting map[string]*idConfirmation
}

// idConfirmation is a request that waits for the answer whether the other process has its ID.
type idConfirmation struct {
	request *Request
	proceed func()
	timeout *netio.Timer
}

// OpenIDs returns the IDs of the requests that this process has.
func (c *Core) OpenIDs() []string {
	ids := make([]string, 0, len(c.requests))
	for id := range c.requests {
		ids = append(ids, id)
	}
	return ids
}

// SetOtherProcessIDs sets the IDs of the requests that the other process of this proxy has.
func (c *Core) SetOtherProcessIDs(ids []string) {
	c.otherIDs.open = make(map[string]struct{}, len(ids))
	for _, id := range ids {
		c.otherIDs.open[id] = struct{}{}
	}
}

// ConfirmAllIDs makes this process ask the other one about the ID of every request from now on, because
// the other one accepts clients.
func (c *Core) ConfirmAllIDs() { c.otherIDs.confirmAll = true }

// OtherProcessEnded makes all IDs of the other process free: its connections have ended with it.
func (c *Core) OtherProcessEnded() {
	waiting := c.otherIDs.waiting
	c.otherIDs = otherProcessIDs{}
	for _, w := range waiting {
		w.end(w.proceed)
	}
}

// confirmID calls proceed once it is known that the other process has no request with the ID of r, and
// at once if it can't have one. If it has one, or does not answer, the request is answered instead.
func (c *Core) confirmID(r *Request, proceed func()) {
	id := r.attributes.ID
	_, open := c.otherIDs.open[id]
	if !open && !c.otherIDs.confirmAll || c.handover.successor == nil {
		proceed()
		return
	}
	w := &idConfirmation{request: r, proceed: proceed}
	wait := min(idAnswerTimeout, time.Duration(r.deadline-c.loop.Now())/2)
	w.timeout = c.loop.After(wait, func() { c.idUnconfirmed(w) })
	if c.otherIDs.waiting == nil {
		c.otherIDs.waiting = map[string]*idConfirmation{}
	}
	c.otherIDs.waiting[id] = w
	c.handover.successor.AskIDInUse(id)
}

// IDAnswered handles the other process's answer whether it has a request with an ID. A request that
// has waited for the answer proceeds, or fails if the ID is in use.
func (c *Core) IDAnswered(id string, inUse bool) {
	if !inUse {
		delete(c.otherIDs.open, id)
	}
	w := c.otherIDs.waiting[id]
	if w == nil {
		return
	}
	delete(c.otherIDs.waiting, id)
	if tracing() {
		slog.Debug("id_answered", "request", id, "in_use", inUse)
	}
	if inUse {
		w.end(func() { c.failIDInUse(w.request) })
		return
	}
	w.end(w.proceed)
}

// idUnconfirmed rejects a request about whose ID the other process has not answered.
func (c *Core) idUnconfirmed(w *idConfirmation) {
	id := w.request.attributes.ID
	if c.otherIDs.waiting[id] != w {
		return
	}
	delete(c.otherIDs.waiting, id)
	slog.Warn("id_not_confirmed", "request", id)
	w.end(func() { w.request.reject(c.DefaultRetryAfter(), idNotConfirmed) })
}

// end stops the timeout and calls next, unless the client has left or has an answer.
func (w *idConfirmation) end(next func()) {
	w.timeout.Stop()
	if !w.request.answered() {
		recoverRequest(w.request, next)
	}
}

// failIDInUse fails a request whose ID another request has.
func (c *Core) failIDInUse(r *Request) {
	c.ReportInvalidRequest(&InvalidRequestError{IDInUse, r.attributes.ID})
	r.fail(metrics.InvalidRequest, idInUse)
}

// AnswerIDInUse answers the other process's question whether this one has a request with an ID. If it
// has, it answers after idReleaseGrace, by when the request may have ended. If it has none, the other
// process has one from now on.
func (c *Core) AnswerIDInUse(id string, answer func(inUse bool)) {
	if c.requests[id] == nil {
		c.addOtherProcessID(id)
		answer(false)
		return
	}
	c.loop.After(idReleaseGrace, func() {
		inUse := c.requests[id] != nil
		if !inUse {
			c.addOtherProcessID(id)
		}
		answer(inUse)
	})
}

// addOtherProcessID records that the other process has a request with the ID.
func (c *Core) addOtherProcessID(id string) {
	if c.otherIDs.open == nil {
		c.otherIDs.open = map[string]struct{}{}
	}
	c.otherIDs.open[id] = struct{}{}
}
