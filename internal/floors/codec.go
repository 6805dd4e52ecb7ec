package floors

import (
	"encoding/binary"
	"errors"
	"hash/fnv"
	"math"
)

// Kinds of datagrams.
const (
	kindTell = 1 + iota // floors
	kindAsk             // what is above a revision
)

const (
	mostHost = 64    // bytes of a host's name
	unit     = 100e6 // nanoseconds that a word's life is counted in
	head     = 1 + 4
)

var errTorn = errors.New("floors: a datagram that can't be read")

// message is one datagram: whose numbering the revisions are of, and what is said.
type message struct {
	kind   byte
	source uint32
	rev    int64 // of an ask, the asker's own
	floors []Floor
}

// Source is a numbering of lists, by its name.
func Source(name string) uint32 {
	h := fnv.New32a()
	h.Write([]byte(name))
	return h.Sum32()
}

func start(kind byte, source uint32) []byte {
	return binary.BigEndian.AppendUint32([]byte{kind}, source)
}

// ask is the question for what is above a revision.
func ask(source uint32, rev int64) []byte {
	return binary.AppendVarint(start(kindAsk, source), rev)
}

// tells writes floors into as few datagrams of at most room bytes as they need.
func tells(source uint32, all []Floor, room int) (out [][]byte) {
	data := start(kindTell, source)
	for _, f := range all {
		one := appendFloor(nil, f)
		if len(f.Host) > mostHost || head+len(one) > room {
			continue
		}
		if len(data)+len(one) > room {
			out = append(out, data)
			data = start(kindTell, source)
		}
		data = append(data, one...)
	}
	if len(data) > head {
		out = append(out, data)
	}
	return out
}

func appendFloor(data []byte, f Floor) []byte {
	data = append(data, byte(f.State), byte(len(f.Host)))
	data = append(data, f.Host...)
	data = binary.AppendVarint(data, f.Boot)
	data = binary.AppendVarint(data, f.Rev)
	return binary.AppendUvarint(data, uint64(max(0, f.Left)/unit))
}

// read reads a datagram; one that is torn says nothing at all.
func read(data []byte) (m message, err error) {
	if len(data) < head {
		return m, errTorn
	}
	m.kind, m.source = data[0], binary.BigEndian.Uint32(data[1:])
	data = data[head:]
	number := func() (n int64) {
		n, k := binary.Varint(data)
		if k <= 0 {
			err = errTorn
			return 0
		}
		data = data[k:]
		return n
	}
	switch m.kind {
	case kindAsk:
		if m.rev = number(); err != nil || len(data) > 0 || m.rev < -1 {
			return message{}, errTorn
		}
	case kindTell:
		for len(data) > 0 {
			if len(data) < 2 || int(data[1]) > mostHost || data[1] == 0 || len(data) < 2+int(data[1]) || State(data[0]) != Draining && State(data[0]) != Gone {
				return message{}, errTorn
			}
			f := Floor{State: State(data[0]), Host: string(data[2 : 2+data[1]])}
			data = data[2+data[1]:]
			f.Boot, f.Rev = number(), number()
			if err != nil {
				return message{}, err
			}
			left, k := binary.Uvarint(data)
			if k <= 0 || f.Rev < 0 || f.Rev == math.MaxInt64 {
				return message{}, errTorn
			}
			data = data[k:]
			f.Left = Time(min(left, uint64(Life/unit))) * unit
			m.floors = append(m.floors, f)
		}
	default:
		return message{}, errTorn
	}
	return m, nil
}
