package owneragent

import (
	"errors"
	"fmt"
	"os"
	"syscall"
	"time"

	"croftlock/internal/fleet/group"
	"croftlock/internal/fleet/jobs"
	"croftlock/internal/fleet/rules"
)

// adminCommands holds the handlers of operators' requests, by Request.Command.
var adminCommands = map[string]func(a *Agent, request Request) Reply{
	"owners":  (*Agent).adminReport,
	"status":  (*Agent).adminReport,
	"move":    (*Agent).adminMoveJob,
	"suspend": (*Agent).adminSuspendedHosts,
	"resume":  (*Agent).adminSuspendedHosts,
	"list":    (*Agent).adminSuspendedHosts,
	"rules":   (*Agent).adminRules,
	"explain": (*Agent).adminExplain,
	"add":     (*Agent).adminChangeVoters,
	"promote": (*Agent).adminChangeVoters,
	"remove":  (*Agent).adminChangeVoters,
	"late":    (*Agent).adminDelayDrill,
}

const (
	// queryRetryInterval is the time after which a query to the publisher of rules is sent again if
	// it has no reply.
	queryRetryInterval = 200 * time.Millisecond

	// rulesOff is the reply to commands about rules while rules are off.
	rulesOff = "refused: (owners (rules on)) is not set"
)

// Replies to requests that were not carried out, or whose result is unknown. Their texts must not
// change.
var (
	replyBusy    = Reply{Error: "this proxy is too busy, or its disk hangs: ask again"}
	replyUnknown = Reply{Error: "unknown: no owner has answered; what was asked may or may not have been done. Ask again: twice is as once"}
)

// serveRequest serves a request with the handler of its command. It does not run on the worker.
func (a *Agent) serveRequest(request Request) Reply {
	command, known := adminCommands[request.Command]
	if !known {
		return Reply{Error: fmt.Sprintf("no request %q", request.Command)}
	}
	return command(a, request)
}

// runOnWorker runs f on the worker and reports whether it returned in time, as worker.call does with
// requestTimeout. If not, f may still run later.
func (a *Agent) runOnWorker(f func()) bool { return a.worker.call(f, requestTimeout) }

// adminReport serves the commands owners and status.
func (a *Agent) adminReport(Request) (reply Reply) {
	if !a.runOnWorker(func() { a.fillReport(&reply) }) {
		return replyBusy
	}
	return reply
}

// adminDelayDrill makes a drill stop its own process with SIGSTOP at its next step, after it has
// checked its lease and before it sends its effects. A signal from outside could not be timed to
// hit that moment. Receivers must reject the effects that the drill sends once the process
// continues.
func (a *Agent) adminDelayDrill(request Request) (reply Reply) {
	if !a.runOnWorker(func() {
		drill, ok := a.jobs.byName[request.Argument].(*jobs.Drill)
		if !ok || a.jobs.owned[request.Argument] == 0 {
			reply.Error = "only an owner of a drill can be late"
			return
		}
		drill.BeforeSend = func() { syscall.Kill(os.Getpid(), syscall.SIGSTOP) }
		reply.Answer = "its next turn is a late one"
	}) {
		return replyBusy
	}
	return reply
}

// adminExplain serves the command explain: it explains how this process's rules decide a request.
func (a *Agent) adminExplain(request Request) Reply {
	if a.rules.enforcer == nil || request.Explain == nil {
		return Reply{Error: rulesOff}
	}
	return Reply{Answer: a.rules.enforcer.Explain(*request.Explain)}
}

// adminMoveJob asks the coordinator to hand a job over to another member. An answer that is not
// empty is the reason for which the coordinator refuses.
func (a *Agent) adminMoveJob(request Request) Reply {
	answer, failed := a.queryAndWait(func(tag uint64) { a.core.MoveJob(a.now(), request.Argument, request.SecondArgument, tag) }, nil)
	switch {
	case failed != nil:
		return *failed
	case answer != "":
		return Reply{Error: answer}
	}
	return Reply{Answer: "its owner is asked for it"}
}

// adminSuspendedHosts sends the commands suspend, resume and list to the owner of the job that keeps
// the list of suspended hosts.
func (a *Agent) adminSuspendedHosts(request Request) Reply {
	command := jobs.SuspendCommand(request.Command == "suspend", request.Argument)
	if request.Command == "list" {
		command = jobs.ListCommand()
	}
	answer, failed := a.queryAndWait(func(tag uint64) {
		if a.jobs.byName[hostsJob] == nil {
			a.queries.answerOperator(tag, "refused: (owners (hosts on)) is not set")
			return
		}
		a.core.Query(a.now(), hostsJob, tag, command)
	}, nil)
	if failed != nil {
		return *failed
	}
	return Reply{Answer: answer}
}

// adminRules sends a query to the publisher of rules. It repeats the query until it is answered,
// since an owner that stops or has just started may lose it. Repetition is safe: the publisher
// treats a repeated query like the first one.
func (a *Agent) adminRules(request Request) Reply {
	query := func(tag uint64) { a.core.Query(a.now(), rulesJob, tag, request.Rules) }
	answer, failed := a.queryAndWait(func(tag uint64) {
		switch {
		case a.rules.enforcer == nil:
			a.queries.answerOperator(tag, rulesOff)
		case !rules.IsAdminQuery(request.Rules):
			a.queries.answerOperator(tag, "refused: no question that administrators may ask")
		default:
			query(tag)
		}
	}, query)
	if failed != nil {
		return *failed
	}
	return Reply{Answer: rules.DecodeReply(answer)}
}

// queryAndWait calls send on the worker with a new tag and waits for the reply to that tag. send
// sends a query to a job's owner or a request to the coordinator. If there is no reply within
// requestTimeout, failed is the Reply for the operator, otherwise it is nil. retry, if not nil, is
// called each queryRetryInterval to send the query again.
func (a *Agent) queryAndWait(send, retry func(tag uint64)) (answer string, failed *Reply) {
	answers := make(chan string, 1)
	var tag uint64
	if !a.runOnWorker(func() {
		tag = a.queries.addOperator(answers)
		send(tag)
	}) {
		return "", &replyBusy
	}
	ticker := time.NewTicker(queryRetryInterval)
	defer ticker.Stop()
	timeout := time.After(requestTimeout)
	for {
		select {
		case answer := <-answers:
			return answer, nil
		case <-timeout:
			a.worker.post(func() { a.queries.removeOperator(tag) })
			return "", &replyUnknown
		case <-ticker.C:
			if retry == nil {
				continue
			}
			a.worker.post(func() {
				if a.queries.isOperatorWaiting(tag) {
					retry(tag)
				}
			})
		}
	}
}

// errNotVoter is returned for changes of the voters by a process without a voter on disk.
var errNotVoter = errors.New("this proxy is no voter with a disk: ask one")

// adminChangeVoters asks the group to add, promote or remove a voter. The reply does not wait for
// the change.
func (a *Agent) adminChangeVoters(request Request) Reply {
	var err error
	if !a.runOnWorker(func() { err = a.changeVoters(request.Command, request.Argument) }) {
		return replyBusy
	}
	if errors.Is(err, group.ErrNotLeader) {
		err = fmt.Errorf("%w: group status names who does", err)
	}
	if err != nil {
		return Reply{Error: err.Error()}
	}
	return Reply{Answer: "asked; group status tells once it is done"}
}

// changeVoters proposes a change of the voters. It runs on the worker.
func (a *Agent) changeVoters(change, name string) error {
	voter := a.replica.voter
	if voter == nil {
		return errNotVoter
	}
	tag := a.queries.nextTag()
	switch change {
	case "add":
		return voter.Add(a.now(), tag, name)
	case "promote":
		return voter.Promote(a.now(), tag, name)
	}
	return voter.Remove(a.now(), tag, name)
}
