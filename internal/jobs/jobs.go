// Package jobs owns what the fleet does once and not at each proxy: the hosts that are out by hand everywhere, and the pace at which all
// proxies together send clients away. Each job has an owner's part and a receiver's. They do no I/O and read no clock.
package jobs

import (
	"fmt"
	"slices"
	"sort"
	"strings"

	"croftlock/internal/ownership"
	"croftlock/internal/pack"
)

// Time is nanoseconds on the caller's monotonic clock.
type Time = int64

const (
	ms  = Time(1e6)
	sec = Time(1e9)
)

// Member is a process of the fleet, as membership has it.
type Member struct {
	Name string
	Peer uint32
	Life uint64
	Here bool // alive, or not known not to be
}

// Owner is what a job's owner can do.
type Owner interface {
	// Do sends an effect to a receiver; the token is the owner's, and nothing is sent once its lease has ended.
	Do(to uint32, number uint64, body []byte)
	// Note has what the job leaves kept by the group. The answer comes to Noted.
	Note(number uint64, left []byte) error
	Answer(to uint32, tag uint64, body []byte)
	Members() []Member
}

// Job is one job at one process. Start to Stop are the owner's part; Effect is a receiver's.
type Job interface {
	Start(now Time, o Owner, token, number uint64, left []byte) error
	Step(now Time)
	Stop() (number uint64, left []byte)
	Asked(now Time, from uint32, tag uint64, body []byte)
	Acked(now Time, from uint32, m ownership.Mark, v ownership.Verdict)
	Noted(now Time, number uint64, ok bool)
	Effect(now Time, m ownership.Mark, body []byte)
}

// MostHosts bounds how many hosts may be out for the whole fleet.
const MostHosts = 256

// Hosts is the job of hosts that are out by hand for the whole fleet. Its owner orders the commands; each effect is the whole list, so that a late
// one has nothing to undo.
type Hosts struct {
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

// Command is an operator's word as it is asked of the owner.
func Command(out bool, host string) []byte {
	var w pack.Writer
	return w.Bool(out).Text(host).Data
}

// ListCommand asks which hosts are out for the whole fleet.
func ListCommand() []byte {
	var w pack.Writer
	return w.Uint(commandList).Text("").Data
}

// Start takes over what the last owner left.
func (h *Hosts) Start(now Time, o Owner, token, number uint64, left []byte) error {
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
	r := pack.Reader{Data: data}
	var out []string
	for n := r.Count(MostHosts); n > 0; n-- {
		out = append(out, r.Text(128))
	}
	if r.Err() != nil || !slices.IsSorted(out) {
		return nil, fmt.Errorf("jobs: the list of hosts is torn")
	}
	return out, nil
}

func (h *Hosts) list() []byte {
	var w pack.Writer
	w.Uint(uint64(len(h.out)))
	for _, id := range h.out {
		w.Text(id)
	}
	return w.Data
}

// Stop leaves the list.
func (h *Hosts) Stop() (uint64, []byte) {
	h.owner = nil
	h.number++
	return h.number, h.list()
}

// Asked takes an operator's command.
func (h *Hosts) Asked(now Time, from uint32, tag uint64, body []byte) {
	if h.owner == nil {
		return
	}
	r := pack.Reader{Data: body}
	what, host := r.Uint(), r.Text(128)
	out := what == commandOut
	at, there := slices.BinarySearch(h.out, host)
	switch {
	case r.Err() != nil || what > commandList || (host == "") != (what == commandList):
		h.owner.Answer(from, tag, []byte("refused: a host's id of 1 to 128 bytes is expected"))
		return
	case out && !there && len(h.out) >= MostHosts:
		h.owner.Answer(from, tag, []byte(fmt.Sprintf("refused: %d hosts are out already", len(h.out))))
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

func (h *Hosts) note() {
	if err := h.owner.Note(h.number, h.list()); err != nil {
		h.settle(0, false) // the lease has ended; nobody knows what became of it
	}
}

// Noted goes on once the group has kept a list: only then is it carried out.
func (h *Hosts) Noted(now Time, number uint64, ok bool) {
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
func (h *Hosts) send(now Time) {
	if h.kept == 0 || h.kept != h.number {
		return // what is newer is about to be kept, and goes with it
	}
	for _, m := range h.owner.Members() {
		k := life{m.Peer, m.Life}
		if m.Here && h.acks[k] < h.number && (now-h.sentAt[k] >= 500*ms || h.sentAt[k] == 0 || h.fresh(k)) {
			h.sentAt[k] = now
			h.owner.Do(m.Peer, h.number, h.list())
		}
	}
}

// fresh tells whether a receiver has not been sent this list yet.
func (h *Hosts) fresh(k life) bool { return h.acks[k]+1 == h.number }

// Step sends again to those that lag, and answers commands whose time is up.
func (h *Hosts) Step(now Time) {
	if h.kept != h.number && len(h.asks) > 0 && now-h.asks[len(h.asks)-1].until > -askFor+300*ms {
		h.note() // it may have been lost
	}
	h.send(now)
	h.settle(now, true)
}

// Acked notes that a receiver has a list.
func (h *Hosts) Acked(now Time, from uint32, m ownership.Mark, v ownership.Verdict) {
	if h.owner == nil || m.Token != h.token || v == ownership.Old {
		return
	}
	for _, x := range h.owner.Members() {
		if x.Peer == from {
			k := life{from, x.Life}
			h.acks[k] = max(h.acks[k], m.Number)
		}
	}
	h.settle(now, true)
}

// settle answers commands: done once every member that is there has it, or says who is missing; unknown where nobody knows.
func (h *Hosts) settle(now Time, owns bool) {
	left := h.asks[:0]
	for _, a := range h.asks {
		have, all, missing := 0, 0, []string(nil)
		for _, m := range h.owner.Members() {
			all++
			if h.acks[life{m.Peer, m.Life}] >= a.number {
				have++
			} else {
				missing = append(missing, m.Name)
			}
		}
		switch {
		case a.kept && a.list != "":
			h.owner.Answer(a.from, a.tag, []byte(a.list))
		case a.kept && len(missing) == 0:
			h.owner.Answer(a.from, a.tag, []byte(fmt.Sprintf("done at all %d", all)))
		case owns && now < a.until:
			left = append(left, a)
		case a.kept:
			sort.Strings(missing)
			h.owner.Answer(a.from, a.tag, []byte(fmt.Sprintf("done at %d of %d; it holds, and follows at: %s", have, all, strings.Join(missing, " "))))
		default:
			h.owner.Answer(a.from, a.tag, []byte("unknown: the voters did not say whether they have kept it; ask again"))
		}
	}
	h.asks = left
}

// Effect carries a list out here.
func (h *Hosts) Effect(_ Time, _ ownership.Mark, body []byte) {
	if out, err := readHosts(body); err == nil && h.Apply != nil {
		h.Apply(out)
	}
}

// permitFor is how long a permit may be used.
const permitFor = sec

// Moves is the owner's part of the pace of moves: it hands out permits. What it keeps is nothing: permits lapse.
type Moves struct {
	Pace float64 // a second, over the whole fleet
	Base int     // proxies that the fleet is meant to have

	owner  Owner
	began  Time
	tokens float64
	at     Time
	number uint64
	asked  map[uint32]Time
}

// Start begins with nothing to hand out: an earlier owner's permits may be in use until they lapse, and so may each proxy's own share.
func (m *Moves) Start(now Time, o Owner, _, number uint64, _ []byte) error {
	m.owner, m.began, m.at, m.tokens, m.number, m.asked = o, now+permitFor, now+permitFor, 0, number, map[uint32]Time{}
	return nil
}

// Stop ends the owner's part.
func (m *Moves) Stop() (uint64, []byte) {
	m.owner = nil
	m.number++
	return m.number, nil
}

// fill adds what has become due. Who has not asked of late goes by its own share: that much is kept back for each.
func (m *Moves) fill(now Time) {
	if now <= m.at {
		return
	}
	alone := m.Base
	for _, at := range m.asked {
		if now-at < 2*permitFor {
			alone--
		}
	}
	rate := m.Pace * (1 - float64(max(0, alone))/float64(max(1, m.Base)))
	m.tokens = min(m.tokens+rate*float64(now-m.at)/float64(sec), max(1, m.Pace/4))
	m.at = now
}

// Asked hands out permits.
func (m *Moves) Asked(now Time, from uint32, tag uint64, body []byte) {
	r := pack.Reader{Data: body}
	want := r.Uint()
	if m.owner == nil || r.Err() != nil || now < m.began {
		return // without an answer everyone keeps to the own share
	}
	m.fill(now)
	m.asked[from] = now
	n := uint64(max(0, min(float64(want), m.tokens)))
	m.tokens -= float64(n)
	var w pack.Writer
	m.owner.Answer(from, tag, w.Uint(n).Data)
}

// Step, Acked, Noted and Effect have nothing to do: permits are answers.
func (m *Moves) Step(Time) {}

// Acked is the Job's.
func (m *Moves) Acked(Time, uint32, ownership.Mark, ownership.Verdict) {}

// Noted is the Job's.
func (m *Moves) Noted(Time, uint64, bool) {}

// Effect is the Job's.
func (m *Moves) Effect(Time, ownership.Mark, []byte) {}

// Pace is a proxy's own part: when it may send a client away.
type Pace struct {
	Pace float64
	Base int
	// Ask asks the owner for permits; its answer comes to Answered under the tag.
	Ask func(tag uint64, body []byte)

	tag     uint64
	out     map[uint64]Time
	permits []permit
	own     float64
	at      Time
	heardAt Time
	heard   bool
}

type permit struct {
	n     uint64
	until Time
}

// May tells how many of so many clients may be sent away now. It asks for permits for the rest.
func (p *Pace) May(now Time, want int) int {
	given := 0
	left := p.permits[:0]
	for _, x := range p.permits {
		if now < x.until && given < want {
			n := min(x.n, uint64(want-given))
			given += int(n)
			x.n -= n
		}
		if now < x.until && x.n > 0 {
			left = append(left, x)
		}
	}
	p.permits = left
	// Without an owner that answers each keeps to its own share, and saves none of it.
	if alone := !p.heard || now-p.heardAt > 2*permitFor; alone {
		p.own = min(1, p.own+p.Pace/float64(max(1, p.Base))*float64(now-max(p.at, p.heardAt))/float64(sec))
		if given < want && p.own >= 1 {
			p.own--
			given++
		}
	} else {
		p.own = 0
	}
	p.at = now
	if given < want {
		p.ask(now, want-given)
	}
	return given
}

func (p *Pace) ask(now Time, want int) {
	for t, at := range p.out {
		if now-at > permitFor {
			delete(p.out, t)
		}
	}
	if len(p.out) > 0 || p.Ask == nil {
		return
	}
	if p.out == nil {
		p.out = map[uint64]Time{}
	}
	p.tag++
	p.out[p.tag] = now
	var w pack.Writer
	p.Ask(p.tag, w.Uint(uint64(min(want, 64))).Data)
}

// Answered takes permits. They lapse counted from when they were asked for.
func (p *Pace) Answered(now Time, tag uint64, body []byte) {
	at, asked := p.out[tag]
	r := pack.Reader{Data: body}
	n := r.Uint()
	if !asked || r.Err() != nil || now >= at+permitFor {
		return
	}
	delete(p.out, tag)
	p.heard, p.heardAt = true, now
	if n > 0 {
		p.permits = append(p.permits, permit{n, at + permitFor})
	}
}

// Drill is a job that only tells every proxy a number: with it operators try the fleet's owners before anything rests on them.
type Drill struct {
	Every Time
	// Taken hears of each effect here.
	Taken func(m ownership.Mark)
	// Late, once it is set, is called after the owner has looked at its lease and before it sends: whatever happens in between, receivers
	// have to bear.
	Late func()

	owner  Owner
	number uint64
	at     Time
}

// Start is the Job's.
func (d *Drill) Start(now Time, o Owner, _, number uint64, left []byte) error {
	d.owner, d.number, d.at = o, number, now
	return nil
}

// Step tells the next number.
func (d *Drill) Step(now Time) {
	if now-d.at < d.Every {
		return
	}
	d.at = now
	d.number++
	send := d.owner.Do
	if late := d.Late; late != nil {
		if sure, may := d.owner.(interface {
			DoAnyway(to uint32, number uint64, body []byte)
		}); may {
			send = sure.DoAnyway // it has looked, and looks no more
		}
		d.Late = nil
		late()
	}
	for _, m := range d.owner.Members() {
		send(m.Peer, d.number, nil)
	}
	if d.number%10 == 0 {
		var w pack.Writer
		d.owner.Note(d.number, w.Uint(d.number).Data)
	}
}

// Stop is the Job's.
func (d *Drill) Stop() (uint64, []byte) {
	d.owner = nil
	d.number++
	var w pack.Writer
	return d.number, w.Uint(d.number).Data
}

// Asked is the Job's.
func (d *Drill) Asked(Time, uint32, uint64, []byte) {}

// Acked is the Job's.
func (d *Drill) Acked(Time, uint32, ownership.Mark, ownership.Verdict) {}

// Noted is the Job's.
func (d *Drill) Noted(Time, uint64, bool) {}

// Effect is the Job's.
func (d *Drill) Effect(_ Time, m ownership.Mark, _ []byte) {
	if d.Taken != nil {
		d.Taken(m)
	}
}
