package simulation

// scheduledEvent is a function to call at a given time of the simulation.
type scheduledEvent struct {
	due      Time // since the start of the simulation
	sequence int  // rises with each scheduled event; events that are due at the same time run in this order
	run      func()
}

// eventQueue is a heap of scheduled events, with the next one first. It implements heap.Interface.
type eventQueue []scheduledEvent

// Len implements heap.Interface.
func (q eventQueue) Len() int { return len(q) }

// Less implements heap.Interface.
func (q eventQueue) Less(i, j int) bool {
	return q[i].due < q[j].due || q[i].due == q[j].due && q[i].sequence < q[j].sequence
}

// Swap implements heap.Interface.
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *eventQueue) Push(x any) { *q = append(*q, x.(scheduledEvent)) }

// Pop implements heap.Interface.
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}
