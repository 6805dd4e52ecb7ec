package simulator

import (
	"encoding/base64"
	"encoding/json"
	"fmt"
	"strconv"

	"croftlock/internal/balancer"
)

// writer builds a reply; it is written only once it is whole.
type writer struct {
	buf      []byte
	any      bool
	balancer string
}

func (w *writer) start() {
	w.buf = append(w.buf[:0], `{"outbox":[`...)
	w.any = false
}

func (w *writer) finish() []byte {
	w.buf = append(w.buf, "]}\n"...)
	return w.buf
}

func (w *writer) action(name string) *writer {
	if w.any {
		w.buf = append(w.buf, ',')
	}
	w.any = true
	w.buf = append(w.buf, `{"event_type":"`...)
	w.buf = append(w.buf, name...)
	w.buf = append(w.buf, '"')
	return w.text("balancer", w.balancer)
}

func (w *writer) key(name string) {
	w.buf = append(w.buf, ',', '"')
	w.buf = append(w.buf, name...)
	w.buf = append(w.buf, '"', ':')
}

func (w *writer) text(name, value string) *writer {
	w.key(name)
	quoted, _ := json.Marshal(value) // a string always marshals
	w.buf = append(w.buf, quoted...)
	return w
}

func (w *writer) number(name string, value int64) *writer {
	w.key(name)
	w.buf = strconv.AppendInt(w.buf, value, 10)
	return w
}

func (w *writer) end() { w.buf = append(w.buf, '}') }

// effects turns what one instance does into actions of the reply.
type effects struct {
	host     *Host
	balancer string
}

func (f *effects) action(name string) *writer {
	f.host.out.balancer = f.balancer
	return f.host.out.action(name)
}

func (f *effects) StartAttempt(request, server string, timeout balancer.Time) {
	f.action("Dispatch").text("request_id", request).text("server", server).number("allow_for", timeout).end()
}

func (f *effects) Reject(request string, retryAfter balancer.Time) {
	w := f.action("Deny").text("request_id", request)
	if retryAfter > 0 {
		w.number("hold_off", retryAfter)
	}
	w.end()
}

func (f *effects) Fail(request string) { f.action("Surrender").text("request_id", request).end() }

func (f *effects) CancelAttempt(request string, attempt int) {
	f.action("Revoke").text("request_id", request).number("seq_no", int64(attempt)).end()
}

func (f *effects) Migrate(request string) { f.action("GoAway").text("request_id", request).end() }

func (f *effects) HealthCheck(server string) { f.action("Sample").text("server", server).end() }

func (f *effects) SendToPeer(peer int, data []byte) {
	w := f.action("MemoTo")
	if peer >= 0 {
		w.number("dst", int64(peer))
	}
	w.text("contents", base64.StdEncoding.EncodeToString(data)).end()
}

func (f *effects) WatchList(on bool) {
	w := f.action("Subscribe")
	w.key("want")
	w.buf = strconv.AppendBool(w.buf, on)
	w.end()
}

func (f *effects) FetchList() { f.action("ReadList").end() }

func (f *effects) Schedule(delay balancer.Time, token string) {
	f.action("Defer").number("after", delay).text("ref", token).end()
}

func (f *effects) Report(e balancer.Event) {
	f.action("Print").text("message", eventText(e)).end()
}

// eventText is the sentence that an event is on the simulator's wire.
func eventText(e balancer.Event) string {
	switch e := e.(type) {
	case balancer.HostEjected:
		return fmt.Sprintf("server %s fails to connect, quarantined for %d ms", e.Host, e.Ejection/1e6)
	case balancer.HostReadmitted:
		return "server " + e.Host + " accepts again, back in the pool"
	case balancer.LedgerPolled:
		return fmt.Sprintf("the book of balancer %d is asked", e.Coordinator)
	case balancer.LedgerUnreachable:
		return "no book answers, on its own"
	}
	return fmt.Sprintf("%T", e)
}
