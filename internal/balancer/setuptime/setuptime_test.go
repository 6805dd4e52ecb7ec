package setuptime

import "testing"

const ms = int64(1e6)

func TestEstimator(t *testing.T) {
	var e Estimator
	if e.Reliable() || e.QueueDelay(0) != 0 {
		t.Error("reliable, or a queue, without samples")
	}
	for i := range int64(200) {
		e.Sample(i*ms, float64(20*ms))
	}
	if !e.Reliable() || e.SinceSample(250*ms) != 51*ms {
		t.Error("samples are not counted")
	}
	if bound := e.Bound(); bound < float64(20*ms) || bound > float64(21*ms) {
		t.Errorf("a bound of %g ns after equal samples of 20 ms", bound)
	}
}

// TestQueueDelay: one set-up alone shows no queue; of two, the shorter delay counts, and it shrinks with
// time.
func TestQueueDelay(t *testing.T) {
	var e Estimator
	e.ExpectCompletion(900 * ms)
	if d := e.QueueDelay(0); d != 0 {
		t.Errorf("a delay of %d ns after one set-up", d)
	}
	e.ExpectCompletion(500 * ms)
	if d := e.QueueDelay(100 * ms); d != 400*ms {
		t.Errorf("a delay of %d ns after two set-ups, expected 400 ms", d)
	}
	if d := e.QueueDelay(600 * ms); d != 0 {
		t.Errorf("a delay of %d ns after the queue has drained", d)
	}
}
