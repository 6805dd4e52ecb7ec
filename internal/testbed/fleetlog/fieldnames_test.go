package fleetlog

import (
	"maps"
	"testing"
)

// TestEarlierFieldNames checks that a line of an earlier version is read like the same line of this one.
func TestEarlierFieldNames(t *testing.T) {
	for _, c := range []struct{ what, earlier, current string }{
		{"counts",
			"counts open=1 pending=2 connections=3 opened=4 served=5 refused=6 failed=7 rejected=8 moved=9 lost=10 turned_away=11 expiring=12 handed=13 resumed=14 told=15 heard=16 probed=17",
			"counts open=1 pending=2 downstreams=3 opened=4 served=5 rejected=6 failed=7 invalid_requests=8 migrated=9 lost=10 over_capacity=11 expiring=12 handed_over=13 resumed=14 peer_messages_sent=15 peer_messages_received=16 health_checks=17"},
		{"shutdown summary", "left open=1 pending=2 connections=3 handing=4 broken=5 held_back=6",
			"shutdown_summary open=1 pending=2 downstreams=3 handovers=4 invariants_broken=5 invariants_blocked=6"},
		{"invariants", "invariants broken=1 held_back=2", "invariant_counts broken=1 blocked=2"},
		{"handshakes", "tls_counts full=1 waiting=2 out=3 sessions=4", "tls_counts full=1 queued=2 in_flight=3 sessions=4"},
		{"expiring certificates", "moved_expiring connections=1 standing=2", "expiring_migrated connections=1 open=2"},
		{"process start", "ready hosts=1 sessions=2", "ready hosts=1 max_downstreams=2"},
		{"hot restart requested", "handover_asked sessions=2", "hot_restart_requested downstreams=2"},
		{"hot restart handed over", "handed_over sessions=2", "hot_restart_handed_over downstreams=2"},
		{"hot restart taken back", "taken_back sessions=2", "hot_restart_taken_back downstreams=2"},
		{"a request", "asked request=q repeat=true returned=false", "request_received request=q retry=true returned=false"},
		{"applied rules", "ruled request=q refused=true lapsed=false", "rules_applied request=q rejected=true lapsed=false"},
		{"end of an attempt", "outcome request=q status=ok up=true", "attempt_ended request=q status=ok established=true"},
		{"a suspension", "by_hand host=a out=true", "host_suspended host=a suspended=true"},
		{"a ready host", "host host=a state=0", "host_updated host=a state=ready"},
		{"a draining host", "host host=a state=1", "host_updated host=a state=draining"},
		{"a removed host", "host host=a state=2", "host_updated host=a state=removed"},
		{"a suspended host", "host host=a state=3", "host_updated host=a state=suspended"},
		{"a failed store", "store_failed reason=full needs_kb=8192 tried_again=true", "store_failed reason=full max_store_kb=8192 retryable=true"},
		{"a failed store with the current name retryable", "store_failed reason=full needs_kb=8192 retryable=true", "store_failed reason=full max_store_kb=8192 retryable=true"},
		{"a released job", "owns_no_more job=hosts token=3 reason=assigned_to_other", "job_released job=hosts token=3 reason=no_longer_listed"},
		{"a field renamed only in other events", "attempt request=q moved=1 rejected=2 state=0", "attempt_started request=q moved=1 rejected=2 state=0"},
	} {
		const at = "2026/01/02 03:04:05.000006 event="
		earlier, earlierOK := parse(at + c.earlier)
		current, currentOK := parse(at + c.current)
		if !earlierOK || !currentOK || earlier.Name != current.Name || !maps.Equal(earlier.Fields, current.Fields) {
			t.Errorf("%s: parse(%q) = %+v, %t; parse(%q) = %+v, %t; want equal events", c.what, c.earlier, earlier, earlierOK, c.current, current, currentOK)
		}
	}
}

// TestCurrentFieldNames guards against reading a field of this version as the earlier field of the same
// name.
func TestCurrentFieldNames(t *testing.T) {
	e, ok := parse("2026/01/02 03:04:05.000006 event=counts rejected=6 invalid_requests=8")
	if want := map[string]string{"rejected": "6", "invalid_requests": "8"}; !ok || !maps.Equal(e.Fields, want) {
		t.Errorf("fields of a current counts line = %v (parsed: %t), want %v", e.Fields, ok, want)
	}
}
