package fleetlog

// earlierFields maps, by the current name of the event, the names of fields in earlier versions to the
// current ones. Some earlier names mean something else now, so names are mapped only in a line that has
// the field marker, which only lines of the earlier version have.
var earlierFields = map[string]struct {
	marker string            // field that only lines of the earlier version have
	names  map[string]string // current field name by earlier name
}{
	"counts": {"refused", map[string]string{
		"connections": "downstreams",
		"refused":     "rejected",
		"rejected":    "invalid_requests",
		"moved":       "migrated",
		"turned_away": "over_capacity",
		"handed":      "handed_over",
		"told":        "peer_messages_sent",
		"heard":       "peer_messages_received",
		"probed":      "health_checks",
	}},
	"shutdown_summary": {"handing", map[string]string{
		"connections": "downstreams",
		"handing":     "handovers",
		"broken":      "invariants_broken",
		"held_back":   "invariants_blocked",
	}},
	"request_received":        {"repeat", map[string]string{"repeat": "retry"}},
	"rules_applied":           {"refused", map[string]string{"refused": "rejected"}},
	"attempt_ended":           {"up", map[string]string{"up": "established"}},
	"host_suspended":          {"out", map[string]string{"out": "suspended"}},
	"invariant_counts":        {"held_back", map[string]string{"held_back": "blocked"}},
	"tls_counts":              {"out", map[string]string{"out": "in_flight", "waiting": "queued"}},
	"store_failed":            {"needs_kb", map[string]string{"needs_kb": "max_store_kb", "tried_again": "retryable"}},
	"expiring_migrated":       {"standing", map[string]string{"standing": "open"}},
	"ready":                   {"sessions", map[string]string{"sessions": "max_downstreams"}},
	"hot_restart_requested":   {"sessions", map[string]string{"sessions": "downstreams"}},
	"hot_restart_handed_over": {"sessions", map[string]string{"sessions": "downstreams"}},
	"hot_restart_taken_back":  {"sessions", map[string]string{"sessions": "downstreams"}},
}

// earlierHostStates maps the host states that earlier versions logged to the current ones.
var earlierHostStates = map[string]string{"0": "ready", "1": "draining", "2": "removed", "3": "suspended"}

// currentFields returns an event's fields with their current names and values. It may change fields.
func currentFields(event string, fields map[string]string) map[string]string {
	if event == "host_updated" {
		if state, earlier := earlierHostStates[fields["state"]]; earlier {
			fields["state"] = state
		}
	}
	if event == "job_released" && fields["reason"] == "assigned_to_other" {
		fields["reason"] = "no_longer_listed"
	}
	renamed := earlierFields[event]
	if _, earlier := fields[renamed.marker]; !earlier {
		return fields
	}
	current := make(map[string]string, len(fields))
	for name, value := range fields {
		if currentName, ok := renamed.names[name]; ok {
			name = currentName
		}
		current[name] = value
	}
	return current
}
