// Package replica opens a replica for the owner agent: package consensus with its store in a bbolt
// file. It is a separate package so that a program without replicas does not link raft and bbolt.
package replica

import (
	"errors"
	"path/filepath"

	"croftlock/internal/fleet/consensus"
	"croftlock/internal/fleet/consensus/disk"
	"croftlock/internal/fleet/group"
	"croftlock/internal/fleet/owneragent"
)

const (
	fileName      = "voter.db"
	electionTicks = 6 // shortest election timeout, in ticks of 100 ms
)

// replica implements owneragent.Voter with a consensus.Core.
type replica struct{ *consensus.Core }

// Stopped returns the error for which the replica has stopped, or nil if it has not.
func (r replica) Stopped() *group.StoreError {
	if phase, _ := r.Phase(); phase == consensus.Broken {
		return storeError(r.Failure())
	}
	return nil
}

// storeError returns err with what package disk reports about a retry.
func storeError(err error) *group.StoreError {
	return &group.StoreError{Err: err, InUse: errors.Is(err, disk.ErrInUse), Retryable: disk.Recoverable(err)}
}

// Open opens the replica whose store is in the directory o.Dir, or creates it there.
func Open(o owneragent.VoterOptions) (owneragent.Voter, *group.StoreError) {
	store, err := disk.Open(filepath.Join(o.Dir, fileName), o.MaxBytes)
	if err != nil {
		return nil, storeError(err)
	}
	cfg := consensus.Config{Group: o.Group, Name: o.Name, InitialVoters: o.Voters, Seed: o.Seed, ElectionTicks: electionTicks}
	core, err := consensus.Open(cfg, store, o.Machines, o.Effects)
	if err != nil {
		store.Close()
		return nil, storeError(err)
	}
	return replica{core}, nil
}
