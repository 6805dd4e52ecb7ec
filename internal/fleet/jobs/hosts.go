package jobs

import (
	"fmt"
	"slices"
	"sort"
	"strings"

	"croftlock/internal/fleet/encoding"
	"croftlock/internal/fleet/ownership"
)

// MaxHosts bounds how many hosts may be out for the whole fleet.
const MaxHosts = 256

// SuspendedHosts is the job of hosts that are out by hand for the whole fleet. Its owner orders the commands; each effect is the whole list, so that a late
// one has nothing to undo.
type SuspendedHosts struct {
	// Apply carries the list out at this process.
	Apply func(out []string)

	owner  Owner
	token  uint64
	number uint64
	out    []string // sorted
	kept   uint64   // number up to which the group has it
	acks   map[life]uint64
	sentAt map[life]Time
	asks   []*ask
}

type life struct {
	peer uint32
	life uint64
}

type ask struct {
	from   uint32
	tag    uint64
	number uint64
	until  Time
	kept   bool
	list   string // to be answered as soon as it is kept
}

// askFor is how long a command's answer waits for the receivers.
const askFor = 2 * sec

// What a command asks.
const (
	commandBack = 0
	commandOut  = 1
	commandList = 2
)

// SuspendCommand is an operator's word as it is asked of the owner.
func SuspendCommand(out bool, host string) []byte {
	var w encoding.Writer
	return w.Bool(out).Text(host).Data
}

// ListCommand asks which hosts are out for the whole fleet.
func ListCommand() []byte {
	var w encoding.Writer
	return w.Uint(commandList).Text("").Data
}

// Start takes over what the last owner left.
func (h *SuspendedHosts) Start(now Time, o Owner, token, number uint64, left []byte) error {
	out, err := readHosts(left)
	if err != nil {
		return err
	}
	h.owner, h.token, h.number, h.kept, h.out = o, token, number, number, out
	h.acks, h.sentAt, h.asks = map[life]uint64{}, map[life]Time{}, nil
	return nil
}

func readHosts(data []byte) ([]string, error) {
	if len(data) == 0 {
		return nil, nil
	}
	r := encoding.Reader{Data: data}
	var out []string
	for n := r.Count(MaxHosts); n > 0; n-- {
		out = append(out, r.Text(128))
	}
	if r.Err() != nil || !slices.IsSorted(out) {
		return nil, fmt.Errorf("jobs: the list of hosts is torn")
	}
	return out, nil
}

func (h *SuspendedHosts) list() []byte {
	var w encoding.Writer
	w.Uint(uint64(len(h.out)))
	for _, id := range h.out {
		w.Text(id)
	}
	return w.Data
}

// Stop leaves the list.
func (h *SuspendedHosts) Stop() (uint64, []byte) {
	h.owner = nil
	h.number++
	return h.number, h.list()
}

// QueryReceived takes an operator's command.
func (h *SuspendedHosts) QueryReceived(now Time, from uint32, tag uint64, body []byte) {
	if h.owner == nil {
		return
	}
	r := encoding.Reader{Data: body}
	what, host := r.Uint(), r.Text(128)
	out := what == commandOut
	at, there := slices.BinarySearch(h.out, host)
	switch {
	case r.Err() != nil || what > commandList || (host == "") != (what == commandList):
		h.owner.Reply(from, tag, []byte("refused: a host's id of 1 to 128 bytes is expected"))
		return
	case out && !there && len(h.out) >= MaxHosts:
		h.owner.Reply(from, tag, []byte(fmt.Sprintf("refused: %d hosts are out already", len(h.out))))
		return
	case out && !there:
		h.out = slices.Insert(h.out, at, host)
	case what == commandBack && there:
		h.out = slices.Delete(h.out, at, at+1)
	}
	// Also where nothing changes: the answer says where it holds, and a list is that of an owner whom the group has heard since.
	h.number++
	a := &ask{from: from, tag: tag, number: h.number, until: now + askFor}
	if what == commandList {
		a.list = "out for the fleet: " + strings.Join(h.out, " ")
	}
	h.asks = append(h.asks, a)
	h.note()
}

func (h *SuspendedHosts) note() {
	if err := h.owner.StoreCheckpoint(h.number, h.list()); err != nil {
		h.settle(0, false) // the lease has ended; nobody knows what became of it
	}
}

// CheckpointStored goes on once the group has kept a list: only then is it carried out.
func (h *SuspendedHosts) CheckpointStored(now Time, number uint64, ok bool) {
	if h.owner == nil || !ok {
		return // a refused note is an old owner's, which is about to be stopped
	}
	h.kept = max(h.kept, number)
	for _, a := range h.asks {
		a.kept = a.kept || a.number <= number
	}
	h.send(now)
	h.settle(now, true)
}

// send sends the list to those that are not known to have it.
func (h *SuspendedHosts) send(now Time) {
	if h.kept == 0 || h.kept != h.number {
		return // what is newer is about to be kept, and goes with it
	}
	for _, m := range h.owner.Members() {
		k := life{m.Peer, m.Incarnation}
		if m.Present && h.acks[k] < h.number && (now-h.sentAt[k] >= 500*ms || h.sentAt[k] == 0 || h.fresh(k)) {
			h.sentAt[k] = now
			h.owner.SendEffect(m.Peer, h.number, h.list())
		}
	}
}

// fresh tells whether a receiver has not been sent this list yet.
func (h *SuspendedHosts) fresh(k life) bool { return h.acks[k]+1 == h.number }

// Step sends again to those that lag, and answers commands whose time is up.
func (h *SuspendedHosts) Step(now Time) {
	if h.kept != h.number && len(h.asks) > 0 && now-h.asks[len(h.asks)-1].until > -askFor+300*ms {
		h.note() // it may have been lost
	}
	h.send(now)
	h.settle(now, true)
}

// EffectAcknowledged notes that a receiver has a list.
func (h *SuspendedHosts) EffectAcknowledged(now Time, from uint32, m ownership.FencingToken, v ownership.Verdict) {
	if h.owner == nil || m.Token != h.token || v == ownership.Stale {
		return
	}
	for _, x := range h.owner.Members() {
		if x.Peer == from {
			k := life{from, x.Incarnation}
			h.acks[k] = max(h.acks[k], m.Sequence)
		}
	}
	h.settle(now, true)
}

// settle answers commands: done once every member that is there has it, or says who is missing; unknown where nobody knows.
func (h *SuspendedHosts) settle(now Time, owns bool) {
	left := h.asks[:0]
	for _, a := range h.asks {
		have, all, missing := 0, 0, []string(nil)
		for _, m := range h.owner.Members() {
			all++
			if h.acks[life{m.Peer, m.Incarnation}] >= a.number {
				have++
			} else {
				missing = append(missing, m.Name)
			}
		}
		switch {
		case a.kept && a.list != "":
			h.owner.Reply(a.from, a.tag, []byte(a.list))
		case a.kept && len(missing) == 0:
			h.owner.Reply(a.from, a.tag, []byte(fmt.Sprintf("done at all %d", all)))
		case owns && now < a.until:
			left = append(left, a)
		case a.kept:
			sort.Strings(missing)
			h.owner.Reply(a.from, a.tag, []byte(fmt.Sprintf("done at %d of %d; it holds, and follows at: %s", have, all, strings.Join(missing, " "))))
		default:
			h.owner.Reply(a.from, a.tag, []byte("unknown: the voters did not say whether they have kept it; ask again"))
		}
	}
	h.asks = left
}

// ApplyEffect carries a list out here.
func (h *SuspendedHosts) ApplyEffect(_ Time, _ ownership.FencingToken, body []byte) {
	if out, err := readHosts(body); err == nil && h.Apply != nil {
		h.Apply(out)
	}
}
