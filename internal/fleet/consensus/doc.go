// Package consensus is one process's part of a group of replicas that agree on a sequence of commands, on go.etcd.io/raft/v3. It applies the
// commands in their order to several state machines. It does no I/O but through the Store it is given, reads no clock, and draws its
// randomness from a seed: a run can be replayed. It is driven beside the event loop, by one goroutine, since a Store waits for its disk.
//
// Its parts, each with its own state:
//
//   - Core: drives raft's Ready loop: durable first, then sent, then applied
//   - joining: the exchange of hello and welcome that decides at each start whether this process may vote
//   - configuration: who is of the group
//   - appliedLog: what the state machines have applied, and snapshots of it
//   - electionTimer: when a leader counts as lost
//
// Safety rests on three properties. A process votes and acknowledges only what its Store has made durable. One whose Store fails stops at
// once. One whose Store is older than what others have received from it (a file restored from a backup) does not take part: the others are
// asked at each start. See docs/design-ownership.md.
package consensus
