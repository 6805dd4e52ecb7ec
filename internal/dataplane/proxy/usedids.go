package proxy

import (
	"slices"
	"strings"

	"croftlock/internal/balancer"
	"croftlock/internal/dataplane/invariant"
	"croftlock/internal/operations/metrics"
)

const (
	// maxUsedIDs limits how many IDs are stored. The oldest ones are forgotten first.
	maxUsedIDs = 8192
	// unknownRunTime is the time of a run that may have been at any time.
	unknownRunTime = 1
)

// usedIDs stores the IDs of requests that have ended, may have run, and may not simply run again. A client
// that left may come back with its ID, and a second run of the request would then repeat its effect.
type usedIDs struct {
	runs map[string]balancer.EarlierRun // by ID
	ids  []string                       // keys of runs; the oldest is at index next once there are maxUsedIDs
	next int
}

// UsedID is an ID of usedIDs, as one process of a proxy passes it to the other one in a hot restart.
type UsedID struct {
	ID  string              `json:"ID"`
	Run balancer.EarlierRun `json:"Run"`
}

// add stores an ID. It does nothing if the ID is stored already, since the first run counts.
func (u *usedIDs) add(id string, run balancer.EarlierRun) {
	if _, known := u.runs[id]; known {
		return
	}
	if u.runs == nil {
		u.runs = map[string]balancer.EarlierRun{}
	}
	id = strings.Clone(id) // an ID may share the memory of a longer line
	if len(u.ids) < maxUsedIDs {
		u.ids = append(u.ids, id)
	} else {
		delete(u.runs, u.ids[u.next])
		u.ids[u.next] = id
		u.next = (u.next + 1) % maxUsedIDs
	}
	u.runs[id] = run
}

// all returns the stored IDs, the oldest first.
func (u *usedIDs) all() []UsedID {
	list := make([]UsedID, 0, len(u.ids))
	for i := range u.ids {
		id := u.ids[(u.next+i)%len(u.ids)]
		list = append(list, UsedID{ID: id, Run: u.runs[id]})
	}
	return list
}

// UsedIDs returns the IDs of ended requests that may have run, for the other process of a hot restart.
func (c *Core) UsedIDs() []UsedID { return c.usedIDs.all() }

// AddUsedIDs adds the IDs that the other process of a hot restart has passed on.
func (c *Core) AddUsedIDs(ids []UsedID) {
	for _, used := range ids {
		c.usedIDs.add(used.ID, used.Run)
	}
}

// hasUnsafeClass reports whether the requests of a class may not simply run again.
func (c *Core) hasUnsafeClass() bool {
	return slices.ContainsFunc(c.opt.Settings.Classes, func(class balancer.Class) bool { return class.Idempotency != balancer.Idempotent })
}

// rememberRun stores the ID of an ended request that may have run and is not idempotent without a key.
func (c *Core) rememberRun(r *Request) {
	if r.class().Idempotency == balancer.Idempotent {
		return
	}
	if startedAt, host, mayHaveRun := r.record.FirstRun(); mayHaveRun {
		c.usedIDs.add(r.attributes.ID, balancer.EarlierRun{HostID: host.ID, At: startedAt})
	}
}

// earlierRun returns the run of an ended request with the same ID, and reports whether there is one that
// restricts a request of this class.
func (c *Core) earlierRun(id string, class *balancer.Class) (run balancer.EarlierRun, restricts bool) {
	if class.Idempotency == balancer.Idempotent {
		return balancer.EarlierRun{}, false
	}
	run, restricts = c.usedIDs.runs[id]
	return run, restricts
}

// mustNotRunAgain reports whether an opening has the ID of an ended request that may have run, and must not
// run again at any host.
func (c *Core) mustNotRunAgain(o *Opening) bool {
	class := &c.opt.Settings.Classes[c.names.classes[o.Class]]
	_, ran := c.earlierRun(o.ID, class)
	return ran && runsOnce(class, o.StickyHost != "")
}

// runsOnce reports whether a request of a class that may have run must not run again at any host. adopting is
// set if its client names the host at which it was open.
func runsOnce(class *balancer.Class, adopting bool) bool {
	return class.Idempotency == balancer.NotIdempotent || adopting
}

// mayReject reports whether a request may get the answer that a retry is harmless, before anything but its
// ID is known of it.
func (c *Core) mayReject(id string, class *balancer.Class) bool {
	_, ran := c.earlierRun(id, class)
	return !ran || class.Idempotency == balancer.IdempotentWithKey && class.DedupScope == balancer.ScopeAll
}

// proceedAfterEarlierRun calls proceed, with the request restricted by an earlier run of its ID. It fails
// the request instead if it must not run again anywhere.
func (r *Request) proceedAfterEarlierRun(proceed func()) {
	run, ran := r.core.earlierRun(r.attributes.ID, r.class())
	if !ran {
		proceed()
		return
	}
	if runsOnce(r.class(), r.adopting) {
		r.core.ReportInvalidRequest(&InvalidRequestError{IDUsed, r.attributes.ID})
		r.fail(metrics.InvalidRequest, idUsed)
		return
	}
	r.attributes.EarlierRun = &run
	r.record.RanBefore(run.At, r.core.invariantHostByID(run.HostID))
	proceed()
}

// invariantHostByID returns the properties of a host for the invariants. A host that is not known shares
// its dedup memory with no other one.
func (c *Core) invariantHostByID(id string) invariant.Host {
	if h := c.hosts.byID[id]; h != nil {
		return h.invariantHost()
	}
	const noCell = -1
	return invariant.Host{ID: id, Zone: "unknown host " + id, Cell: noCell}
}
