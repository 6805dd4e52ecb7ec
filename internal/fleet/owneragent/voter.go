package owneragent

import (
	"errors"
	"log/slog"
	"time"

	"croftlock/internal/fleet/group"
	"croftlock/internal/fleet/ownership"
)

// Voter is a voter with a disk.
type Voter interface {
	ownership.Group
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
	Most        int64 // bytes of its store
	Seed        uint64
	Machines    map[byte]group.Machine
	Effects     group.Effects
}

// OpenVoter opens a voter with a disk; nil in a program that has none. It is set once, before anything is started.
var OpenVoter func(VoterOptions) (Voter, *group.StoreError)

var errNoVoters = errors.New("this program keeps no votes on a disk: croftlock-voter does; or leave dir out, and voters go by memory")

// open opens the group, or says why it can't.
func (s *Agent) open() {
	s.group, s.raft, s.broken = nil, nil, ""
	seed := uint64(time.Now().UnixNano())
	machines := map[byte]group.Machine{ownership.Machine: s.table}
	switch {
	case s.o.Dir == "" && s.voter:
		q, err := ownership.NewQuorum(ownership.QuorumConfig{Group: s.o.Group, Name: s.name, Voters: s.o.Voters, Seed: seed, Clock: time.Now().UnixMilli()/10 - epochBegan}, machines, groupSide{s})
		if err != nil {
			s.broken = err.Error()
		} else {
			s.group = q
		}
	case s.o.Dir != "":
		c, err := s.openDisk(seed, machines)
		if err != nil {
			s.fail(err)
		} else {
			s.raft, s.group = c, c
		}
	}
	if s.core != nil {
		s.core.SetGroup(s.group)
		return
	}
	var err error
	s.core, err = ownership.New(ownership.Config{Name: s.name, Incarnation: s.life, Voters: s.o.Voters, Jobs: s.names, Wall: func() int64 { return time.Now().UnixMilli() }}, s.group, s.table, s.fence, coreSide{s})
	if err != nil {
		panic(err) // the section has checked it
	}
}

// epochBegan is 2020 in hundredths of a second: epochs are counted from there, so that tokens have room.
const epochBegan = 157783680000

func (s *Agent) openDisk(seed uint64, machines map[byte]group.Machine) (Voter, *group.StoreError) {
	if OpenVoter == nil {
		return nil, &group.StoreError{Err: errNoVoters}
	}
	return OpenVoter(VoterOptions{Group: s.o.Group, Name: s.name, Voters: s.o.Voters, Dir: s.o.Dir, Most: int64(s.o.MostKB) << 10, Seed: seed, Machines: machines, Effects: groupSide{s}})
}

// fail stops this voter's part. A store without room is tried again; any other waits for a restart.
func (s *Agent) fail(err *group.StoreError) {
	s.broken = err.Error()
	byItself := err.ByItself
	s.again = time.Time{}
	if byItself {
		s.again = time.Now().Add(storeWait)
	}
	if err.InUse {
		s.again = time.Now().Add(inUseWait) // by the process that this one replaces
		slog.Info("store_retry_pending", "reason", err)
		return
	}
	slog.Error("store_failed", "reason", err, "needs_kb", s.o.MostKB, "tried_again", byItself)
}
