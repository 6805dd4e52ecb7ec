package owneragent

// maxPendingQueries is how many later queries are sent before one without a reply is dropped.
const maxPendingQueries = 64

// queries are those to owners of jobs that wait for a reply. Each source has its own tags; on the wire a query has a tag of this process.
type queries struct {
	agent     *Agent
	lastTag   uint64
	sources   []*querySource
	operators map[uint64]chan<- string // operators' queries, by tag; each channel takes one reply without blocking
}

// querySource is a part of the agent that sends queries to owners.
type querySource struct {
	tags    map[uint64]uint64 // the source's own tag, by the process's
	deliver func(tag uint64, body []byte)
}

func newQueries(a *Agent) *queries {
	return &queries{agent: a, operators: map[uint64]chan<- string{}}
}

func (q *queries) nextTag() uint64 {
	q.lastTag++
	return q.lastTag
}

// newSource adds a source, before the worker starts.
func (q *queries) newSource(deliver func(tag uint64, body []byte)) *querySource {
	k := &querySource{tags: map[uint64]uint64{}, deliver: deliver}
	q.sources = append(q.sources, k)
	return k
}

// send sends a query of a source to the owner of a job.
func (q *queries) send(k *querySource, job string, ownTag uint64, body []byte) {
	tag := q.nextTag()
	k.tags[tag] = ownTag
	for t := range k.tags {
		if t+maxPendingQueries < tag {
			delete(k.tags, t)
		}
	}
	q.agent.core.Query(q.agent.now(), job, tag, body)
}

func (q *queries) replyReceived(tag uint64, body []byte) {
	for _, k := range q.sources {
		if ownTag, asked := k.tags[tag]; asked {
			delete(k.tags, tag)
			k.deliver(ownTag, body)
			return
		}
	}
	q.answerOperator(tag, string(body))
}

// registerOperator adds an operator's query, and returns its tag.
func (q *queries) registerOperator(answer chan<- string) uint64 {
	tag := q.nextTag()
	q.operators[tag] = answer
	return tag
}

func (q *queries) answerOperator(tag uint64, answer string) {
	if ch := q.operators[tag]; ch != nil {
		delete(q.operators, tag)
		ch <- answer
	}
}

func (q *queries) forgetOperator(tag uint64) { delete(q.operators, tag) }

func (q *queries) operatorWaits(tag uint64) bool { return q.operators[tag] != nil }
