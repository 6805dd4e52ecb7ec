package watermark

import (
	"errors"
	"math"

	"croftlock/internal/fleet/encoding"
)

// The message kinds: the first number of a datagram.
const (
	kindGossip = 1 + iota
	kindQuery
)

const (
	maxHostBytes = 64                              // of a host ID
	validityUnit = 100e6                           // nanoseconds; resolution of an encoded validity
	maxValidity  = uint64(Lifetime / validityUnit) // in units of validityUnit
)

var errMalformed = errors.New("watermark: malformed datagram")

// message is one datagram: gossip or a query.
type message struct {
	source uint32 // source of the lists; revisions are comparable only within one source
	body   any    // of type gossip or query
}

type (
	// gossip carries watermarks that the sender knows.
	gossip struct{ watermarks []Watermark }
	// query requests the watermarks of lists that are newer than a revision.
	query struct{ revision int64 } // negative if the sender has no list
)

// newWriter returns a writer that contains the header of a datagram: its kind and the source.
func newWriter(kind uint64, source uint32) *encoding.Writer {
	var w encoding.Writer
	return w.Uint(kind).Uint(uint64(source))
}

// encode encodes the query. The encoded number is the revision plus 1, so that 0 means no list.
func (q query) encode(source uint32) []byte {
	return newWriter(kindQuery, source).Uint(uint64(max(noRevision, q.revision) + 1)).Data
}

// encode encodes watermarks, in their order, in datagrams of at most maxBytes bytes. It leaves out a
// watermark that does not fit in one datagram or whose host ID is longer than maxHostBytes.
func (g gossip) encode(source uint32, maxBytes int) (datagrams [][]byte) {
	header := newWriter(kindGossip, source).Data
	data := header
	for _, w := range g.watermarks {
		entry := encodeWatermark(w)
		if len(w.Host) > maxHostBytes || len(header)+len(entry) > maxBytes {
			continue
		}
		if len(data)+len(entry) > maxBytes {
			datagrams = append(datagrams, data)
			data = header
		}
		data = append(data[:len(data):len(data)], entry...)
	}
	if len(data) > len(header) {
		datagrams = append(datagrams, data)
	}
	return datagrams
}

func encodeWatermark(w Watermark) []byte {
	var out encoding.Writer
	return out.Uint(uint64(w.State)).Text(w.Host).Uint(uint64(max(0, w.StartedAt))).Uint(uint64(w.Revision)).
		Uint(uint64(max(0, w.ValidFor) / validityUnit)).Data
}

// decode decodes a datagram. If any part is malformed, it rejects the whole datagram.
func decode(data []byte) (message, error) {
	r := encoding.Reader{Data: data}
	kind, source := r.Uint(), r.Uint()
	if r.Err() != nil || source > math.MaxUint32 {
		return message{}, errMalformed
	}
	m := message{source: uint32(source)}
	ok := false
	switch kind {
	case kindQuery:
		m.body, ok = decodeQuery(&r)
	case kindGossip:
		m.body, ok = decodeGossip(&r)
	}
	if !ok || r.Err() != nil {
		return message{}, errMalformed
	}
	return m, nil
}

// decodeQuery decodes a query, which must be the whole rest of the datagram.
func decodeQuery(r *encoding.Reader) (q query, ok bool) {
	n := r.Uint()
	return query{int64(n) - 1}, n <= math.MaxInt64 && len(r.Data) == 0
}

// decodeGossip decodes watermarks up to the end of the datagram.
func decodeGossip(r *encoding.Reader) (g gossip, ok bool) {
	for len(r.Data) > 0 {
		w, ok := decodeWatermark(r)
		if !ok {
			return gossip{}, false
		}
		g.watermarks = append(g.watermarks, w)
	}
	return g, true
}

// decodeWatermark decodes a watermark and limits its validity to Lifetime.
func decodeWatermark(r *encoding.Reader) (w Watermark, ok bool) {
	state, host, startedAt, revision, validity := State(r.Uint()), r.Text(maxHostBytes), r.Uint(), r.Uint(), r.Uint()
	ok = (state == Draining || state == Gone) && host != "" && startedAt <= math.MaxInt64 && revision < math.MaxInt64
	return Watermark{host, int64(startedAt), int64(revision), state, Time(min(validity, maxValidity)) * validityUnit}, ok
}
