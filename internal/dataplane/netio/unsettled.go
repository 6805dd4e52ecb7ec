package netio

import "sync/atomic"

// maxUnsettled is how many descriptors may be unsettled before no further connection is accepted. They are
// part of the descriptors that the platform's limits reserve for other uses than clients and hosts.
const maxUnsettled = 8

// unsettledDescriptors counts the descriptors that are open though no connection counts them: those that were
// accepted and are not handled yet, and those of ended connections that netpoll will close only after a task
// that the loop has not run yet.
//
// The gate makes the poller wait for the loop, but it opens whenever the loop waits for the poller, twice
// for each new connection. What the poller accepts and reads meanwhile queues up, so that thousands of
// connections a second would hold more descriptors than all limits allow.
type unsettledDescriptors struct{ count atomic.Int32 }

// add adds a descriptor.
func (u *unsettledDescriptors) add() { u.count.Add(1) }

// remove removes a descriptor.
func (u *unsettledDescriptors) remove() { u.count.Add(-1) }

// full reports whether no further connection may be accepted.
func (u *unsettledDescriptors) full() bool { return u.count.Load() >= maxUnsettled }
