// Command standin holds the stand-ins of the review's cases, and the cases themselves: standin CASE ROOT RECORD. It exits with 1 if
// the case's rule was broken, 0 if it held, 2 if the case could not run. With TROUBLE=0 in the environment the disruption is left out.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// cases holds the cases by name. Each reports whether its rule was broken.
var cases = map[string]func(p *platform, trouble bool) (broken bool, err error){
	"rules":   rulesCase,
	"fleet":   fleetCase,
	"same-id": sameIDCase,
}

// longest is the longest time that a case may take.
const longest = 110 * time.Second

func main() { os.Exit(run()) }

// run runs the case and returns the exit status.
func run() int {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE ROOT RECORD")
		return 2
	}
	rec, err := newRecord(os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	p, err := newPlatform(os.Args[2], rec)
	if err != nil {
		rec.say("could not run: %v", err)
		return 2
	}
	defer p.end()
	type result struct {
		broken bool
		err    error
	}
	results, signals := make(chan result, 1), make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		broken, err := cases[os.Args[1]](p, os.Getenv("TROUBLE") != "0")
		results <- result{broken, err}
	}()
	select {
	case r := <-results:
		switch {
		case r.err != nil:
			rec.say("could not run: %v", r.err)
			return 2
		case r.broken:
			rec.say("the rule was BROKEN")
			return 1
		}
		rec.say("the rule HELD")
		return 0
	case <-signals:
		rec.say("could not run: ended by a signal")
	case <-time.After(longest):
		rec.say("could not run: not done within %v", longest)
	}
	return 2
}
