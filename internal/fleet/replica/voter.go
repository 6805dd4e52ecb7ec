// Package replica opens a replica with a disk for the owner agent: consensus on a bbolt file. It owns nothing; it is apart so that programs
// without voters do not carry it.
package replica

import (
	"errors"
	"path/filepath"

	"croftlock/internal/fleet/consensus"
	"croftlock/internal/fleet/consensus/disk"
	"croftlock/internal/fleet/group"
	"croftlock/internal/fleet/owneragent"
)

type voter struct{ *consensus.Core }

// Stopped is why the voter takes no part any more; nil: it does.
func (v voter) Stopped() *group.StoreError {
	if p, _ := v.Phase(); p == consensus.Broken {
		return wrap(v.Failure())
	}
	return nil
}

func wrap(err error) *group.StoreError {
	return &group.StoreError{Err: err, InUse: errors.Is(err, disk.ErrInUse), Retryable: disk.Recoverable(err)}
}

// Open opens the voter whose store is in a folder.
func Open(o owneragent.VoterOptions) (owneragent.Voter, *group.StoreError) {
	st, err := disk.Open(filepath.Join(o.Dir, "voter.db"), o.MaxBytes)
	if err != nil {
		return nil, wrap(err)
	}
	c, err := consensus.Open(consensus.Config{Group: o.Group, Name: o.Name, InitialVoters: o.Voters, Seed: o.Seed, ElectionTicks: 6}, st, o.Machines, o.Effects)
	if err != nil {
		st.Close()
		return nil, wrap(err)
	}
	return voter{c}, nil
}
