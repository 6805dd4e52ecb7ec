package ledger

const (
	mostKeepers = 8    // balancers that keep a book
	mostMisses  = 2    // asks in a row without an answer after which the next keeper is asked
	mostOut     = 256  // asks that are remembered
	rest        = 3e9  // how long nobody is asked once none has answered; twice as long each time
	mostRests   = 4    // doublings of it: where nobody can be heard at all hardly anything waits
	lookEvery   = 2e9  // how often an earlier keeper is looked for
	forgetAfter = 10e9 // when an ask's answer counts for nothing any more
)

// PendingQuery is an ask on its way.
type PendingQuery struct {
	Request   string
	Group     uint32
	Units     int
	SentAt    Time
	Abandoned bool // its request waits no longer
}

// Client is the asker's side: which balancer keeps the book that is asked, and what was asked. The keepers stand in one order for all; the first of them that
// answers is asked.
type Client struct {
	keepers []int
	at      int // the one asked now
	misses  int
	off     Time // until then nobody is asked
	rests   int  // in a row
	looked  Time
	known   bool // it has answered, and was told all
	epoch   byte
	seq     uint16
	out     map[uint16]*PendingQuery
}

// NewClient makes the desk of one of so many balancers. The keepers are spread over their numbers, which may follow zones.
func NewClient(peers int) *Client {
	d := &Client{out: map[uint16]*PendingQuery{}}
	for i := range min(peers, mostKeepers) {
		d.keepers = append(d.keepers, i*peers/min(peers, mostKeepers))
	}
	return d
}

// IsCoordinator tells whether a balancer is one of those that keep a book.
func (d *Client) IsCoordinator(peer int) bool { return d.place(peer) >= 0 }

func (d *Client) place(peer int) int {
	for i, k := range d.keepers {
		if k == peer {
			return i
		}
	}
	return -1
}

// Coordinator is who is asked now; -1: nobody.
func (d *Client) Coordinator(now Time) int {
	if now < d.off {
		return -1
	}
	return d.keepers[d.at]
}

// Synced tells whether the keeper has been told all that is held here, so that changes are worth telling.
func (d *Client) Synced(now Time) bool { return d.known && now >= d.off }

// Register notes an ask on its way, and gives its number.
func (d *Client) Register(o PendingQuery) uint16 {
	if len(d.out) >= mostOut {
		for s, x := range d.out {
			if o.SentAt-x.SentAt > forgetAfter {
				delete(d.out, s)
			}
		}
		if len(d.out) >= mostOut {
			clear(d.out)
		}
	}
	d.seq++
	d.out[d.seq] = &o
	return d.seq
}

// TimedOut notes that a request waits no longer for its answer.
func (d *Client) TimedOut(now Time, request string) {
	for _, o := range d.out {
		if o.Request == request {
			o.Abandoned = true
		}
	}
	if d.misses++; d.misses < mostMisses {
		return
	}
	d.misses, d.known = 0, false
	if d.at++; d.at == len(d.keepers) {
		d.at, d.off = 0, now+rest<<min(d.rests, mostRests)
		d.rests++
	}
}

// Take takes an answer's number; nil: nothing was asked so.
func (d *Client) Take(seq uint16) *PendingQuery {
	o := d.out[seq]
	delete(d.out, seq)
	return o
}

// CoordinatorHeard notes a sign of a keeper. tell: it has to be told all that is held here.
func (d *Client) CoordinatorHeard(from int, epoch byte) (tell bool) {
	i := d.place(from)
	if i < 0 || i > d.at {
		return false
	}
	tell = i != d.at || !d.known || epoch != d.epoch
	d.at, d.misses, d.off, d.rests, d.known, d.epoch = i, 0, 0, 0, true, epoch
	return tell
}

// NextPoll gives the keeper to look for now: one before the one that is asked, which may be back; -1: none.
func (d *Client) NextPoll(now Time) int {
	if d.at == 0 && now >= d.off && d.known || now-d.looked < lookEvery {
		return -1
	}
	d.looked = now
	if d.at == 0 {
		return d.keepers[0]
	}
	return d.keepers[int(uint64(now/lookEvery)%uint64(d.at))]
}
