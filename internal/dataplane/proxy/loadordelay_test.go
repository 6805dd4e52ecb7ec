package proxy

import (
	"testing"
	"time"
)

// A message delay in milliseconds that is reported in the form of a load (µs of work per second)
// must be recognised by the loads around it. In the events, observation 1 is a load and observation
// 2 a latency.
func TestDelayReportedAsLoad(t *testing.T) {
	w := newHarness(t)
	_, u := w.serve("q")
	report := func(x float64) { u.events.FromUpstream(Message{Kind: LoadReported, Load: x}) }
	for _, x := range []float64{1800, 60000, 65, 1100, 2900, 4100, 3000, 1500, 20} {
		report(x)
		w.advance(time.Second)
	}
	w.advance(time.Second)
	report(3800)
	w.expect("observe q 1 1800", "observe q 1 60000", "observe q 2 65", "observe q 2 1100", "observe q 2 2900", "observe q 2 4100",
		"observe q 2 3000", "observe q 2 1500", "observe q 2 20", "observe q 1 3800")
}

// The first figure of a connection may be a delay: if it is the only connection at its host, the
// host may not have reported a load before.
func TestFirstFigureMayBeADelay(t *testing.T) {
	w := newHarness(t)
	_, u := w.serve("q")
	for _, x := range []float64{679, 1064, 1668} {
		u.events.FromUpstream(Message{Kind: LoadReported, Load: x})
		w.advance(time.Second)
	}
	w.expect("observe q 2 679", "observe q 2 1064", "observe q 2 1668")
	// The first figure could be a load. The second one, exactly a second later, shows that these
	// are delays.
	w.advance(2 * time.Second)
	_, u = w.serve("p")
	for _, x := range []float64{1702, 2318, 2400, 51000} {
		u.events.FromUpstream(Message{Kind: LoadReported, Load: x})
		w.advance(time.Second)
	}
	w.expect("observe p 1 1702", "observe p 2 2318", "observe p 2 2400", "observe p 1 51000")
}

// Small loads of idle connections must not be taken for delays. Figures below minPlausibleLoad are
// read as delays.
func TestSmallLoadIsNoDelay(t *testing.T) {
	w := newHarness(t)
	_, u := w.serve("q")
	for _, x := range []float64{2674, 2506, 216, 21, 2475, 1937} {
		u.events.FromUpstream(Message{Kind: LoadReported, Load: x})
		w.advance(1200 * time.Millisecond)
	}
	w.expect("observe q 1 2674", "observe q 1 2506", "observe q 2 216", "observe q 2 21", "observe q 1 2475", "observe q 1 1937")
	_, u = w.serve("p") // its host reported no load after the acceptance
	u.events.FromUpstream(Message{Kind: LoadReported, Load: 62})
	u.events.FromUpstream(Message{Kind: LoadReported, Load: 56})
	w.expect("observe p 2 62", "observe p 2 56")
}

// If a host's own load is known from a health check, small figures are loads while the host has
// capacity left. A delay is recognised when a second one follows exactly a second later. The
// load that the first delay was taken for is then corrected. 0.4, 0.7 and 1.1 are the host's load
// divided by its capacity.
func TestDelayWithKnownHostLoad(t *testing.T) {
	w := newHarness(t)
	_, u := w.serve("q")
	h := w.core.hosts.byID["A"]
	report := func(hostLoad float64, figures ...float64) {
		for _, x := range figures {
			h.checkedLoad, h.checkedAt = hostLoad, w.now
			u.events.FromUpstream(Message{Kind: LoadReported, Load: x})
			w.advance(time.Second)
		}
	}
	report(0.4, 1167.7)
	w.advance(300 * time.Millisecond)
	report(0.4, 20710)
	w.advance(300 * time.Millisecond)
	report(0.4, 390.4)
	w.advance(300 * time.Millisecond)
	report(0.4, 22000)
	w.expect("observe q 1 1167.7", "observe q 1 20710", "observe q 1 390.4", "observe q 1 22000")
	report(0.7, 77.7, 415.9, 60)
	w.expect("observe q 1 77.7", "observe q 1 22000", "observe q 2 415.9", "observe q 2 60")
	w.advance(5 * time.Second)
	report(1.1, 120)
	w.expect("observe q 2 120")
}
