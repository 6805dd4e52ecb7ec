// Package parallel runs numbered simulations and recorded sequences on all cores, for experiments and
// tests.
package parallel

import (
	"runtime"
	"sync"
)

// ForEach calls call for each number from first to end-1, in parallel on all cores, and returns when all
// calls have returned.
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
