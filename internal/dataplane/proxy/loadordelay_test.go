package proxy

import (
	"strings"
	"testing"
	"time"
)

// A host told its delay in the form of a load: taken for one, it drew clients to the fullest host (G 0.41 for 0.90).
func TestDelayToldAsLoad(t *testing.T) {
	w := newWorld(t)
	_, u := w.serve("q")
	tell := func(x float64) { u.ev.FromUpstream(Message{Kind: LoadReported, Load: x}) }
	for _, x := range []float64{1800, 60000, 65, 1100, 2900, 4100, 3000, 1500, 20} {
		tell(x)
		w.pass(time.Second)
	}
	w.pass(time.Second)
	tell(3800)
	w.expect("note q 1 1800", "note q 1 60000", "note q 2 65", "note q 2 1100", "note q 2 2900", "note q 2 4100",
		"note q 2 3000", "note q 2 1500", "note q 2 20", "note q 1 3800")
}

// With one connection at a host a proxy hears of its trouble on that one, before any load of it: of 879 delays on one day 314
// were taken for loads, and thirty connections stayed for ten seconds on a host that answered after two.
func TestFirstFigureIsADelay(t *testing.T) {
	w := newWorld(t)
	_, u := w.serve("q")
	for _, x := range []float64{679, 1064, 1668} {
		u.ev.FromUpstream(Message{Kind: LoadReported, Load: x})
		w.pass(time.Second)
	}
	w.expect("note q 2 679", "note q 2 1064", "note q 2 1668")
	// One that could be a load shows by the steady second that it was none.
	w.pass(2 * time.Second)
	_, u = w.serve("p")
	for _, x := range []float64{1702, 2318, 2400, 51000} {
		u.ev.FromUpstream(Message{Kind: LoadReported, Load: x})
		w.pass(time.Second)
	}
	w.expect("note p 1 1702", "note p 2 2318", "note p 2 2400", "note p 1 51000")
}

// A host that answers none of its client's lines is left in time, and its client sent away politely.
func TestSilentHost(t *testing.T) {
	w := newWorld(t)
	r, u := w.serve("q")
	for range 2 {
		r.FromDownstream(Message{Text: []byte("M\r\n")})
		u.ev.FromUpstream(Message{Text: []byte("M\r\n")})
		w.pass(2 * time.Second)
	}
	w.expect()
	r.FromDownstream(Message{Text: []byte("M\r\n")})
	w.pass(5 * time.Second)
	if got := w.seen[len(w.seen)-3:]; strings.Join(got, "; ") != "move q; end up ended; outcome q 0 5 true" {
		t.Fatal(w.seen)
	}
}

// Small loads of idle connections were taken for delays of two seconds, and a fleet that was well refused most of what
// came. The figures are those of one day.
func TestSmallLoadIsNoDelay(t *testing.T) {
	w := newWorld(t)
	_, u := w.serve("q")
	for _, x := range []float64{2674, 2506, 216, 21, 2475, 1937} {
		u.ev.FromUpstream(Message{Kind: LoadReported, Load: x})
		w.pass(1200 * time.Millisecond)
	}
	w.expect("note q 1 2674", "note q 1 2506", "note q 2 216", "note q 2 21", "note q 1 2475", "note q 1 1937")
	_, u = w.serve("p") // its host said nothing at first
	u.ev.FromUpstream(Message{Kind: LoadReported, Load: 62})
	u.ev.FromUpstream(Message{Kind: LoadReported, Load: 56})
	w.expect("note p 2 62", "note p 2 56")
}

// Where a host tells how loaded it is, small loads stay loads while it has room: taken for delays, they made a proxy refuse most
// of what came to a fleet at two fifths. Delays that do come, on a steady second, are found out with the second one, and the load
// that the first one was taken for is put right.
func TestLoadTellsWhatIsADelay(t *testing.T) {
	w := newWorld(t)
	_, u := w.serve("q")
	h := w.core.hosts.byID["A"]
	tell := func(loaded float64, x ...float64) {
		for _, x := range x {
			h.checkedLoad, h.checkedAt = loaded, w.now
			u.ev.FromUpstream(Message{Kind: LoadReported, Load: x})
			w.pass(time.Second)
		}
	}
	tell(0.4, 1167.7)
	w.pass(300 * time.Millisecond)
	tell(0.4, 20710)
	w.pass(300 * time.Millisecond)
	tell(0.4, 390.4)
	w.pass(300 * time.Millisecond)
	tell(0.4, 22000)
	w.expect("note q 1 1167.7", "note q 1 20710", "note q 1 390.4", "note q 1 22000")
	tell(0.7, 77.7, 415.9, 60)
	w.expect("note q 1 77.7", "note q 1 22000", "note q 2 415.9", "note q 2 60")
	w.pass(5 * time.Second)
	tell(1.1, 120)
	w.expect("note q 2 120")
}
