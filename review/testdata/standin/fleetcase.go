package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// suspendedGrace is the rule's 250 ms and the sockets' 50 ms.
const suspendedGrace = 300 * time.Millisecond

// fleetCase: operators take a catalogue server out by hand at all three proxies; then the process of one proxy is replaced.
func fleetCase(p *platform, trouble bool) (broken bool, err error) {
	s, proxies, err := newFleet(p, exampleSettings(""), "s1", "s2", "s3")
	if err != nil {
		return false, err
	}
	stop, wg := make(chan struct{}), &sync.WaitGroup{}
	for _, x := range proxies {
		wg.Add(1)
		go load(p.rec, x, []string{allowedTenant}, stop, wg, func(served) {})
	}
	out := false
	for end := time.Now().Add(25 * time.Second); !out && time.Now().Before(end); time.Sleep(500 * time.Millisecond) {
		out = strings.HasPrefix(proxies[0].command("fleet", "suspend", "s3"), "done at all 3")
	}
	if !out {
		return false, fmt.Errorf("the catalogue server is not out at all three proxies")
	}
	yes := time.Now()
	time.Sleep(4 * time.Second)
	first := proxies[0].current
	if trouble {
		if err := proxies[0].replace(nil); err != nil {
			return false, err
		}
	} else {
		time.Sleep(7 * time.Second)
	}
	time.Sleep(8 * time.Second)
	proxies[1].command("fleet", "list")
	close(stop)
	wg.Wait()
	p.copyLog(first, "hot_restart", "host_suspended", "owners_off", "membership_delayed")
	p.copyLog(proxies[0].current, "hot_restart", "host_suspended", "owners_off", "membership_delayed")
	before, late := 0, 0
	var from, until time.Time
	for _, a := range s.attempts() {
		switch {
		case a.server != "s3":
		case a.at.Before(yes):
			before++
		case a.at.Sub(yes) > suspendedGrace:
			late++
			if from.IsZero() {
				from = a.at
			}
			until = a.at
		}
	}
	p.rec.say("s3 got %d requests before it was out, and %d later than 300 ms after the yes, over %.2f s", before, late, until.Sub(from).Seconds())
	if before == 0 {
		return false, fmt.Errorf("s3 was not in use before")
	}
	return late > 0, nil
}
