package proxy

import (
	"log/slog"
	"math"
	"time"

	"croftlock/internal/balancer"
)

const (
	sessionCheckInterval = 250 * time.Millisecond
	// hostSilenceTimeout is how long a client's line may go unanswered before the host counts as silent. Clients send every
	// 2 s and a silent host must be left within 7 s, so the first unanswered line is at most 2 s late.
	hostSilenceTimeout = 4500 * time.Millisecond
	// maxUnansweredLines bounds how many unanswered lines are remembered for one connection.
	maxUnansweredLines = 16
	// latencyReportInterval is how often the module is told of a slow host.
	latencyReportInterval = int64(time.Second)
)

// messageDelay is how long messages take at one host, as seen on all its connections from here.
type messageDelay struct {
	took   int64 // of the last line that was answered
	at     int64 // when that was
	noted  int64 // when the module was last told
	slow   bool  // the last note said so
	oldest int64 // scratch: when the oldest line without an answer went up

	told    float64 // milliseconds, as the host last said itself
	toldAt  int64
	smallAt int64 // when its last figure came that may have been a delay, whatever it was taken for
	smallOn *upstreamRequest
	small   float64
}

// running tells whether the host is telling its delays itself.
func (d *messageDelay) running(now int64) bool { return d.toldAt > 0 && now-d.toldAt < delayRunGap }

func (d *messageDelay) answered(now, sent int64) { d.took, d.at = now-sent, now }

// What a load told by a host must be under to be taken for a delay.
const (
	// maxFirstDelay begins a run of delays: no message that takes longer waits for its answer, and connections whose load
	// is a thousandth of a core and still worth telling are not seen.
	maxFirstDelay = 2500
	// maxDelayStep is how far one delay may lie from the one a second before it, however large both are: work piles
	// up no faster than it comes.
	maxDelayStep = 2000
	// minPlausibleLoad is under any load that was seen: the smallest was 1,747.
	minPlausibleLoad = 500
	// minPlausibleFirstLoad is under any first load that was seen, and over most delays. A proxy with one connection at a host hears
	// of its trouble on that one, often before its load; taken for a load, that hides the trouble for good.
	minPlausibleFirstLoad = 1500
	// maxPlausibleDelay is over any delay that was seen.
	maxPlausibleDelay = 4000
	// steadyTolerance is how far apart from a full second two delays may come.
	steadyTolerance = int64(40 * time.Millisecond)
	// steadyToleranceWithLoad is the same where the host tells its load as well: a chance meeting of two loads then is the greater risk.
	steadyToleranceWithLoad = int64(20 * time.Millisecond)
	// queueingLoad is the load, as a share of what the host can do, from which messages may wait, and loadedFor how long
	// such a word counts.
	queueingLoad        = 0.8
	checkedLoadValidity = int64(3500 * time.Millisecond)
	// maxLoadRatio is how many times over a connection's load may change for a figure to be taken for it.
	maxLoadRatio = 3
	// delayRunGap is how soon the next delay of a run follows.
	delayRunGap = int64(1500 * time.Millisecond)
)

// isDelay tells whether a figure in a host's LOAD line is not the connection's load but how long messages take there.
//
// Hosts send both in the same form, with nothing to tell them apart. The delay comes once a second, on one connection
// of each proxy, while messages are slow, with a last one once they are not; it is milliseconds, and a load is
// microseconds of work a second. Taken for a load it does harm twice: the module believes that the busiest connection
// of an overfull host asks for next to nothing, and sends the host more; and nobody tells it that messages are slow.
// The first figure of a connection is its load, unless it is too small for one: not every host says it right after its
// acceptance. From then on a figure near that of a connection with a small load is a load again: taken for a delay of two
// seconds it makes the module move clients off a sound host and refuse new ones. load is the connection's last one, 0
// before the first.
//
// Delays come on a steady second, which two changes of load hardly do: that shows those that were not seen at first.
func (d *messageDelay) isDelay(now int64, x, load float64) bool {
	steady := d.smallAt > 0 && max(now-d.smallAt-latencyReportInterval, d.smallAt+latencyReportInterval-now) < steadyTolerance
	switch {
	case x < minPlausibleLoad, steady && x < maxPlausibleDelay, load == 0 && x < minPlausibleFirstLoad:
		return true
	case d.running(now):
		return math.Abs(x-d.told) < maxDelayStep && math.Abs(x-d.told) <= math.Abs(x-load)
	case load == 0:
		return false
	}
	return x < maxFirstDelay && (x*maxLoadRatio < load || x > load*maxLoadRatio)
}

// isDelayGivenLoad is isDelay for a host that has told how loaded it is, which shows what its figures mean: with room left no
// message waits, however small a load is. Loads are no larger for being another organisation's: what an idle connection asks
// for may be a tenth of what was the least elsewhere, and taken for delays such figures made a proxy refuse all that came
// to a fleet at two fifths. A first delay that is taken for a load is put right by the next one, a second later.
func (d *messageDelay) isDelayGivenLoad(now int64, x float64, on *upstreamRequest, loaded float64) bool {
	steady := d.smallAt > 0 && max(now-d.smallAt-latencyReportInterval, d.smallAt+latencyReportInterval-now) < steadyToleranceWithLoad
	return x < maxPlausibleDelay && (steady && (d.smallOn == on || x < minPlausibleLoad) || loaded >= queueingLoad && x < minPlausibleLoad)
}

// loadFigureReceived takes the figure of a LOAD line.
func (a *upstreamRequest) loadFigureReceived(x float64) {
	c, d := a.request.core, &a.host.latency
	now := c.loop.Now()
	delay, tells := false, a.host.checkedAt > 0 && now-a.host.checkedAt < checkedLoadValidity
	if c.opt.DelayInLoad {
		if tells {
			delay = d.isDelayGivenLoad(now, x, a, a.host.checkedLoad)
		} else {
			delay = d.isDelay(now, x, a.load)
		}
	}
	kind, wrong := balancer.ObservedLoad, delay && tells && d.smallOn == a && a.load == d.small
	if x < maxPlausibleDelay {
		d.smallAt, d.smallOn, d.small = now, a, x
	}
	switch {
	case delay:
		kind, d.told, d.toldAt = balancer.ObservedLatency, x, now
		if wrong && a.previousLoad > 0 {
			// What was taken for this connection's load was the first delay.
			a.load = a.previousLoad
			c.notify(nil, a.request.pool, func(now balancer.Time, m Balancer) {
				m.Observe(now, a.request.attributes.ID, a.number, balancer.ObservedLoad, a.previousLoad)
			})
		} else if a.load < maxPlausibleDelay {
			a.load = 0 // it may have been a delay itself
		}
	default:
		a.previousLoad, a.load = a.load, max(x, math.SmallestNonzeroFloat64)
	}
	if tracing() {
		slog.Debug("load_reported", "request", a.request.attributes.ID, "host", a.host.id, "delay", kind == balancer.ObservedLatency, "value", x)
	}
	c.notify(nil, a.request.pool, func(now balancer.Time, m Balancer) { m.Observe(now, a.request.attributes.ID, a.number, kind, x) })
}

// monitorSessions looks for hosts that have fallen silent and tells the module of slow ones.
func (c *Core) monitorSessions() {
	c.loop.After(sessionCheckInterval, c.monitorSessions)
	now := c.loop.Now()
	c.logCountsIfDue(now)
	for _, h := range c.hosts {
		h.latency.oldest = 0
		for r := range h.established {
			a := r.attempt
			if len(a.unansweredSince) == 0 {
				continue
			}
			sent := a.unansweredSince[0]
			if now-sent >= int64(hostSilenceTimeout) {
				// The machine has vanished or hangs, and TCP does not tell. The client must not wait for it.
				slog.Warn("host_silent", "host", h.id, "request", r.attributes.ID, "ms", (now-sent)/1e6)
				c.counters.lost++
				r.migrate(balancer.Reset)
				continue
			}
			if h.latency.oldest == 0 || sent < h.latency.oldest {
				h.latency.oldest = sent
			}
		}
		c.reportLatency(h, now)
	}
}

// reportLatency tells the module once a second how long messages take at a host, while that is over a third of the
// shortest aim, and once more when it is back under: what the settings promise as notes of kind 2.
func (c *Core) reportLatency(h *host, now int64) {
	aim := int64(0)
	for _, k := range c.opt.Settings.Classes {
		if k.MessageLatencyObjective > 0 && (aim == 0 || k.MessageLatencyObjective < aim) {
			aim = k.MessageLatencyObjective
		}
	}
	d := &h.latency
	if aim == 0 || len(h.established) == 0 || now-d.noted < latencyReportInterval {
		return
	}
	if d.running(now) {
		return // the host tells it itself, and knows better
	}
	took := int64(0)
	if now-d.at < 2*latencyReportInterval {
		took = d.took
	}
	if d.oldest > 0 {
		took = max(took, now-d.oldest)
	}
	slow := took > aim/3
	if !slow && !d.slow {
		return
	}
	d.slow, d.noted = slow, now
	for r := range h.established {
		a := r.attempt
		c.notify(nil, r.pool, func(now balancer.Time, m Balancer) {
			m.Observe(now, r.attributes.ID, a.number, balancer.ObservedLatency, float64(took)/1e6)
		})
		return
	}
}
