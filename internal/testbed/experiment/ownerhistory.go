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

// callKind is what an operator asks for, as the request names it.
type callKind string

const (
	suspendCall callKind = "suspend"
	resumeCall  callKind = "resume"
	listCall    callKind = "list"
)

var callKinds = []callKind{suspendCall, resumeCall, listCall}

// operatorCall is one operator's call, for the check of the history.
type operatorCall struct {
	host string
	kind callKind
}

// request is the call as it is sent: a list is of all hosts.
func (c operatorCall) request() owneragent.Request {
	if c.kind == listCall {
		return owneragent.Request{Command: string(c.kind)}
	}
	return owneragent.Request{Command: string(c.kind), Argument: c.host}
}

// What is known of a call's effect, beside a list's true or false.
const (
	callDone    = "done"
	callUnknown = "unknown"
)

// registerModel is whether a host is out.
var registerModel = porcupine.Model{
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

// operatorHistory is operators' calls against a rig, and faults beside them.
type operatorHistory struct {
	rig        *Rig
	stop       chan struct{} // closed at the callers' end
	callers    sync.WaitGroup
	mu         sync.Mutex // protects operations
	operations []porcupine.Operation
	faultCount int
}

// startCallers has some operators call until the end.
func (h *operatorHistory) startCallers(n int) {
	for client := range n {
		h.callers.Add(1)
		go func() {
			defer h.callers.Done()
			h.callUntilStopped(client)
		}()
	}
}

// callUntilStopped has one operator call at random times, by way of the processes that do not vote.
func (h *operatorHistory) callUntilStopped(client int) {
	rng := rand.New(rand.NewPCG(uint64(client), 5))
	for {
		select {
		case <-h.stop:
			return
		case <-time.After(time.Duration(rng.IntN(300)) * time.Millisecond):
		}
		// A host that is no upstream host of anybody's: placement is not to follow from it.
		c := operatorCall{host: fmt.Sprintf("other%d", rng.IntN(3)), kind: callKinds[rng.IntN(len(callKinds))]}
		at := time.Now()
		rep, err := h.rig.Owners(3+rng.IntN(2), c.request())
		h.record(client, c, at, rep, err)
	}
}

// record adds a call and what is known of its effect.
func (h *operatorHistory) record(client int, c operatorCall, at time.Time, rep owneragent.Reply, err error) {
	op := porcupine.Operation{ClientId: client, Input: c, Call: at.UnixNano(), Output: callUnknown, Return: time.Now().UnixNano()}
	done := err == nil && rep.Error == "" && !strings.HasPrefix(rep.Answer, "unknown") && !strings.HasPrefix(rep.Answer, "refused")
	if done && c.kind == listCall {
		_, list, _ := strings.Cut(rep.Answer, ": ")
		op.Output = fmt.Sprint(slices.Contains(strings.Fields(list), c.host))
	} else if done {
		op.Output = callDone
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.operations = append(h.operations, op)
}

// end ends the callers.
func (h *operatorHistory) end() {
	close(h.stop)
	h.callers.Wait()
}

// check gives whether the calls can have happened one after the other. One that is unknown may have been done at any time after it was asked, or
// never.
func (h *operatorHistory) check() (ok bool, calls, unknown int) {
	last := time.Now().Add(time.Hour).UnixNano()
	byHost := map[string][]porcupine.Operation{}
	for _, op := range h.operations {
		c := op.Input.(operatorCall)
		if op.Output == callUnknown {
			unknown++
			if c.kind == listCall {
				continue
			}
			op.Return = last
			last++
		}
		op.ClientId = len(byHost[c.host]) // one that is unknown overlaps its client's next
		byHost[c.host] = append(byHost[c.host], op)
	}
	ok = true
	for _, ops := range byHost {
		ok = ok && porcupine.CheckOperations(registerModel, ops)
	}
	return ok, len(h.operations), unknown
}

// playFaults has a fault every 2 s, at the three voters: a minority at a time.
func (h *operatorHistory) playFaults(rng *rand.Rand, lasts time.Duration) {
	for end := time.Now().Add(lasts - 4*time.Second); time.Now().Before(end); h.faultCount++ {
		voter, other := rng.IntN(3), 0
		for other = rng.IntN(5); other == voter; other = rng.IntN(5) {
		}
		if h.rig.playVoterFault(voter, other, rng.IntN(5)) != nil {
			return
		}
	}
}

// voterFaultLasts is how long each fault of a voter lasts.
const voterFaultLasts = 2 * time.Second

// playVoterFault has one of five kinds of fault happen to a voter: it dies, stops, is cut off, cut off from one other, or loses datagrams.
func (r *Rig) playVoterFault(voter, other, kind int) error {
	during := func(set func(on bool)) {
		set(true)
		time.Sleep(voterFaultLasts)
		set(false)
	}
	switch kind {
	case 0:
		r.Procs[voter].Kill()
		time.Sleep(voterFaultLasts / 2)
		if err := r.Start(voter); err != nil {
			return err
		}
		time.Sleep(voterFaultLasts / 2)
	case 1:
		r.Procs[voter].Signal(syscall.SIGSTOP)
		time.Sleep(voterFaultLasts)
		r.Procs[voter].Signal(syscall.SIGCONT)
	case 2:
		during(func(on bool) { r.Cut(voter, on) })
	case 3:
		during(func(on bool) { r.Mesh.Set(voter, other, func(l *fake.Link) { l.Cut = on }) })
	case 4:
		touches := func(from, to int) bool { return from == voter || to == voter }
		r.setLinks(touches, func(l *fake.Link) { l.Loss, l.Duplicated = 0.3, 0.2 })
		time.Sleep(voterFaultLasts)
		r.setLinks(touches, func(l *fake.Link) { l.Loss, l.Duplicated = 0, 0 })
	}
	return nil
}
