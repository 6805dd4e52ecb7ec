// Package parallel plays numbered simulations and recorded sequences on all cores, for experiments and tests.
package parallel

import (
	"runtime"
	"sync"
)

// ForEach calls do for each number from first to one below end, in parallel on all cores, and returns once all calls have.
func ForEach(first, end int, call func(i int)) {
	next := make(chan int)
	var workers sync.WaitGroup
	for range runtime.GOMAXPROCS(0) {
		workers.Add(1)
		go func() {
			defer workers.Done()
			for i := range next {
				call(i)
			}
		}()
	}
	for i := first; i < end; i++ {
		next <- i
	}
	close(next)
	workers.Wait()
}
