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
	// storeRetryDelay is the time until a store that failed for want of space is opened again.
	storeRetryDelay = 5 * time.Second
	// storeInUseRetryDelay is the same for a store that another process has open: usually the one that this process replaces.
	storeInUseRetryDelay = 200 * time.Millisecond

	// clockOrigin is the start of 2020 in hundredths of a second since 1970. Epochs count from there, so that they leave bits for tokens.
	clockOrigin = 157783680000
)

// Voter is a voter with a disk.
type Voter interface {
	ownership.Group
	// Stopped gives the reason why the voter can't go on; nil: it can.
	Stopped() *group.StoreError
	Status() group.Status
	Add(now group.Time, tag uint64, name string) error
	Promote(now group.Time, tag uint64, name string) error
	Remove(now group.Time, tag uint64, name string) error
	Close() error
}

// VoterOptions are what a voter is opened with.
type VoterOptions struct {
	Group, Name string
	Voters      []string
	Dir         string
	MaxBytes    int64 // size of its store, bytes
	Seed        uint64
	Machines    map[byte]group.Machine
	Effects     group.Effects
}

// OpenVoter opens a voter with a disk; nil in a program that has none. It is set once, before anything is started.
var OpenVoter func(VoterOptions) (Voter, *group.StoreError)

// ErrDiskVotersUnsupported is returned where the section has a dir and this program is built without voters on disk.
var ErrDiskVotersUnsupported = errors.New("this program keeps no votes on a disk: croftlock-voter does; or leave dir out, and voters go by memory")

// replica is this process's part of the replicated group, with its store and the retry of its opening. A process has a part if it has a dir, also as
// a learner or while it waits to be added; without one, if it is among the voters.
type replica struct {
	options Options
	name    string
	effects group.Effects
	table   *ownership.Table

	group   ownership.Group // nil: none
	voter   Voter           // the same, where it has a disk, whether it votes or not; nil: it has none
	failure string          // why the store can't be used; "": it can
	retryAt time.Time       // when it is opened again; zero: not before a restart
}

func newReplica(o Options, name string, table *ownership.Table, effects group.Effects) *replica {
	return &replica{options: o, name: name, table: table, effects: effects}
}

// open opens this process's part of the group: with a dir one on disk, otherwise one in memory if it is among the voters.
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

// closeIfStopped closes a voter that can't go on, and reports whether it did.
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

func (r *replica) close() {
	if r.voter != nil {
		r.voter.Close()
	}
}

// recordFailure records why there is no voter. A store without free space, or in use, is opened again later; after any other failure only by a restart.
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

// retryDue reports, once, that the store is to be opened again.
func (r *replica) retryDue() bool {
	if r.failure == "" || r.retryAt.IsZero() || !time.Now().After(r.retryAt) {
		return false
	}
	r.retryAt = time.Time{}
	return true
}

func (r *replica) logReopened() {
	if r.failure == "" {
		slog.Info("store_reopened", "dir", r.options.Dir)
	}
}
