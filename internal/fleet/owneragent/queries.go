package owneragent

// maxPendingQueries bounds the age of a source's query without a reply: the source drops the query
// once the process has used more than this many later tags.
const maxPendingQueries = 64

// queries tracks the queries to owners of jobs and to the coordinator that have no reply yet. Each
// source has its own sequence of tags. On the wire, a query carries a tag that is unique in this
// process.
type queries struct {
	agent           *Agent
	lastTag         uint64
	sources         []*querySource
	operatorAnswers map[uint64]chan<- string // for operators' queries, by tag; each channel has room for one reply
}

// querySource is a component of the agent that sends queries to owners.
type querySource struct {
	tags    map[uint64]uint64             // tag of the source, by tag of the process
	deliver func(tag uint64, body []byte) // called with the tag of the source
}

func newQueries(a *Agent) *queries {
	return &queries{agent: a, operatorAnswers: map[uint64]chan<- string{}}
}

// nextTag returns a tag that this process has not used before.
func (q *queries) nextTag() uint64 {
	q.lastTag++
	return q.lastTag
}

// newSource adds a source. It must be called before the worker starts.
func (q *queries) newSource(deliver func(tag uint64, body []byte)) *querySource {
	source := &querySource{tags: map[uint64]uint64{}, deliver: deliver}
	q.sources = append(q.sources, source)
	return source
}

// send sends a query of a source to the owner of a job. ownTag is the tag of the source.
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

// replyReceived passes a reply to the source or operator that sent the query. It drops a reply that
// none of them waits for.
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

// addOperator returns a tag for an operator's query, whose reply is sent to answer.
func (q *queries) addOperator(answer chan<- string) uint64 {
	tag := q.nextTag()
	q.operatorAnswers[tag] = answer
	return tag
}

// answerOperator sends an answer to the operator that waits for the tag, if any.
func (q *queries) answerOperator(tag uint64, answer string) {
	if waiting := q.operatorAnswers[tag]; waiting != nil {
		delete(q.operatorAnswers, tag)
		waiting <- answer
	}
}

// removeOperator drops an operator's query.
func (q *queries) removeOperator(tag uint64) { delete(q.operatorAnswers, tag) }

func (q *queries) isOperatorWaiting(tag uint64) bool { return q.operatorAnswers[tag] != nil }
