package jobs

import (
	"croftlock/internal/fleet/encoding"
)

// MigrationPacer is a proxy's own part: when it may send a client away.
type MigrationPacer struct {
	Rate float64
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

// Allow tells how many of so many clients may be sent away now. It asks for permits for the rest.
func (p *MigrationPacer) Allow(now Time, want int) int {
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
		p.own = min(1, p.own+p.Rate/float64(max(1, p.Base))*float64(now-max(p.at, p.heardAt))/float64(sec))
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

func (p *MigrationPacer) ask(now Time, want int) {
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
	var w encoding.Writer
	p.Ask(p.tag, w.Uint(uint64(min(want, 64))).Data)
}

// ReplyReceived takes permits. They lapse counted from when they were asked for.
func (p *MigrationPacer) ReplyReceived(now Time, tag uint64, body []byte) {
	at, asked := p.out[tag]
	r := encoding.Reader{Data: body}
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
