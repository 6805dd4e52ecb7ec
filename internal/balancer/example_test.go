package balancer_test

import (
	"fmt"

	"croftlock/internal/balancer"
)

// core carries out the balancer's decisions. A real core opens connections here.
type core struct{}

func (core) StartAttempt(request, host string, timeout balancer.Time) {
	fmt.Println(request, "goes to", host)
}
func (core) Reject(request string, retryAfter balancer.Time) { fmt.Println(request, "is rejected") }
func (core) Fail(request string)                             { fmt.Println(request, "fails") }
func (core) CancelAttempt(request string, attempt int)       {}
func (core) Migrate(request string)                          {}
func (core) HealthCheck(host string)                         {}
func (core) SendToPeer(peer int, data []byte)                {}
func (core) WatchList(on bool)                               {}
func (core) FetchList()                                      {}
func (core) Schedule(delay balancer.Time, token string)      {} // a real core calls TimerFired after the delay
func (core) Report(e balancer.Event)                         {}

func Example() {
	const ms = balancer.Time(1e6)
	b, err := balancer.New(balancer.Config{
		Instances: 1, Zone: "east", Zones: []string{"east"}, Tick: 5 * ms, MaxAttempts: 3,
		Classes:         []balancer.Class{{Name: "feed", LatencyObjective: 300 * ms, Deadline: 2000 * ms}},
		EjectionInitial: -1, EjectionMax: -1, // derived from the deadlines
	}, 1, core{}) // 1 is the seed of the random numbers
	if err != nil {
		panic(err)
	}
	b.ListReceived(0, balancer.ListFull, []balancer.ListedHost{
		{ID: "10.0.0.1:9000", Zone: "east", Weight: 1},
		{ID: "10.0.0.2:9000", Zone: "east", Weight: 1},
	})
	b.RequestArrived(5*ms, balancer.Request{ID: "a", Tenant: -1, Remaining: 2000 * ms})
	// The host is ejected, and the request retried at the other one.
	b.AttemptEnded(10*ms,
		balancer.AttemptResult{RequestID: "a", Status: balancer.ConnectFailed, Elapsed: 5 * ms})
	b.AttemptEstablished(20*ms, "a", 1, 10*ms)
	b.RequestArrived(30*ms, balancer.Request{ID: "b", Tenant: -1, Remaining: 2000 * ms})
	// Output:
	// a goes to 10.0.0.1:9000
	// a goes to 10.0.0.2:9000
	// b goes to 10.0.0.2:9000
}
