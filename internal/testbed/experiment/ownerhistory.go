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

// operatorCall is one operator's word, for the check of the history.
type operatorCall struct {
	host string
	kind string // suspend, resume, list
}

// registerModel is whether a host is out.
var registerModel = porcupine.Model{
	Init: func() any { return false },
	Step: func(state, input, output any) (bool, any) {
		in := input.(operatorCall)
		switch in.kind {
		case "suspend":
			return true, true
		case "resume":
			return true, false
		}
		return output.(string) == "unknown" || output.(string) == fmt.Sprint(state), state
	},
	Equal: func(a, b any) bool { return a == b },
}

// operatorHistory is operators' calls against a rig, and faults beside them.
type operatorHistory struct {
	rig        *Rig
	stop       chan struct{}
	callers    sync.WaitGroup
	mu         sync.Mutex
	operations []porcupine.Operation
	faultCount int
}

// startCallers has some operators call.
func (h *operatorHistory) startCallers(n int) {
	for k := range n {
		h.callers.Add(1)
		go func() {
			defer h.callers.Done()
			rng := rand.New(rand.NewPCG(uint64(k), 5))
			for {
				select {
				case <-h.stop:
					return
				case <-time.After(time.Duration(rng.IntN(300)) * time.Millisecond):
				}
				// A host that is no upstream host of anybody's: placement is not to follow from it.
				c := operatorCall{host: fmt.Sprintf("other%d", rng.IntN(3)), kind: []string{"suspend", "resume", "list"}[rng.IntN(3)]}
				at := time.Now()
				rep, err := h.rig.Owners(3+rng.IntN(2), owneragent.Request{Do: c.kind, A: map[bool]string{true: "", false: c.host}[c.kind == "list"]})
				h.record(k, c, at, rep, err)
			}
		}()
	}
}

func (h *operatorHistory) record(client int, c operatorCall, at time.Time, rep owneragent.Reply, err error) {
	op := porcupine.Operation{ClientId: client, Input: c, Call: at.UnixNano(), Output: "unknown", Return: time.Now().UnixNano()}
	done := err == nil && rep.Error == "" && !strings.HasPrefix(rep.Answer, "unknown") && !strings.HasPrefix(rep.Answer, "refused")
	if done && c.kind == "list" {
		_, list, _ := strings.Cut(rep.Answer, ": ")
		op.Output = fmt.Sprint(slices.Contains(strings.Fields(list), c.host))
	} else if done {
		op.Output = "done"
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.operations = append(h.operations, op)
}

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
		if op.Output == "unknown" {
			unknown++
			if c.kind == "list" {
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

// playFaults has one every 2 s, at the three voters: a minority at a time.
func (h *operatorHistory) playFaults(rng *rand.Rand, lasts time.Duration) {
	r := h.rig
	for end := time.Now().Add(lasts - 4*time.Second); time.Now().Before(end); h.faultCount++ {
		i, j := rng.IntN(3), 0
		for j = rng.IntN(5); j == i; j = rng.IntN(5) {
		}
		one := func(change func(l *fake.Link)) {
			for k := range 5 {
				if k != i {
					r.Mesh.Set(i, k, change)
					r.Mesh.Set(k, i, change)
				}
			}
		}
		switch rng.IntN(5) {
		case 0:
			r.Procs[i].Kill()
			time.Sleep(time.Second)
			if r.Start(i) != nil {
				return
			}
			time.Sleep(time.Second)
		case 1:
			r.Procs[i].Signal(syscall.SIGSTOP)
			time.Sleep(2 * time.Second)
			r.Procs[i].Signal(syscall.SIGCONT)
		case 2:
			r.Cut(i, true)
			time.Sleep(2 * time.Second)
			r.Cut(i, false)
		case 3:
			r.Mesh.Set(i, j, func(l *fake.Link) { l.Cut = true })
			time.Sleep(2 * time.Second)
			r.Mesh.Set(i, j, func(l *fake.Link) { l.Cut = false })
		case 4:
			one(func(l *fake.Link) { l.Loss = 0.3; l.Twice = 0.2 })
			time.Sleep(2 * time.Second)
			one(func(l *fake.Link) { l.Loss, l.Twice = 0, 0 })
		}
	}
}
