// Package membership decides which of a fleet's processes are alive, with the same result at all of them, through pauses, lost datagrams
// and one-way cuts. It is a SWIM-like failure detector: each process probes the others in turn, has others probe on its behalf, and
// spreads suspicions and their refutations by gossip on the datagrams that it sends anyway. Two rules differ from SWIM: a member counts
// as heard once anybody has heard it, and only a process that sees a majority of the fleet gives a member up for good.
//
// The package does no I/O and reads no clock: time, datagrams and randomness are passed in, and effects go to Effects, so that a run can
// be replayed. Its parts, each with its own state:
//
//   - memberTable: the view, its counts, digest and version
//   - prober: the order of probes, those outstanding, and the local health multiplier
//   - gossipQueue: the updates that still have to spread
//   - antiEntropy: when to request a complete view, and which page of the own one is sent next
//   - addressBook: which member is at which slot, and the learnt addresses
//   - isolation: whether this process itself slept or is cut off
//
// A member is a process of the fleet, known by its id, the hash of its name. A slot is the number of an address at which a member may be: fixed
// by the configuration, or given out as addresses are learnt; who is at a slot may change. An update is what one member gossips of another.
// Heard means that a datagram of a member has arrived, here or at another that says so.
//
// The view is advice. No safety property may rest on it: a member that sleeps or is cut off does not know that others have given it up.
package membership
