package owneragent

// maxPendingQueries is how many later queries are sent before one without a reply is dropped.
const maxPendingQueries = 64

// queries are the queries to owners of jobs that wait for a reply. Each source counts its own tags; on the wire a query has a tag of this process.
type queries struct {
	agent           *Agent
	lastTag         uint64
	sources         []*querySource
	operatorAnswers map[uint64]chan<- string // operators' queries, by tag; each channel takes one reply without blocking
}

// querySource is a part of the agent that sends queries to owners.
type querySource struct {
	tags    map[uint64]uint64 // the source's own tag, by the process's
	deliver func(tag uint64, body []byte)
}

func newQueries(a *Agent) *queries {
	return &queries{agent: a, operatorAnswers: map[uint64]chan<- string{}}
}

func (q *queries) nextTag() uint64 {
	q.lastTag++
	return q.lastTag
}

// newSource adds a source, before the worker starts.
func (q *queries) newSource(deliver func(tag uint64, body []byte)) *querySource {
	source := &querySource{tags: map[uint64]uint64{}, deliver: deliver}
	q.sources = append(q.sources, source)
	return source
}

// send sends a query of a source to the owner of a job.
func (q *queries) send(source *querySource, job string, ownTag uint64, body []byte) {
	tag := q.nextTag()
	source.tags[tag] = ownTag
	for earlier := range source.tags {
		if earlier+maxPendingQueries < tag {
			delete(source.tags, earlier)
		}
	}
	q.agent.core.Query(q.agent.now(), job, tag, body)
}

// replyReceived gives a reply to the source or operator that waits for it. One that nobody waits for is dropped.
func (q *queries) replyReceived(tag uint64, body []byte) {
	for _, source := range q.sources {
		if ownTag, pending := source.tags[tag]; pending {
			delete(source.tags, tag)
			source.deliver(ownTag, body)
			return
		}
	}
	q.answerOperator(tag, string(body))
}

// addOperator adds an operator's query, and returns its tag.
func (q *queries) addOperator(answer chan<- string) uint64 {
	tag := q.nextTag()
	q.operatorAnswers[tag] = answer
	return tag
}

func (q *queries) answerOperator(tag uint64, answer string) {
	if waiting := q.operatorAnswers[tag]; waiting != nil {
		delete(q.operatorAnswers, tag)
		waiting <- answer
	}
}

func (q *queries) removeOperator(tag uint64) { delete(q.operatorAnswers, tag) }

func (q *queries) isOperatorWaiting(tag uint64) bool { return q.operatorAnswers[tag] != nil }
