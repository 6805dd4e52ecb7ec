package simulation

type event struct {
	at  Time
	seq int
	do  func()
}

type events []event

func (q events) Len() int { return len(q) }

func (q events) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}

func (q events) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

func (q *events) Push(x any) { *q = append(*q, x.(event)) }

func (q *events) Pop() any {
	old := *q
	x := old[len(old)-1]
	*q = old[:len(old)-1]
	return x
}
