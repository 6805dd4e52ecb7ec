package balancer

import (
	"math"
	"testing"
)

func TestDelayAfterFailure(t *testing.T) {
	for _, c := range []struct {
		failures, instances int
		interval            Time
		want                Time // nanoseconds
	}{
		{1, 1, 10 * sec, 625 * ms},   // an eighth of half the interval
		{3, 1, 10 * sec, 1200 * ms},  // the longest backoff, maxPollBackoff
		{1, 80, 10 * sec, 4000 * ms}, // spaced for eighty balancers
		{8, 300, 60 * sec, 5 * sec},  // the longest delay
		{1, 300, 4 * sec, 2 * sec},   // half the interval
	} {
		// delayAfterFailure returns the delay before jitter.
		d := discoveryPoller{failures: c.failures}
		if got := Time(d.delayAfterFailure(c.interval, c.instances)); got != c.want {
			t.Errorf("%d failures, %d balancers, poll interval %d s: delay %d ms, expected %d ms",
				c.failures, c.instances, c.interval/sec, got/ms, c.want/ms)
		}
	}
}

func TestRetryStormIsSuspectedAndFades(t *testing.T) {
	s := retryStorm{longestObjective: sec}
	for range 4 {
		s.attemptStarted()
	}
	if !s.suspected(0) {
		t.Error("suspected(0) = false after four attempts without a success, expected true")
	}
	s.succeeded()
	if s.suspected(0) {
		t.Error("suspected(0) = true after one of four attempts succeeded, expected false")
	}
	s = retryStorm{longestObjective: sec, attempts: 10}
	if s.suspected(30 * sec) {
		t.Error("suspected = true 30 s after ten attempts without a success, expected false")
	}
	s.failedWithError(30*sec, 1)
	s.failedWithError(30*sec, 1)
	if !s.consecutiveEarlyErrors(31*sec) || s.consecutiveEarlyErrors(32*sec) {
		t.Errorf("consecutiveEarlyErrors is %t 1 s and %t 2 s after two early errors, "+
			"expected true and, after twice the longest objective, false",
			s.consecutiveEarlyErrors(31*sec), s.consecutiveEarlyErrors(32*sec))
	}
}

func TestSharedTimeoutsAreNoEvidence(t *testing.T) {
	e := setupEvidence{longestObjective: sec}
	for i, want := range []bool{false, false, false, true} {
		if e.addTimeout(0) != want {
			t.Errorf("timeout %d: shared %t, expected %t", i+1, !want, want)
		}
	}
	for range 6 {
		e.addSuccess(0)
	}
	if e.addTimeout(0) != false || e.addTimeout(20*sec) {
		t.Error("addTimeout = true after six successes, or 20 s after all other set-ups, expected false")
	}
}

func TestSheddingGrowsAndEnds(t *testing.T) {
	s := loadShedding{demandByClass: []float64{1}}
	for range 100 {
		s.update(zoneLoad{open: 10, stalled: 10}, zoneLoad{open: 10}, 0.1)
	}
	if s.share != maxShedShare || s.crossZoneShare != 1 {
		t.Errorf("shed share %.2f and cross-zone share %.2f after 10 s of a stalled zone, expected %.2f and 1",
			s.share, s.crossZoneShare, maxShedShare)
	}
	if want := math.Exp(-1); math.Abs(s.demandByClass[0]-want) > 1e-9 {
		t.Errorf("demand %.3f, expected %.3f", s.demandByClass[0], want)
	}
	for range 300 {
		s.update(zoneLoad{open: 10}, zoneLoad{open: 10}, 0.1)
	}
	if s.share > 1e-6 || s.crossZoneShare != 0 {
		t.Errorf("shed share %.2f and cross-zone share %.2f after 30 s without a stall, expected 0",
			s.share, s.crossZoneShare)
	}
}

func TestConnectionCosts(t *testing.T) {
	c := connectionCosts{byClass: make([]float64, 2)}
	if c.estimate(&Request{}) != 1 || c.turns(5) != 1 {
		t.Errorf("before the first sample, estimate(empty request) = %g and turns(5) = %g, expected 1 and 1",
			c.estimate(&Request{}), c.turns(5))
	}
	c.addSample(0, 100)
	for _, q := range []struct {
		request Request
		want    float64
	}{{Request{Class: 0}, 100}, {Request{Class: 1}, 100}, {Request{Class: 1, ExpectedLoad: 200}, 200}} {
		if got := c.estimate(&q.request); got != q.want {
			t.Errorf("estimate(%+v) = %g, expected %g", q.request, got, q.want)
		}
	}
	if c.turns(1e9) != maxTurns || c.turns(1) != minTurns {
		t.Errorf("turns(1e9) = %g, turns(1) = %g, expected turns(1e9) = %d, turns(1) = %g",
			c.turns(1e9), c.turns(1), maxTurns, minTurns)
	}
}
