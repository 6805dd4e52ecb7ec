package simulator

import (
	"encoding/base64"
	"fmt"

	"croftlock/internal/balancer"
)

// effects implements balancer.Effects. It writes the effects of one balancer as actions of the reply.
type effects struct {
	reply    *reply
	balancer string
}

// begin begins an action of the balancer.
func (fx *effects) begin(name string) *reply {
	fx.reply.balancer = fx.balancer
	return fx.reply.begin(name)
}

// StartAttempt implements balancer.Effects.
func (fx *effects) StartAttempt(request, host string, timeout balancer.Time) {
	fx.begin("Dispatch").text("request_id", request).text("server", host).number("allow_for", timeout).end()
}

// Reject implements balancer.Effects.
func (fx *effects) Reject(request string, retryAfter balancer.Time) {
	w := fx.begin("Deny").text("request_id", request)
	if retryAfter > 0 {
		w.number("hold_off", retryAfter)
	}
	w.end()
}

// Fail implements balancer.Effects.
func (fx *effects) Fail(request string) { fx.begin("Surrender").text("request_id", request).end() }

// CancelAttempt implements balancer.Effects.
func (fx *effects) CancelAttempt(request string, attempt int) {
	fx.begin("Revoke").text("request_id", request).number("seq_no", int64(attempt)).end()
}

// Migrate implements balancer.Effects.
func (fx *effects) Migrate(request string) { fx.begin("GoAway").text("request_id", request).end() }

// HealthCheck implements balancer.Effects.
func (fx *effects) HealthCheck(host string) { fx.begin("Sample").text("server", host).end() }

// SendToPeer implements balancer.Effects.
func (fx *effects) SendToPeer(peer int, data []byte) {
	w := fx.begin("MemoTo")
	if peer >= 0 {
		w.number("dst", int64(peer))
	}
	w.text("contents", base64.StdEncoding.EncodeToString(data)).end()
}

// WatchList implements balancer.Effects.
func (fx *effects) WatchList(on bool) { fx.begin("Subscribe").flag("want", on).end() }

// FetchList implements balancer.Effects.
func (fx *effects) FetchList() { fx.begin("ReadList").end() }

// Schedule implements balancer.Effects.
func (fx *effects) Schedule(delay balancer.Time, token string) {
	fx.begin("Defer").number("after", delay).text("ref", token).end()
}

// Report implements balancer.Effects.
func (fx *effects) Report(e balancer.Event) { fx.begin("Print").text("message", eventText(e)).end() }

// eventText returns the message of a Print action for an event: a fixed sentence, or the name of the
// event's type if it has none.
func eventText(e balancer.Event) string {
	switch e := e.(type) {
	case balancer.HostEjected:
		return fmt.Sprintf("server %s fails to connect, quarantined for %d ms", e.Host, e.Duration/1e6)
	case balancer.HostReadmitted:
		return "server " + e.Host + " accepts again, back in the pool"
	case balancer.LedgerServerChanged:
		return fmt.Sprintf("the book of balancer %d is asked", e.LedgerServer)
	case balancer.AssignmentOutdated:
		return fmt.Sprintf("the book of balancer %d is older than the list here about server %s", e.LedgerServer, e.Host)
	case balancer.LedgerUnreachable:
		return "no book answers, on its own"
	}
	return fmt.Sprintf("%T", e)
}
