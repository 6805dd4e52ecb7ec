package quota

import (
	"sync"
	"time"
)

// Why a request has no room.
const (
	OverRate        = "rate"
	OverConnections = "standing"
)

const (
	patience    = 100 * Time(time.Millisecond) // for which a request waits for an owner's word
	again       = 20 * Time(time.Millisecond)  // between two questions to a shard that can't wait for the next step
	mostWaiting = 1024
)

// Client is a proxy's own part: what it may use now. It may be used by the loop and by the goroutine that asks.
type Client struct {
	Now           func() Time
	GrantLifetime Time
	FleetSize     int
	Limits        Limits
	// SendQuery asks a shard's owner; its answer comes to Answered under the tag.
	SendQuery func(shard int, tag uint64, body []byte)
	// Accounts are all that have limits, sorted.
	Accounts func() []string

	mu      sync.Mutex
	used    map[string]*use
	waiting []waiter
	tag     uint64
	out     map[uint64]Time
	soon    [Shards]Time // until then a shard is not asked at once
	heard   [Shards]Time // until when an owner's answers are gone by
}

// use is what is used of one account here, and what may be.
type use struct {
	permits []lot // the oldest first
	own     float64
	ownAt   Time
	held    int
	places  int
	until   Time // of the places
	wanted  int  // requests of late that wanted one
	wantAt  Time
}

// lot is permits of one answer. Each lapses by itself: an answer that comes later does not lengthen the life of what came before, else what nobody used
// for a while would come on top of what the owner has handed out since.
type lot struct {
	n     int
	until Time
}

// left is how many permits there are now.
func (u *use) left(now Time) (n int) {
	kept := u.permits[:0]
	for _, l := range u.permits {
		if now < l.until && l.n > 0 {
			kept, n = append(kept, l), n+l.n
		}
	}
	u.permits = kept
	return n
}

func (p *Client) of(account string) *use {
	if p.used == nil {
		p.used, p.out = map[string]*use{}, map[uint64]Time{}
	}
	u := p.used[account]
	if u == nil {
		u = &use{ownAt: p.Now()}
		p.used[account] = u
	}
	return u
}

// aloneFrom is when this proxy goes by its own share of an account: some time after the owner has begun to keep that back, however late its words are.
func (p *Client) aloneFrom(account string) Time { return p.heard[Shard(account)] + 2*p.GrantLifetime }

func (p *Client) alone(now Time, account string) bool { return now >= p.aloneFrom(account) }

// waiter is a request that waits for an owner's word.
type waiter struct {
	account string
	spread  float64
	until   Time
	then    func(over string, advice time.Duration)
}

// Acquire asks for one more connection of an account, and then hears of what there is no room, "" if there is, and when to come again, spread by spread (0 to
// 1). Where only a permit that the owner may have is missing it is asked at once, and then hears once that has come, patience later at the most.
func (p *Client) Acquire(account string, spread float64, then func(over string, advice time.Duration)) {
	p.mu.Lock()
	now := p.Now()
	for _, a := range chain(account) {
		u := p.of(a)
		if now-u.wantAt > p.GrantLifetime {
			u.wanted, u.wantAt = u.wanted/2, now
		}
		u.wanted++
	}
	over, advice := p.take(now, account, spread)
	if over != "" && !p.alone(now, account) && len(p.waiting) < mostWaiting {
		p.waiting = append(p.waiting, waiter{account, spread, now + patience, then})
		then = nil
	}
	p.mu.Unlock()
	if then != nil {
		then(over, advice)
		return
	}
	p.ask(Shard(account), true)
}

// RetryWaiting lets those that wait try again, and refuses those that have waited long enough. It is called with each answer and now and then.
func (p *Client) RetryWaiting() {
	p.mu.Lock()
	now := p.Now()
	type word struct {
		waiter
		over   string
		advice time.Duration
	}
	var said []word
	left := p.waiting[:0]
	for _, w := range p.waiting {
		over, advice := p.take(now, w.account, w.spread)
		if over != "" && now < w.until && !p.alone(now, w.account) {
			left = append(left, w)
			continue
		}
		said = append(said, word{w, over, advice})
	}
	p.waiting = left
	p.mu.Unlock()
	for _, w := range said {
		w.then(w.over, w.advice)
	}
}

// take takes what one more connection needs, or says of what there is none.
func (p *Client) take(now Time, account string, spread float64) (over string, advice time.Duration) {
	for _, a := range chain(account) {
		u, limit := p.of(a), p.Limits(a)
		if limit.Rate > 0 && !p.permit(now, a, u, limit.Rate) {
			return OverRate, time.Duration(float64(p.GrantLifetime) * (0.5 + spread))
		}
		if limit.Connections > 0 && u.held >= p.room(now, a, u, limit.Connections) {
			return OverConnections, time.Duration(float64(p.GrantLifetime) * (1 + 2*spread))
		}
	}
	for _, a := range chain(account) {
		u, limit := p.of(a), p.Limits(a)
		u.held++
		if limit.Rate > 0 {
			if p.alone(now, a) {
				u.own--
			} else {
				u.permits[0].n-- // permit has left none that is empty or has lapsed
			}
		}
	}
	return "", 0
}

// permit tells whether a new connection has one: the owner's while it is heard, else from the own share, of which none is saved.
func (p *Client) permit(now Time, account string, u *use, rate float64) bool {
	if !p.alone(now, account) {
		u.own, u.ownAt = 0, now
		return u.left(now) > 0
	}
	u.own = min(1, u.own+rate/float64(max(1, p.FleetSize))*float64(now-max(u.ownAt, p.aloneFrom(account)))/float64(sec))
	u.ownAt = now
	return u.own >= 1
}

// room is how many may be open here in all.
func (p *Client) room(now Time, account string, u *use, most int) int {
	if !p.alone(now, account) && now < u.until {
		return u.places
	}
	return most / max(1, p.FleetSize)
}

// CountExisting counts a connection that is open already, whatever there is room for, and Release the end of one.
func (p *Client) CountExisting(account string) { p.count(account, 1) }

// Release counts the end of a connection.
func (p *Client) Release(account string) { p.count(account, -1) }

func (p *Client) count(account string, n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, a := range chain(account) {
		u := p.of(a)
		u.held = max(0, u.held+n)
	}
}
