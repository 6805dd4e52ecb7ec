package watermark

import (
	"errors"
	"math"

	"croftlock/internal/fleet/encoding"
)

// Kinds of datagrams.
const (
	kindTell = 1 + iota // floors
	kindAsk             // what is above a revision
)

const (
	mostHost = 64    // bytes of a host's name
	unit     = 100e6 // nanoseconds that a word's life is counted in
)

var errTorn = errors.New("floors: a datagram that can't be read")

// message is one datagram: whose numbering the revisions are of, and what is said.
type message struct {
	kind   uint64
	source uint32
	rev    int64 // of an ask, the asker's own
	floors []Watermark
}

func start(kind uint64, source uint32) *encoding.Writer {
	var w encoding.Writer
	return w.Uint(kind).Uint(uint64(source))
}

// ask is the question for what is above a revision; one under 0 stands for none.
func ask(source uint32, rev int64) []byte {
	return start(kindAsk, source).Uint(uint64(max(-1, rev) + 1)).Data
}

// tells writes floors into as few datagrams of at most room bytes as they need.
func tells(source uint32, all []Watermark, room int) (out [][]byte) {
	head := start(kindTell, source).Data
	data := head
	for _, f := range all {
		var w encoding.Writer
		w.Uint(uint64(f.State)).Text(f.Host).Uint(uint64(max(0, f.StartedAt))).Uint(uint64(f.Revision)).Uint(uint64(max(0, f.ValidFor) / unit))
		if len(f.Host) > mostHost || len(head)+len(w.Data) > room {
			continue
		}
		if len(data)+len(w.Data) > room {
			out = append(out, data)
			data = head
		}
		data = append(data[:len(data):len(data)], w.Data...)
	}
	if len(data) > len(head) {
		out = append(out, data)
	}
	return out
}

// read reads a datagram; one that is torn says nothing at all.
func read(data []byte) (m message, err error) {
	r := encoding.Reader{Data: data}
	kind, source := r.Uint(), r.Uint()
	m = message{kind: kind, source: uint32(source)}
	good := r.Err() == nil && source <= math.MaxUint32
	switch kind {
	case kindAsk:
		rev := r.Uint()
		m.rev = int64(rev) - 1
		good = good && rev <= math.MaxInt64 && len(r.Data) == 0
	case kindTell:
		for good && len(r.Data) > 0 {
			state, host, boot, rev, left := State(r.Uint()), r.Text(mostHost), r.Uint(), r.Uint(), r.Uint()
			good = (state == Draining || state == Gone) && host != "" && boot <= math.MaxInt64 && rev < math.MaxInt64
			m.floors = append(m.floors, Watermark{host, int64(boot), int64(rev), state, Time(min(left, uint64(Lifetime/unit))) * unit})
		}
	default:
		good = false
	}
	if !good || r.Err() != nil {
		return message{}, errTorn
	}
	return m, nil
}
