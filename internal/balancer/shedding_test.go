package balancer

import (
	"fmt"
	"testing"
)

// TestLowestPriorityIsShedFirst checks that load shedding, while all hosts are stalled (they delay
// messages), rejects requests of the class with the lower priority weight first.
func TestLowestPriorityIsShedFirst(t *testing.T) {
	cfg := settings()
	cfg.Classes = append(cfg.Classes, cfg.Classes[0])
	cfg.Classes[1].Name = "high"
	cfg.Classes[0].PriorityWeight, cfg.Classes[1].PriorityWeight, cfg.PriorityByWork = 1, 5, true
	f := start(t, cfg, fleet(4)...)
	arrive := func(id string, class int) {
		f.b.RequestArrived(f.now, Request{ID: id, Class: class, Tenant: -1, Remaining: 2 * sec})
	}
	for i := range 40 {
		arrive(fmt.Sprint("o", i), i%2)
		f.establish(fmt.Sprint("o", i))
	}
	for range 20 { // every host stalls and remains stalled
		for k := range 40 {
			f.b.Observe(f.now, fmt.Sprint("o", k), 0, ObservedLatency, 500)
		}
		f.run(sec / 2)
	}
	shed := [2]int{}
	for i := range 100 {
		id := fmt.Sprint("n", i)
		arrive(id, i%2)
		if f.answers[id] == 1 {
			shed[i%2]++
		}
	}
	if shed[0] < 40 || shed[1] >= shed[0] {
		t.Fatalf("with all hosts stalled, %d of 50 requests of low and %d of 50 of high priority are rejected, "+
			"want at least 40 of low and fewer of high priority", shed[0], shed[1])
	}
	f.run(60 * sec) // without another observation of a stall
	arrive("later", 0)
	if f.answers["later"] == 1 {
		t.Fatalf("request rejected a minute after the last stall, with %.2f of the demand shed, want none shed",
			f.b.shedding.share)
	}
}

// TestStalledHostLosesTurnsAndConnections checks that connections migrate off a host that delays
// messages, and that few new ones go there.
func TestStalledHostLosesTurnsAndConnections(t *testing.T) {
	f := start(t, settings(), fleet(5)...)
	atStalled := []string{}
	for i := range 40 {
		id := fmt.Sprint("o", i)
		f.request(id)
		f.establish(id)
		if f.lastAttempt().host == "s02" {
			atStalled = append(atStalled, id)
		}
	}
	for range 3 {
		f.b.Observe(f.now, atStalled[0], 0, ObservedLatency, 2000)
		f.run(sec)
	}
	if len(f.migrations) == 0 {
		t.Fatalf("0 of %d connections migrated from a stalled host in three observations, want some",
			len(atStalled))
	}
	before := len(f.attemptsStarted)
	for i := range 40 {
		id := fmt.Sprint("n", i)
		f.request(id)
		f.establish(id)
	}
	if n := f.attemptsAt("s02", before); n > 3 {
		t.Fatalf("a stalled host that accepts connections got %d of 40 turns, want at most 3", n)
	}
}

// TestSheddingEndsWithStall checks that load shedding does not outlast a stall, such as the pause
// of one host, by much.
func TestSheddingEndsWithStall(t *testing.T) {
	f := start(t, settings(), fleet(3)...)
	f.b.shedding.share = 0.9
	f.run(6 * sec)
	if f.b.shedding.share > 0.1 {
		t.Fatalf("%.2f of the demand is still shed 6 s after the last stall, want at most 0.1", f.b.shedding.share)
	}
}

// TestErrorsOfOneRequestAreNoRetryStorm checks that one request that every host answers with an
// error does not delay other requests.
func TestErrorsOfOneRequestAreNoRetryStorm(t *testing.T) {
	f := start(t, settings(), fleet(5)...)
	f.request("bad")
	for f.inFlight["bad"] {
		f.end("bad", Error)
	}
	if f.attempts["bad"] != 4 || f.answers["bad"] != 1 {
		t.Fatalf("failing request: %d attempts and %d answers, want 4 and 1", f.attempts["bad"], f.answers["bad"])
	}
	f.request("usual")
	if !f.inFlight["usual"] {
		t.Fatalf("another request is delayed after the errors of one request, want an attempt at once: effects %v",
			f.trace)
	}
}
