package fleetlog

// earlierFields are the fields that had another name in earlier versions, by the present name of their event. A field whose earlier
// name means something else now is read as the earlier one where its line has marker, which only lines of that style have.
var earlierFields = map[string]struct {
	marker string
	names  map[string]string
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

// earlierHostStates are the states of a host as earlier versions logged them.
var earlierHostStates = map[string]string{"0": "ready", "1": "draining", "2": "removed", "3": "suspended"}

// currentFields gives an event's fields the names and values that they have now.
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
