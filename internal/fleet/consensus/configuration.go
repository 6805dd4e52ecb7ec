package consensus

import (
	"maps"
	"slices"

	"go.etcd.io/raft/v3/raftpb"

	"croftlock/internal/fleet/encoding"
)

// maxMembers bounds the number of members in a snapshot.
const maxMembers = 64

// configuration holds the members of the group.
type configuration struct {
	names    map[uint64]string // names of the members, voters and learners, by identity
	state    raftpb.ConfState
	changing bool // whether a joint configuration (of old and new voters) is in force
}

func newConfiguration() configuration { return configuration{names: map[uint64]string{}} }

// formed reports whether this process knows of a group that was bootstrapped.
func (g *configuration) formed() bool { return len(g.state.Voters) > 0 }

func (g *configuration) contains(id uint64) bool {
	_, member := g.names[id]
	return member
}

// isInitialMember reports whether id is a member and the identity of an initial voter that has never
// lost its disk.
func (g *configuration) isInitialMember(id uint64) bool { return isInitial(id) && g.contains(id) }

func (g *configuration) isVoter(id uint64) bool { return slices.Contains(g.state.Voters, id) }

// bootstrap makes the initial voters the only members.
func (g *configuration) bootstrap(voters []string) {
	for _, name := range voters {
		id := VoterID(name, 0)
		g.state.Voters = append(g.state.Voters, id)
		g.names[id] = name
	}
	slices.Sort(g.state.Voters)
}

// apply applies a committed change. state is the raft library's configuration after it, and name is
// the process that the changes add or remove.
func (g *configuration) apply(state raftpb.ConfState, changes []raftpb.ConfChangeSingle, name string) {
	g.state = state
	for _, change := range changes {
		switch change.Type {
		case raftpb.ConfChangeAddNode, raftpb.ConfChangeAddLearnerNode:
			g.names[change.NodeID] = name
		case raftpb.ConfChangeRemoveNode:
			delete(g.names, change.NodeID)
		}
	}
	g.changing = len(g.state.VotersOutgoing) > 0
}

// encodeNames writes the identities and names of the members, sorted by identity, for a snapshot.
func (g *configuration) encodeNames(w *encoding.Writer) {
	w.Uint(uint64(len(g.names)))
	for _, id := range slices.Sorted(maps.Keys(g.names)) {
		w.Uint(id).Text(g.names[id])
	}
}

// decodeNames reads what encodeNames wrote. An error is left in r.
func decodeNames(r *encoding.Reader) map[uint64]string {
	names := map[uint64]string{}
	for n := r.Count(maxMembers); n > 0; n-- {
		id := r.Uint()
		names[id] = r.Text(maxNameBytes)
	}
	return names
}
