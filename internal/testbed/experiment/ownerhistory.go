package experiment

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/anishathalye/porcupine"

	"croftlock/internal/fleet/owneragent"
	"croftlock/internal/testbed/fake"
)

// callKind is the command of an operator's call.
type callKind string

const (
	suspendCall callKind = "suspend"
	resumeCall  callKind = "resume"
	listCall    callKind = "list"
)

// callKinds lists the commands from which operators choose at random.
var callKinds = []callKind{suspendCall, resumeCall, listCall}

// operatorCall is the input of an operator's call in the history.
type operatorCall struct {
	host string
	kind callKind
}

// request returns the call's request. A list call has no argument, since it lists all hosts.
func (c operatorCall) request() owneragent.Request {
	if c.kind == listCall {
		return owneragent.Request{Command: string(c.kind)}
	}
	return owneragent.Request{Command: string(c.kind), Argument: c.host}
}

// The outputs of calls in the history. A list call that succeeds has the output true or false instead:
// whether its host is suspended.
const (
	callDone    = "done"
	callUnknown = "unknown"
)

// suspensionModel models a host as a register that holds whether the host is suspended.
var suspensionModel = porcupine.Model{
	Init: func() any { return false },
	Step: func(state, input, output any) (bool, any) {
		in := input.(operatorCall)
		switch in.kind {
		case suspendCall:
			return true, true
		case resumeCall:
			return true, false
		}
		return output.(string) == callUnknown || output.(string) == fmt.Sprint(state), state
	},
	Equal: func(a, b any) bool { return a == b },
}

// operatorHistory records the operators' calls on a rig during faults.
type operatorHistory struct {
	rig        *Rig
	stopping   chan struct{} // closed to stop the callers
	callers    sync.WaitGroup
	mu         sync.Mutex // protects operations
	operations []porcupine.Operation
	faultCount int
}

// startCallers starts n operators that make calls until stopCallers.
func (h *operatorHistory) startCallers(n int) {
	for client := range n {
		h.callers.Add(1)
		go func() {
			defer h.callers.Done()
			h.callUntilStopped(client)
		}()
	}
}

// callUntilStopped makes one operator's calls, at random intervals of up to 300 ms, to the processes that
// are not replicas.
func (h *operatorHistory) callUntilStopped(client int) {
	rng := rand.New(rand.NewPCG(uint64(client), 5))
	for {
		select {
		case <-h.stopping:
			return
		case <-time.After(time.Duration(rng.IntN(300)) * time.Millisecond):
		}
		// No upstream host has this ID, so the calls do not change placements.
		c := operatorCall{host: fmt.Sprintf("other%d", rng.IntN(3)), kind: callKinds[rng.IntN(len(callKinds))]}
		calledAt := time.Now()
		reply, err := h.rig.SendOwnerRequest(3+rng.IntN(2), c.request())
		h.record(client, c, calledAt, reply, err)
	}
}

// record adds a call and its output to the history. The output is callUnknown if the call failed, was
// refused or has an unknown outcome.
func (h *operatorHistory) record(client int, c operatorCall, calledAt time.Time, reply owneragent.Reply, err error) {
	operation := porcupine.Operation{ClientId: client, Input: c, Call: calledAt.UnixNano(), Output: callUnknown, Return: time.Now().UnixNano()}
	done := err == nil && reply.Error == "" && !strings.HasPrefix(reply.Answer, "unknown") && !strings.HasPrefix(reply.Answer, "refused")
	if done && c.kind == listCall {
		_, list, _ := strings.Cut(reply.Answer, ": ")
		operation.Output = fmt.Sprint(slices.Contains(strings.Fields(list), c.host))
	} else if done {
		operation.Output = callDone
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.operations = append(h.operations, operation)
}

// stopCallers stops the operators and waits until they have ended.
func (h *operatorHistory) stopCallers() {
	close(h.stopping)
	h.callers.Wait()
}

// check reports whether the history is linearizable, and returns the number of calls and of those with an
// unknown outcome. Such a call may have taken effect at any time after it was made, or never. It must not
// be called before stopCallers has returned.
func (h *operatorHistory) check() (linearizable bool, calls, unknown int) {
	last := time.Now().Add(time.Hour).UnixNano()
	byHost := map[string][]porcupine.Operation{}
	for _, operation := range h.operations {
		c := operation.Input.(operatorCall)
		if operation.Output == callUnknown {
			unknown++
			if c.kind == listCall {
				continue
			}
			operation.Return = last
			last++
		}
		// The ID is unique, since a call with an unknown outcome may overlap its client's next one.
		operation.ClientId = len(byHost[c.host])
		byHost[c.host] = append(byHost[c.host], operation)
	}
	linearizable = true
	for _, hostOperations := range byHost {
		linearizable = linearizable && porcupine.CheckOperations(suspensionModel, hostOperations)
	}
	return linearizable, len(h.operations), unknown
}

// injectFaults injects a fault every 2 s, at one of the three replicas at a time, so that a majority of
// them remains.
func (h *operatorHistory) injectFaults(rng *rand.Rand, duration time.Duration) {
	for end := time.Now().Add(duration - 4*time.Second); time.Now().Before(end); h.faultCount++ {
		voter, other := rng.IntN(3), 0
		for other = rng.IntN(5); other == voter; other = rng.IntN(5) {
		}
		if h.rig.injectVoterFault(voter, other, rng.IntN(5)) != nil {
			return
		}
	}
}

// voterFaultDuration is the duration of each fault of a replica.
const voterFaultDuration = 2 * time.Second

// injectVoterFault injects one of five kinds of fault at a replica: 0 kills it, 1 pauses it, 2 cuts it
// off, 3 cuts its link to one other process, 4 loses and duplicates its datagrams.
func (r *Rig) injectVoterFault(voter, other, kind int) error {
	during := func(set func(on bool)) {
		set(true)
		time.Sleep(voterFaultDuration)
		set(false)
	}
	switch kind {
	case 0:
		r.Procs[voter].Kill()
		time.Sleep(voterFaultDuration / 2)
		if err := r.Start(voter); err != nil {
			return err
		}
		time.Sleep(voterFaultDuration / 2)
	case 1:
		r.Procs[voter].Signal(syscall.SIGSTOP)
		time.Sleep(voterFaultDuration)
		r.Procs[voter].Signal(syscall.SIGCONT)
	case 2:
		during(func(on bool) { r.SetCutOff(voter, on) })
	case 3:
		during(func(on bool) { r.Mesh.UpdateLink(voter, other, func(l *fake.Link) { l.Cut = on }) })
	case 4:
		touches := func(from, to int) bool { return from == voter || to == voter }
		r.applyToLinks(touches, func(l *fake.Link) { l.Loss, l.Duplicates = 0.3, 0.2 })
		time.Sleep(voterFaultDuration)
		r.applyToLinks(touches, func(l *fake.Link) { l.Loss, l.Duplicates = 0, 0 })
	}
	return nil
}
