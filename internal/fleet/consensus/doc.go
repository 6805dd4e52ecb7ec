// Package consensus is one process's part of a group of replicas that agree on a sequence of commands, on go.etcd.io/raft/v3. It applies the
// commands in their order to several state machines. Its only I/O is the Store that it is given; it reads no clock, and draws its randomness
// from a seed, so that a run can be replayed. One goroutine beside the event loop drives it, since a Store waits for its disk.
//
// Its parts, each with its own state:
//
//   - Core: drives raft's Ready loop: durable first, then sent, then applied
//   - joining: the exchange of hello and welcome that decides at each start whether this process may vote
//   - configuration: the members of the group
//   - appliedLog: what the state machines have applied, and snapshots of it
//   - electionTimer: when a leader counts as lost
//
// Safety rests on three properties:
//
//   - Durability: a process votes and acknowledges only what its Store has made durable.
//   - Fail-stop: one whose Store fails stops at once.
//   - Staleness: one whose Store is older than what others have received from it (a file restored from a backup) takes no part. At each start
//     the others are queried.
//
// See docs/design-ownership.md.
package consensus
