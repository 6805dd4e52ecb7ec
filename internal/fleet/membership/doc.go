// Package membership decides which processes of a fleet are alive. All processes reach the same result
// despite pauses, lost datagrams and one-way cuts. It is a SWIM-like failure detector: each process
// probes the others in turn, asks some of them to probe a member that did not answer, and spreads
// suspicions and their refutations by gossip on the datagrams that it sends anyway. Two rules differ
// from SWIM: a member counts as heard once any process has heard it, and only a process that sees a
// majority of the fleet may decide that a member is gone.
//
// The package does no I/O and reads no clock: the caller passes in time, datagrams and the random seed,
// and receives the effects through Effects, so that a run can be replayed. Its components, each with
// its own state, are:
//
//   - memberTable: the view, its counts, digest and version
//   - prober: the order of probes, the outstanding probes, and the local health multiplier
//   - gossipQueue: the members whose updates still have to be gossiped
//   - antiEntropy: when to request a complete view, and which page of its own view a process sends next
//   - addressBook: which member is at which slot, and the learnt addresses
//   - isolation: whether this process itself was paused or is cut off
//
// A member is a process of the fleet. Its ID is the hash of its name. A slot is the number of an
// address at which a member may be: the configuration fixes it, or it is assigned when the address is
// learnt. The member at a slot may change. An update is what one member gossips about another. Heard
// means that a datagram of a member has arrived, at this process or at another one that reports it.
//
// The view is advisory. No safety property may rest on it: a member that is paused or cut off does not
// know that others have marked it as gone.
package membership
