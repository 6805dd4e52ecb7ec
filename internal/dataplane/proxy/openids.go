package proxy

import (
	"log/slog"
	"time"

	"croftlock/internal/balancer"
	"croftlock/internal/dataplane/netio"
	"croftlock/internal/operations/metrics"
)

const (
	// idAnswerTimeout is the maximum time that a request waits for the other process's answer whether
	// its ID is in use there. The request is then rejected, or fails if it may not simply run again.
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

// OtherProcessEnded makes all IDs of the other process free: its connections have ended with it. What became
// of its requests is not known, so that they count as having run.
func (c *Core) OtherProcessEnded() {
	waiting := c.otherIDs.waiting
	if c.hasUnsafeClass() {
		for id := range c.otherIDs.open {
			c.usedIDs.add(id, balancer.EarlierRun{At: unknownRunTime})
		}
	}
	c.otherIDs = otherProcessIDs{}
	for _, w := range waiting {
		w.end(w.proceed)
	}
}

// confirmID calls proceed once it is known that the other process has no request with the ID of r, and
// at once if it can't have one. If it has one, or does not answer, the request is answered instead.
func (c *Core) confirmID(r *Request, proceed func()) {
	id := r.attributes.ID
	confirmed := func() { r.proceedAfterEarlierRun(proceed) }
	_, open := c.otherIDs.open[id]
	if !open && !c.otherIDs.confirmAll || c.handover.successor == nil {
		confirmed()
		return
	}
	w := &idConfirmation{request: r, proceed: confirmed}
	wait := min(idAnswerTimeout, time.Duration(r.deadline-c.loop.Now())/2)
	w.timeout = c.loop.After(wait, func() { c.idUnconfirmed(w) })
	if c.otherIDs.waiting == nil {
		c.otherIDs.waiting = map[string]*idConfirmation{}
	}
	c.otherIDs.waiting[id] = w
	c.handover.successor.AskIDInUse(id)
}

// IDStatus is a process's answer about an ID.
type IDStatus struct {
	InUse bool // the process has a request with the ID
	// Run is the run of a request with the ID that has ended; nil if there is none that matters, or if the
	// process is of an earlier build.
	Run *balancer.EarlierRun
}

// IDAnswered handles the other process's answer about an ID. A request that has waited for the answer
// proceeds, or fails if the ID is in use.
func (c *Core) IDAnswered(id string, status IDStatus) {
	if !status.InUse {
		delete(c.otherIDs.open, id)
	}
	if status.Run != nil {
		c.usedIDs.add(id, *status.Run)
	}
	w := c.otherIDs.waiting[id]
	if w == nil {
		return
	}
	delete(c.otherIDs.waiting, id)
	if tracing() {
		slog.Debug("id_answered", "request", id, "in_use", status.InUse)
	}
	if status.InUse {
		w.end(func() { c.failIDInUse(w.request) })
		return
	}
	w.end(w.proceed)
}

// idUnconfirmed answers a request about whose ID the other process has not answered.
func (c *Core) idUnconfirmed(w *idConfirmation) {
	id := w.request.attributes.ID
	if c.otherIDs.waiting[id] != w {
		return
	}
	delete(c.otherIDs.waiting, id)
	slog.Warn("id_not_confirmed", "request", id)
	r := w.request
	if r.class().Idempotency == balancer.Idempotent {
		w.end(func() { r.reject(c.DefaultRetryAfter(), idNotConfirmed) })
		return
	}
	w.end(func() { r.fail(metrics.Failed, idNotConfirmed) }) // the other process may have run it
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

// AnswerID answers the other process's question about an ID. If this process has a request with the ID, it
// answers after idReleaseGrace, by when the request may have ended. If it has none, the other process has one
// from now on.
func (c *Core) AnswerID(id string, answer func(IDStatus)) {
	if c.requests[id] == nil {
		answer(c.giveUpID(id))
		return
	}
	c.loop.After(idReleaseGrace, func() {
		if c.requests[id] != nil {
			answer(IDStatus{InUse: true})
			return
		}
		answer(c.giveUpID(id))
	})
}

// giveUpID records that the other process has a request with an ID that is free here, and returns the answer
// to its question.
func (c *Core) giveUpID(id string) IDStatus {
	c.addOtherProcessID(id)
	if run, used := c.usedIDs.runs[id]; used {
		return IDStatus{Run: &run}
	}
	return IDStatus{}
}

// addOtherProcessID records that the other process has a request with the ID.
func (c *Core) addOtherProcessID(id string) {
	if c.otherIDs.open == nil {
		c.otherIDs.open = map[string]struct{}{}
	}
	c.otherIDs.open[id] = struct{}{}
}
