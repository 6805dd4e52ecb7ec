package quota

import "slices"

// Step asks each shard for what its accounts want here, some times in a lapse. One that wants nothing says so: nothing is then kept back for it.
func (p *Client) Step() {
	for shard := range Shards {
		p.ask(shard, false)
	}
	p.RetryWaiting()
}

// ask asks a shard's owner; one that is asked at once is so only if no such question is on its way.
func (p *Client) ask(shard int, atOnce bool) {
	p.mu.Lock()
	now := p.Now()
	if p.out == nil {
		p.used, p.out = map[string]*use{}, map[uint64]Time{}
	}
	if atOnce && now < p.soon[shard] {
		p.mu.Unlock()
		return
	}
	for t, at := range p.out {
		if now-at > p.GrantLifetime {
			delete(p.out, t)
		}
	}
	accounts := p.Accounts()
	for a, u := range p.used {
		if _, limited := slices.BinarySearch(accounts, a); !limited && u.held == 0 {
			delete(p.used, a) // a version that is no more had a limit for it
		}
	}
	var lines []line
	for _, a := range accounts {
		if Shard(a) != shard || len(lines) == mostAsked {
			continue
		}
		u, limit := p.of(a), p.Limits(a)
		if now-u.wantAt > 2*p.GrantLifetime {
			u.wanted = 0
		}
		l := line{account: a, held: uint64(u.held)}
		if limit.Rate > 0 && u.left(now) < u.wanted {
			l.permits = uint64(u.wanted)
		}
		if limit.Connections > 0 {
			l.places = uint64(u.wanted)
		}
		lines = append(lines, l)
	}
	if len(lines) == 0 {
		p.mu.Unlock()
		return
	}
	p.tag++
	tag := p.tag
	p.out[tag], p.soon[shard] = now, now+again
	p.mu.Unlock()
	p.SendQuery(shard, tag, write(lines))
}

// ReplyReceived takes what was given. It lapses counted from when it was asked for.
func (p *Client) ReplyReceived(tag uint64, body []byte) {
	p.answered(tag, body)
	p.RetryWaiting()
}

func (p *Client) answered(tag uint64, body []byte) {
	lines, err := read(body)
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.Now()
	at, asked := p.out[tag]
	if !asked || err != nil || now >= at+p.GrantLifetime {
		return
	}
	delete(p.out, tag)
	for _, l := range lines {
		shard := Shard(l.account)
		p.heard[shard] = max(p.heard[shard], at+p.GrantLifetime)
		u := p.of(l.account)
		if l.permits > 0 {
			u.permits = append(u.permits, lot{int(l.permits), at + p.GrantLifetime})
		}
		if at+p.GrantLifetime >= u.until { // else it is an older answer, overtaken by a newer one
			u.places, u.until = int(l.places), at+p.GrantLifetime
		}
	}
}
