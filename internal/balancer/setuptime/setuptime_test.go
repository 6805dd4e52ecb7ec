package setuptime

import "testing"

const ms = int64(1e6)

func TestEstimator(t *testing.T) {
	var e Estimator
	if e.Reliable() || e.QueueDelay(0) != 0 {
		t.Error("knows something without samples")
	}
	for i := range int64(200) {
		e.Sample(i*ms, float64(20*ms))
	}
	if !e.Reliable() || e.SinceSample(250*ms) != 51*ms {
		t.Error("samples are not counted")
	}
	if bound := e.Bound(); bound < float64(20*ms) || bound > float64(21*ms) {
		t.Errorf("bound %g after equal samples of 20 ms", bound)
	}
}

// One set-up alone tells of no queue; of two, the shorter counts, and it shrinks with time.
func TestQueueDelay(t *testing.T) {
	var e Estimator
	e.ExpectCompletion(900 * ms)
	if d := e.QueueDelay(0); d != 0 {
		t.Errorf("%d after one set-up", d)
	}
	e.ExpectCompletion(500 * ms)
	if d := e.QueueDelay(100 * ms); d != 400*ms {
		t.Errorf("%d after two", d)
	}
	if d := e.QueueDelay(600 * ms); d != 0 {
		t.Errorf("%d after it has drained", d)
	}
}
