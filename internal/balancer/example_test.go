package balancer_test

import (
	"fmt"

	"croftlock/internal/balancer"
)

// host carries out what the balancer decides; a real one would open connections here.
type host struct{ sent string }

func (h *host) StartAttempt(request, server string, timeout balancer.Time) {
	h.sent = server
	fmt.Println(request, "goes to", server)
}
func (h *host) Reject(request string, retryAfter balancer.Time) { fmt.Println(request, "is rejected") }
func (h *host) Fail(request string)                             { fmt.Println(request, "fails") }
func (h *host) CancelAttempt(request string, attempt int)       {}
func (h *host) Migrate(request string)                          {}
func (h *host) HealthCheck(server string)                       {}
func (h *host) SendToPeer(peer int, data []byte)                {}
func (h *host) WatchList(on bool)                               {}
func (h *host) FetchList()                                      {}
func (h *host) Schedule(delay balancer.Time, token string)      {} // call Timer with the token after the delay
func (h *host) Report(e balancer.Event)                         {}

func Example() {
	const ms = balancer.Time(1e6)
	h := &host{}
	b, err := balancer.New(balancer.Config{
		Instances: 1, Zone: "east", Zones: []string{"east"}, Tick: 5 * ms, MaxAttempts: 3,
		Classes:         []balancer.Class{{Name: "feed", LatencyObjective: 300 * ms, Deadline: 2000 * ms}},
		EjectionInitial: -1, EjectionMax: -1, // derived from the deadlines
	}, 1, h)
	if err != nil {
		panic(err)
	}
	b.ListReceived(0, balancer.ListFull, []balancer.ListedHost{
		{ID: "10.0.0.1:9000", Zone: "east", Weight: 1},
		{ID: "10.0.0.2:9000", Zone: "east", Weight: 1},
	})
	b.RequestArrived(5*ms, balancer.Request{ID: "a", Tenant: -1, Remaining: 2000 * ms})
	b.AttemptEnded(10*ms, balancer.AttemptResult{RequestID: "a", Status: balancer.ConnectFailed, Elapsed: 5 * ms}) // ejected, and tried elsewhere
	b.AttemptEstablished(20*ms, "a", 1, 10*ms)                                                                     // it stands
	b.RequestArrived(30*ms, balancer.Request{ID: "b", Tenant: -1, Remaining: 2000 * ms})
	// Output:
	// a goes to 10.0.0.1:9000
	// a goes to 10.0.0.2:9000
	// b goes to 10.0.0.2:9000
}
