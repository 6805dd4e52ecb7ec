package balancer

import (
	"fmt"
	"testing"
)

// benchRequest returns a request without a tenant whose client waits for 2 s.
func benchRequest(id, group string) Request {
	return Request{ID: id, Tenant: -1, Group: group, Remaining: 2 * sec}
}

// BenchmarkPlacement measures the events of a request from its arrival to the end of its connection,
// by the number of hosts.
func BenchmarkPlacement(b *testing.B) {
	for _, n := range []int{10, 60, 1000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			cfg := settings()
			cfg.Instances = 80
			f := start(b, cfg, fleet(n)...)
			b.ResetTimer()
			for i := 0; i < b.N; i++ {
				id := fmt.Sprint(i)
				f.b.RequestArrived(f.now, benchRequest(id, fmt.Sprint("g", i%8)))
				f.establish(id)
				f.end(id, OK)
				f.now += 50 * ms
				f.attemptsStarted, f.trace = f.attemptsStarted[:0], f.trace[:0]
			}
		})
	}
}

// BenchmarkList measures the application of a complete endpoint list, by its number of hosts.
func BenchmarkList(b *testing.B) {
	for _, n := range []int{10, 60, 1000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			f := start(b, settings(), fleet(n)...)
			hosts := fleet(n)
			b.ResetTimer()
			for i := 0; i < b.N; i++ {
				f.b.ListReceived(f.now, ListFull, hosts)
			}
		})
	}
}

// BenchmarkReport measures the handling of a load report, by the number of hosts.
func BenchmarkReport(b *testing.B) {
	for _, n := range []int{10, 100, 1000} {
		f := startReporting(b, settings(), fleet(n)...)
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			b.ReportAllocs()
			for i := range b.N {
				f.now += ms
				f.trace = f.trace[:0]
				f.b.HealthCheckEnded(f.now, f.b.hosts[i%n].hostID, OK, []float64{0.5 + float64(i%100)/1e4, 0})
			}
		})
	}
}

// BenchmarkPlacementByLoad is BenchmarkPlacement with hosts that report their load.
func BenchmarkPlacementByLoad(b *testing.B) {
	for _, n := range []int{10, 100, 1000} {
		f := startReporting(b, settings(), fleet(n)...)
		f.reportLoads(func(i int) float64 { return 0.4 + float64(i%10)/50 })
		requests := 0 // over all calls of the function below, so that no ID is used twice
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			b.ReportAllocs()
			for i := range b.N {
				f.now += ms
				f.trace, f.attemptsStarted = f.trace[:0], f.attemptsStarted[:0]
				id := fmt.Sprint("r", requests)
				requests++
				f.b.RequestArrived(f.now, benchRequest(id, fmt.Sprint(i%8)))
				f.establish(id)
				f.end(id, OK)
			}
		})
	}
}
