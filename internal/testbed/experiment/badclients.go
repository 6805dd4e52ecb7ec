package experiment

import (
	"fmt"
	"sync"
	"time"
)

// badClientLimits are a platform's limits for a proxy.
type badClientLimits struct {
	memoryMB    float64
	descriptors int
	halfCore    bool // the process runs for half of the time
}

// badClientLimitSets are the largest and the smallest limits of the platform.
var badClientLimitSets = []badClientLimits{{192, 1024, false}, {32, 256, false}, {32, 256, true}}

// String returns the limits as a table names them.
func (l badClientLimits) String() string {
	cores := "1 core"
	if l.halfCore {
		cores = "half a core"
	}
	return fmt.Sprintf("%.0f MB, %d descriptors, %s", l.memoryMB, l.descriptors, cores)
}

const (
	badClientHosts    = 4
	soundInterval     = 50 * time.Millisecond // between two sound clients
	soundStay         = 500 * time.Millisecond
	soundDeadline     = 4800 * time.Millisecond
	lineObjective     = time.Second // for the answer to a line
	soundConnections  = 10          // that stay open and carry lines
	soundLineInterval = 200 * time.Millisecond
	halfCorePeriod    = 20 * time.Millisecond
)

// BadClientResult is what sound clients and the machine see of a proxy beside bad clients.
type BadClientResult struct {
	Kind         string  // of bad clients; "nobody else" for none
	AnswerMS     samples // of sound clients, from the request
	TotalMS      samples // of sound clients, from the attempt to connect
	LineMS       samples
	Served       int   // sound clients
	Rejected     int   // sound clients
	Unanswered   int   // sound clients without an answer, or with a late one
	Lost         int   // open connections of sound clients that ended without a migration
	PeakMemory   int64 // resident, in bytes, since the start of the process
	Descriptors  int   // the most that were open at once
	Ended        int64 // connections of bad clients
	Overdue      int64 // of these, neither answered nor closed in time
	CPUPerClient time.Duration
	Repeated     int  // request IDs that hosts received more than once
	Died         bool // the process ended
}

// badClients measures what sound clients see beside bad clients of each kind, at each set of limits.
func badClients(e *Env, r *Report) error {
	const each = 8 * time.Second
	for _, limits := range badClientLimitSets {
		results, err := playBadClients(e, limits, each)
		if err != nil {
			return err
		}
		reportBadClients(r, limits, results)
	}
	return nil
}

// reportBadClients adds a table and the bounds for one set of limits.
func reportBadClients(r *Report, limits badClientLimits, results []BadClientResult) {
	title := limits.String()
	r.StartTable(title, "bad clients", "ms to an answer, p50 p99", "with the connect, p50 p99", "ms to a line's answer, p50 p99", "served rejected unanswered lost", "peak MB", "descriptors",
		"ended a second", "CPU us each")
	for _, x := range results {
		r.AddRow(title, x.Kind, x.AnswerMS.medianAndP99(), x.TotalMS.medianAndP99(), x.LineMS.medianAndP99(), fmt.Sprint(x.Served, x.Rejected, x.Unanswered, x.Lost),
			float64(x.PeakMemory)/(1<<20), x.Descriptors, x.Ended, float64(x.CPUPerClient)/1e3)
		for _, fault := range x.Faults(limits.memoryMB, limits.descriptors) {
			r.Check(false, title+", "+x.Kind, fault)
		}
	}
	r.Check(len(results) == len(badClientKinds)+1, title+": pictures played", len(results))
}

// medianAndP99 formats the median and the 99% quantile.
func (s samples) medianAndP99() string { return fmt.Sprintf("%.3g %.3g", s.median(), s.quantile(0.99)) }

// Faults returns what breaks the platform's rules or limits.
func (x *BadClientResult) Faults(memoryMB float64, descriptors int) (faults []string) {
	add := func(broken bool, format string, args ...any) {
		if broken {
			faults = append(faults, fmt.Sprintf(format, args...))
		}
	}
	add(x.Died, "the process ended")
	add(float64(x.PeakMemory) > memoryMB*(1<<20), "%d bytes resident, at most %.0f MB", x.PeakMemory, memoryMB)
	add(x.Descriptors > descriptors, "%d descriptors, at most %d", x.Descriptors, descriptors)
	add(x.Unanswered > 0, "%d sound clients without an answer in time", x.Unanswered)
	add(x.Lost > 0, "%d open connections lost", x.Lost)
	add(x.LineMS.quantile(1) > float64(lineObjective/time.Millisecond), "a line's answer after %.0f ms, at most %v", x.LineMS.quantile(1), lineObjective)
	add(x.Overdue > 0, "%d bad clients neither answered nor closed in time", x.Overdue)
	add(x.Repeated > 0, "%d request IDs received more than once", x.Repeated)
	return faults
}

// PlayBadClients plays each kind of bad client for the given time at a proxy with a limit on its memory, in MB,
// and on its descriptors.
func PlayBadClients(e *Env, memoryMB float64, descriptors int, each time.Duration) ([]BadClientResult, error) {
	return playBadClients(e, badClientLimits{memoryMB: memoryMB, descriptors: descriptors}, each)
}

// playBadClients plays nobody else and then each kind of bad client, each beside sound clients at a process
// of its own.
func playBadClients(e *Env, limits badClientLimits, each time.Duration) (results []BadClientResult, err error) {
	kinds := append([]badClientKind{{name: "nobody else"}}, badClientKinds...)
	for _, kind := range kinds {
		x, err := playBadClientKind(e, kind, limits, each)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", kind.name, err)
		}
		e.Logf("%s: %s: answers %s ms, lines %s ms", limits, kind.name, x.AnswerMS.medianAndP99(), x.LineMS.medianAndP99())
		results = append(results, x)
	}
	return results, nil
}

// playBadClientKind plays one kind of bad client.
func playBadClientKind(e *Env, kind badClientKind, limits badClientLimits, each time.Duration) (x BadClientResult, err error) {
	u, err := newUpstreams(e, badClientHosts, false)
	if err != nil {
		return x, err
	}
	defer u.close()
	p, err := e.Proxy(Setup{Name: "n0", Discovery: u.discovery.Addr(), InitialList: u.discovery.List(), MemoryMB: limits.memoryMB,
		MaxDescriptors: limits.descriptors, Deadline: soundDeadline})
	if err != nil {
		return x, err
	}
	defer p.Kill()
	persistent := &persistentClients{answers: newAnswerCounts(), interval: soundLineInterval}
	if err := persistent.connect(p.Addr, soundConnections, "", soundDeadline); err != nil {
		return x, err
	}
	defer persistent.stop()
	stop := make(chan struct{})
	var running sync.WaitGroup
	inBackground := func(f func()) {
		running.Add(1)
		go func() {
			defer running.Done()
			f()
		}()
	}
	counts, sound := &badClientCounts{}, &soundClients{answers: newAnswerCounts()}
	if limits.halfCore {
		inBackground(func() { p.runHalfOfTheTime(stop) })
	}
	for i := range kind.clients {
		inBackground(func() { kind.run(&badClient{proxy: p.Addr, number: i, stop: stop, counts: counts}) })
	}
	inBackground(func() { sound.run(p.Addr, stop) })
	startedAt, cpu := time.Now(), p.CPUTime()
	for time.Since(startedAt) < each {
		x.Descriptors = max(x.Descriptors, p.Descriptors())
		time.Sleep(50 * time.Millisecond)
	}
	x.Ended, x.Overdue = counts.connections.Load(), counts.overdue.Load()
	x.CPUPerClient = (p.CPUTime() - cpu) / time.Duration(max(1, x.Ended))
	x.Ended /= int64(each / time.Second)
	x.PeakMemory = p.PeakMemory()
	x.LineMS = persistent.latenciesBetween(startedAt, time.Now())
	close(stop)
	running.Wait()
	persistent.mu.Lock()
	x.Lost = len(persistent.lost)
	persistent.mu.Unlock()
	select {
	case <-p.Done():
		x.Died = true
	default:
	}
	x.Kind, x.AnswerMS, x.TotalMS = kind.name, sound.answers.milliseconds, sound.totalMS
	x.Served, x.Rejected = sound.answers.count("UP"), sound.answers.count("BUSY")
	x.Unanswered = sound.answers.total() - x.Served - x.Rejected + sound.answers.late
	for _, server := range u.servers {
		_, repeated := server.Requests()
		x.Repeated += repeated
	}
	return x, nil
}
