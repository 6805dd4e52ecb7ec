package owneragent

import (
	"errors"
	"log/slog"
	"slices"
	"time"

	"croftlock/internal/fleet/group"
	"croftlock/internal/fleet/ownership"
)

const (
	// storeRetryDelay is the time after which a store that failed for lack of space is opened again.
	storeRetryDelay = 5 * time.Second
	// storeInUseRetryDelay is the time after which a store that another process has open is opened
	// again. Usually this process replaces the other one.
	storeInUseRetryDelay = 200 * time.Millisecond

	// clockOrigin is the start of 2020 in hundredths of a second since 1970. The epochs of a group in
	// memory start from the time since then, which is small enough to leave bits for tokens.
	clockOrigin = 157783680000
)

// Voter is a replica of the group with a store on disk. It may be a learner, or wait to be added.
type Voter interface {
	ownership.Group
	// Stopped returns the error for which the voter has stopped, or nil if it has not.
	Stopped() *group.StoreError
	Status() group.Status
	// Add, Promote and Remove propose to add a learner by member name, to make it a voter, and to
	// remove a member. They return group.ErrNotLeader if this process does not lead the group.
	Add(now group.Time, tag uint64, name string) error
	Promote(now group.Time, tag uint64, name string) error
	Remove(now group.Time, tag uint64, name string) error
	Close() error
}

// VoterOptions holds the arguments of OpenVoter.
type VoterOptions struct {
	Group, Name string   // names of the group and of this member
	Voters      []string // names of the initial voters
	Dir         string   // directory of the store
	MaxBytes    int64    // maximum size of the store in bytes
	Seed        uint64   // seed of the voter's random numbers
	Machines    map[byte]group.Machine
	Effects     group.Effects
}

// OpenVoter opens a voter with a store on disk. It is nil in a program that does not support them. A
// program sets it once, before it starts anything.
var OpenVoter func(VoterOptions) (Voter, *group.StoreError)

// ErrDiskVotersUnsupported is returned if the section has a dir and this program is built without
// voters on disk.
var ErrDiskVotersUnsupported = errors.New("this program keeps no votes on a disk: croftlock-voter does; or leave dir out, and voters go by memory")

// replica holds this process's replica of the group, and retries to open its store. A process with
// a dir has a replica even as a learner or while it waits to be added. A process without a dir has
// one only if it is among the voters. All methods run on the worker.
type replica struct {
	options Options
	name    string
	effects group.Effects
	table   *ownership.Table

	group   ownership.Group // nil if there is no replica
	voter   Voter           // the same replica if it is on disk, whether it votes or not; otherwise nil
	failure string          // why the replica can't be opened or used; empty if it can
	retryAt time.Time       // when the store is opened again; zero if no retry is due before a restart of the process
}

func newReplica(o Options, name string, table *ownership.Table, effects group.Effects) *replica {
	return &replica{options: o, name: name, table: table, effects: effects}
}

// open opens this process's replica: on disk if it has a dir, otherwise in memory if it is among the
// voters.
func (r *replica) open() {
	r.group, r.voter, r.failure = nil, nil, ""
	seed := uint64(time.Now().UnixNano())
	machines := map[byte]group.Machine{ownership.MachineNumber: r.table}
	switch {
	case r.options.Dir != "":
		r.openVoter(seed, machines)
	case slices.Contains(r.options.Voters, r.name):
		r.openQuorum(seed, machines)
	}
}

// openQuorum opens a voter that keeps its state in memory.
func (r *replica) openQuorum(seed uint64, machines map[byte]group.Machine) {
	cfg := ownership.QuorumConfig{Group: r.options.Group, Name: r.name, Voters: r.options.Voters, Seed: seed, WallClockAtStart: time.Now().UnixMilli()/10 - clockOrigin,
		Faults: Faults.Ownership}
	quorum, err := ownership.NewQuorum(cfg, machines, r.effects)
	if err != nil {
		r.failure = err.Error()
		return
	}
	r.group = quorum
}

// openVoter opens a replica on disk.
func (r *replica) openVoter(seed uint64, machines map[byte]group.Machine) {
	if OpenVoter == nil {
		r.recordFailure(&group.StoreError{Err: ErrDiskVotersUnsupported})
		return
	}
	opened, err := OpenVoter(VoterOptions{Group: r.options.Group, Name: r.name, Voters: r.options.Voters, Dir: r.options.Dir,
		MaxBytes: int64(r.options.MaxStoreKB) << 10, Seed: seed, Machines: machines, Effects: r.effects})
	if err != nil {
		r.recordFailure(err)
		return
	}
	r.group, r.voter = opened, opened
}

// closeIfStopped closes a voter that has stopped, and reports whether it did.
func (r *replica) closeIfStopped() bool {
	if r.voter == nil {
		return false
	}
	err := r.voter.Stopped()
	if err == nil {
		return false
	}
	r.close()
	r.group, r.voter = nil, nil
	r.recordFailure(err)
	return true
}

// close closes the store of a replica on disk.
func (r *replica) close() {
	if r.voter != nil {
		r.voter.Close()
	}
}

// recordFailure records and logs why there is no voter. A store that lacks space or is in use is
// opened again later. After any other failure only a restart opens it again.
func (r *replica) recordFailure(err *group.StoreError) {
	r.failure = err.Error()
	if err.InUse {
		r.retryAt = time.Now().Add(storeInUseRetryDelay)
		slog.Info("store_retry_pending", "reason", err)
		return
	}
	r.retryAt = time.Time{}
	if err.Retryable {
		r.retryAt = time.Now().Add(storeRetryDelay)
	}
	slog.Error("store_failed", "reason", err, "max_store_kb", r.options.MaxStoreKB, "retryable", err.Retryable)
}

// retryDue reports whether the store must be opened again now. It reports true once per failure.
func (r *replica) retryDue() bool {
	if r.failure == "" || r.retryAt.IsZero() || !time.Now().After(r.retryAt) {
		return false
	}
	r.retryAt = time.Time{}
	return true
}

// logReopened logs that the store is open again, if the last attempt succeeded.
func (r *replica) logReopened() {
	if r.failure == "" {
		slog.Info("store_reopened", "dir", r.options.Dir)
	}
}
