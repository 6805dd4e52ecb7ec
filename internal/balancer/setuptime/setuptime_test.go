package setuptime

import "testing"

const ms = int64(1e6)

func TestEstimator(t *testing.T) {
	var e Estimator
	if e.Reliable() || e.QueueDelay(0) != 0 {
		t.Errorf("without samples, Reliable is %t and QueueDelay(0) %d ns, expected false and 0",
			e.Reliable(), e.QueueDelay(0))
	}
	for i := range int64(200) {
		e.Sample(i*ms, float64(20*ms))
	}
	if !e.Reliable() || e.SinceSample(250*ms) != 51*ms {
		t.Errorf("after 200 samples Reliable is %t and SinceSample %d ns, expected true and 51 ms",
			e.Reliable(), e.SinceSample(250*ms))
	}
	if bound := e.Bound(); bound < float64(20*ms) || bound > float64(21*ms) {
		t.Errorf("a bound of %g ns after equal samples of 20 ms, expected 20 to 21 ms", bound)
	}
}

// TestQueueDelay checks that one set-up of a connection alone shows no queue, that the shorter delay
// of two set-ups counts, and that the delay shrinks with time.
func TestQueueDelay(t *testing.T) {
	var e Estimator
	e.ExpectCompletion(900 * ms)
	if d := e.QueueDelay(0); d != 0 {
		t.Errorf("a delay of %d ns after one set-up, expected 0", d)
	}
	e.ExpectCompletion(500 * ms)
	if d := e.QueueDelay(100 * ms); d != 400*ms {
		t.Errorf("a delay of %d ns after two set-ups, expected 400 ms", d)
	}
	if d := e.QueueDelay(600 * ms); d != 0 {
		t.Errorf("a delay of %d ns after the queue has drained, expected 0", d)
	}
}
