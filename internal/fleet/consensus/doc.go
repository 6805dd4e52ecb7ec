// Package consensus implements one replica of a replicated group. It runs the raft library
// go.etcd.io/raft/v3 and applies the committed commands, in log order, to several state machines.
//
// The package does no I/O besides its Store, reads no clock, and generates random numbers from a
// seed, so that a run can be replayed. One goroutine other than the event loop must drive it, since
// a Store blocks on its disk.
//
// The state is divided into:
//
//   - Core: drives raft's Ready loop, which persists first, then sends messages, then applies entries
//   - joining: the exchange of hello and welcome messages that decides at each start whether this
//     process may vote
//   - configuration: the members of the group
//   - appliedLog: how far the log has been applied to the state machines and covered by snapshots
//   - electionTimer: decides when a follower considers its leader lost
//
// Safety rests on three properties, to which comments refer by name:
//
//   - Durability: a process votes and acknowledges only what its Store has made durable.
//   - Fail-stop: a process whose Store fails stops at once.
//   - Staleness: a process whose Store is older than what other processes have received from it (for
//     example a file restored from a backup) takes no part. It queries the others at each start.
//
// See docs/design-ownership.md.
package consensus
