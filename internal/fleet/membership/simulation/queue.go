package simulation

// scheduledEvent is what happens at a time of the run.
type scheduledEvent struct {
	due      Time
	sequence int // in the order in which it was scheduled: it decides between equal times
	run      func()
}

// eventQueue is a heap of scheduled events, for container/heap.
type eventQueue []scheduledEvent

// Len is heap.Interface's.
func (q eventQueue) Len() int { return len(q) }

// Less is heap.Interface's.
func (q eventQueue) Less(i, j int) bool {
	return q[i].due < q[j].due || q[i].due == q[j].due && q[i].sequence < q[j].sequence
}

// Swap is heap.Interface's.
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push is heap.Interface's.
func (q *eventQueue) Push(x any) { *q = append(*q, x.(scheduledEvent)) }

// Pop is heap.Interface's.
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}
