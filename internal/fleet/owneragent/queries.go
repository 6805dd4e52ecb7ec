package owneragent

// keptQueries is how many later queries are sent before one of an asker's is given up.
const keptQueries = 64

// queries are the questions to owners of jobs that wait for an answer. Each asker numbers its own; on the way a query has a tag of this process.
type queries struct {
	agent     *Agent
	lastTag   uint64
	askers    []*asker
	operators map[uint64]chan<- string // operators' questions, by tag; each channel takes one answer without waiting
}

// asker is a part of the agent that asks owners.
type asker struct {
	tags    map[uint64]uint64 // the asker's own tag, by the process's
	deliver func(tag uint64, body []byte)
}

func newQueries(a *Agent) *queries {
	return &queries{agent: a, operators: map[uint64]chan<- string{}}
}

func (q *queries) nextTag() uint64 {
	q.lastTag++
	return q.lastTag
}

// newAsker adds an asker, before the worker starts.
func (q *queries) newAsker(deliver func(tag uint64, body []byte)) *asker {
	k := &asker{tags: map[uint64]uint64{}, deliver: deliver}
	q.askers = append(q.askers, k)
	return k
}

// ask sends a query of an asker to the owner of a job.
func (q *queries) ask(k *asker, job string, ownTag uint64, body []byte) {
	tag := q.nextTag()
	k.tags[tag] = ownTag
	for t := range k.tags {
		if t+keptQueries < tag {
			delete(k.tags, t)
		}
	}
	q.agent.core.Query(q.agent.now(), job, tag, body)
}

func (q *queries) replyReceived(tag uint64, body []byte) {
	for _, k := range q.askers {
		if ownTag, asked := k.tags[tag]; asked {
			delete(k.tags, tag)
			k.deliver(ownTag, body)
			return
		}
	}
	q.answerOperator(tag, string(body))
}

// askOperator notes an operator's question, and gives its tag.
func (q *queries) askOperator(answer chan<- string) uint64 {
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
