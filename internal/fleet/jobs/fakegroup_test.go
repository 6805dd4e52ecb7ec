package jobs

import (
	"errors"
	"fmt"
	"slices"

	"croftlock/internal/fleet/ownership"
)

// fakeGroup implements Owner for a SuspendedHosts. It simulates receivers with fences, and a group
// that stores checkpoints.
type fakeGroup struct {
	now     Time
	members []Member
	fences  map[uint32]*ownership.Fence
	applied map[uint32][]string // latest list that each receiver has applied
	cutOff  map[uint32]bool     // receivers that effects do not reach
	answers map[uint64]string   // answers to commands, by tag

	job          *SuspendedHosts
	token        uint64 // token of the current owner
	unresponsive bool   // whether the group stores no checkpoint and does not reply

	checkpoint       []byte
	checkpointNumber uint64
	leaseEnded       bool // whether StoreCheckpoint fails
}

// newFakeGroup returns a group of n members, n0 and up, whose peers are numbered from 1. It starts
// the first owner.
func newFakeGroup(n int) *fakeGroup {
	g := &fakeGroup{fences: map[uint32]*ownership.Fence{}, applied: map[uint32][]string{}, cutOff: map[uint32]bool{}, answers: map[uint64]string{}}
	for i := range n {
		peer := uint32(i + 1)
		g.members = append(g.members, Member{Name: fmt.Sprintf("n%d", i), Peer: peer, Incarnation: 1, Present: true})
		g.fences[peer] = &ownership.Fence{}
	}
	g.newOwner()
	return g
}

// newOwner starts an owner with a higher token from the stored checkpoint.
func (g *fakeGroup) newOwner() error {
	g.token++
	g.job = &SuspendedHosts{}
	return g.job.Start(g.now, g, g.token, g.checkpointNumber, g.checkpoint)
}

func (g *fakeGroup) SendEffect(to uint32, number uint64, body []byte) {
	g.send(g.job, g.token, to, number, body)
}

// send delivers an effect of an owner, which may be stale, to a receiver.
func (g *fakeGroup) send(from *SuspendedHosts, token uint64, to uint32, number uint64, body []byte) {
	if g.cutOff[to] {
		return
	}
	t := ownership.FencingToken{Token: token, Sequence: number}
	verdict, _ := g.fences[to].Check("hosts", t)
	if verdict == ownership.Accepted {
		receiver := &SuspendedHosts{Apply: func(hosts []string) { g.applied[to] = hosts }}
		receiver.ApplyEffect(g.now, t, body)
	}
	from.EffectAcknowledged(g.now, to, t, verdict)
}

func (g *fakeGroup) StoreCheckpoint(number uint64, checkpoint []byte) error {
	if g.leaseEnded {
		return errors.New("the lease has ended")
	}
	if !g.unresponsive {
		g.checkpointNumber, g.checkpoint = number, slices.Clone(checkpoint)
		g.job.CheckpointStored(g.now, number, true)
	}
	return nil
}

func (g *fakeGroup) Reply(_ uint32, tag uint64, body []byte) { g.answers[tag] = string(body) }
func (g *fakeGroup) Members() []Member                       { return g.members }

// command sends an operator's encoded command to the current owner. The answer is in answers[tag].
func (g *fakeGroup) command(tag uint64, encoded []byte) {
	g.job.QueryReceived(g.now, 9, tag, encoded)
}

// wait advances the virtual clock by d and calls the owner's Step every 50 ms.
func (g *fakeGroup) wait(d Time) {
	for end := g.now + d; g.now < end; g.now += 50 * ms {
		g.job.Step(g.now)
	}
}
