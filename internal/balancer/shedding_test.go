package balancer

import (
	"fmt"
	"testing"
)

func TestLowestPriorityIsShedFirst(t *testing.T) {
	cfg := settings()
	cfg.Classes = append(cfg.Classes, Class{Name: "dear", LatencyObjective: 300 * ms, Deadline: 2 * sec, MessageLatencyObjective: 100 * ms})
	cfg.Classes[0].PriorityWeight, cfg.Classes[1].PriorityWeight, cfg.PriorityByWork = 1, 5, true
	f := start(t, cfg, fleet(4)...)
	ask := func(id string, class int) {
		f.b.RequestArrived(f.now, Request{ID: id, Class: class, Tenant: -1, Remaining: 2 * sec})
	}
	for i := 0; i < 40; i++ {
		ask(fmt.Sprint("o", i), i%2)
		f.establish(fmt.Sprint("o", i))
	}
	for i := 0; i < 20; i++ { // every host stalls and stays so
		for k := 0; k < 40; k++ {
			f.b.Observe(f.now, fmt.Sprint("o", k), 0, ObservedLatency, 500)
		}
		f.run(sec / 2)
	}
	refused := [2]int{}
	for i := 0; i < 100; i++ {
		id := fmt.Sprint("n", i)
		ask(id, i%2)
		if f.answers[id] == 1 {
			refused[i%2]++
		}
	}
	if refused[0] < 40 || refused[1] >= refused[0] {
		t.Fatalf("with all hosts stalled, %d of 50 cheap and %d of 50 dear ones rejected", refused[0], refused[1])
	}
	f.run(60 * sec) // no more bad news
	ask("later", 0)
	if f.answers["later"] == 1 {
		t.Fatal("load shedding outlasted its reason")
	}
}

func TestStalledHostLosesTurnsAndConnections(t *testing.T) {
	f := start(t, settings(), fleet(5)...)
	on := []string{}
	for i := 0; i < 40; i++ {
		id := fmt.Sprint("o", i)
		f.request(id)
		f.establish(id)
		if f.last().host == "s02" {
			on = append(on, id)
		}
	}
	for i := 0; i < 3; i++ {
		f.b.Observe(f.now, on[0], 0, ObservedLatency, 2000)
		f.run(sec)
	}
	if len(f.migrations) == 0 {
		t.Fatalf("%d of %d connections moved off a stalled host in three notes, want some", len(f.migrations), len(on))
	}
	n := 0
	for i := 0; i < 40; i++ {
		id := fmt.Sprint("n", i)
		f.request(id)
		f.establish(id)
		if f.last().host == "s02" {
			n++
		}
	}
	if n > 3 {
		t.Fatalf("a stalled host that accepts still got %d of 40 turns", n)
	}
}

// One host's pause brought load shedding that rejected most of what came for 18 s after it.
func TestSheddingEndsWithStall(t *testing.T) {
	f := start(t, settings(), fleet(3)...)
	f.b.shedding.share = 0.9
	f.run(6 * sec)
	if f.b.shedding.share > 0.1 {
		t.Fatalf("%.2f is still rejected 6 s after the last stall", f.b.shedding.share)
	}
}

// One bad request, answered with an error wherever it goes, makes no other request wait as in a retry storm.
func TestErrorsOfOneRequestAreNoRetryStorm(t *testing.T) {
	f := start(t, settings(), fleet(5)...)
	f.request("bad")
	for f.inFlight["bad"] {
		f.end("bad", Error)
	}
	if f.attempts["bad"] != 4 || f.answers["bad"] != 1 {
		t.Fatalf("%d attempts, %d answers", f.attempts["bad"], f.answers["bad"])
	}
	f.request("usual")
	if !f.inFlight["usual"] {
		t.Fatal("a request waits though nothing jams")
	}
}
