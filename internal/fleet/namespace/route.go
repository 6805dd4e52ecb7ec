package namespace

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
)

// Route decides the requests that match all its conditions. An empty condition matches every
// request. If several routes match, the most specific one decides: group counts before key prefix,
// a longer prefix before a shorter one, then class, zone, window and share.
type Route struct {
	Name   string `cbor:"1,keyasint"`
	Group  string `cbor:"2,keyasint,omitempty"`
	Prefix string `cbor:"3,keyasint,omitempty"` // of the flow's key
	Class  string `cbor:"4,keyasint,omitempty"`
	Zone   string `cbor:"5,keyasint,omitempty"` // of the proxy
	// ShareFrom and ShareTo select the flows for which a hash of the account and the flow's key, from
	// 0 to WholeShare, is in [ShareFrom, ShareTo). The hash is the same at every proxy and in every
	// rules version. If both are 0, the route matches all flows.
	ShareFrom uint16 `cbor:"6,keyasint,omitempty"` // hundredths of a percent
	ShareTo   uint16 `cbor:"7,keyasint,omitempty"`
	// WindowBegin and WindowEnd bound a time of day in UTC. The window may span midnight. If both
	// are 0, the route matches all day.
	WindowBegin uint16 `cbor:"8,keyasint,omitempty"` // minutes since midnight
	WindowEnd   uint16 `cbor:"9,keyasint,omitempty"`

	Pool             string   `cbor:"10,keyasint,omitempty"`
	Fallbacks        []string `cbor:"11,keyasint,omitempty"` // pools in order; each is used if the pools before it have no usable host
	Refuse           bool     `cbor:"12,keyasint,omitempty"`
	RetryAfterMillis uint32   `cbor:"13,keyasint,omitempty"` // of a rejected request; 0 means none
}

// invalidReason returns why a route is invalid by itself, or "" if it is valid.
func (r *Route) invalidReason() string {
	switch {
	case !validName(r.Name):
		return "no name of a route"
	case len(r.Prefix) > MaxPrefixBytes:
		return fmt.Sprintf("a prefix of %d bytes, %d are possible", len(r.Prefix), MaxPrefixBytes)
	case len(r.Group) > 2*maxNameBytes || len(r.Class) > 2*maxNameBytes || len(r.Zone) > 2*maxNameBytes:
		return "a group, class or zone that is too long"
	case r.ShareTo > WholeShare || r.hasShare() && (r.ShareFrom >= r.ShareTo || r.ShareTo-r.ShareFrom == WholeShare):
		return "a share that is none, or all"
	case r.WindowBegin >= minutesPerDay || r.WindowEnd >= minutesPerDay || r.hasWindow() && r.WindowBegin == r.WindowEnd:
		return "a time of day that is none, or all day"
	case r.Refuse == (r.Pool != ""):
		return "it has to name either a pool or refuse"
	case r.RetryAfterMillis > maxRetryAfterMillis || r.RetryAfterMillis > 0 && !r.Refuse:
		return "advice of over a minute, or for those who are not refused"
	case len(r.Fallbacks) > maxFallbacks || len(r.Fallbacks) > 0 && r.Refuse:
		return fmt.Sprintf("more than %d pools to fall to, or some for those who are refused", maxFallbacks)
	case r.hasDuplicatePool():
		return "it falls to a pool in a circle"
	}
	return ""
}

// hasDuplicatePool reports whether a pool occurs twice among the pool and its fallbacks.
func (r *Route) hasDuplicatePool() bool {
	all := append([]string{r.Pool}, r.Fallbacks...)
	slices.Sort(all)
	return len(slices.Compact(all)) < 1+len(r.Fallbacks)
}

func (r *Route) hasShare() bool  { return r.ShareFrom != 0 || r.ShareTo != 0 }
func (r *Route) hasWindow() bool { return r.WindowBegin != 0 || r.WindowEnd != 0 }

// matchesShareAndTime reports whether the conditions that are not in the match key are met.
func (r *Route) matchesShareAndTime(share uint16, minute int) bool {
	return (!r.hasShare() || r.shareContains(share)) && (!r.hasWindow() || r.windowContains(minute))
}

func (r *Route) shareContains(share uint16) bool { return share >= r.ShareFrom && share < r.ShareTo }

// windowContains reports whether a minute of the day is in the window, which may span midnight.
func (r *Route) windowContains(minute int) bool {
	if r.WindowBegin < r.WindowEnd {
		return minute >= int(r.WindowBegin) && minute < int(r.WindowEnd)
	}
	return minute >= int(r.WindowBegin) || minute < int(r.WindowEnd)
}

// unmetConditions returns the names of the conditions that a request does not meet. k holds the
// request's attributes, share the hash of its flow, and minute the minute of the day.
func (r *Route) unmetConditions(k matchKey, share uint16, minute int) (names []string) {
	for _, c := range []struct {
		name  string
		unmet bool
	}{
		{"group", r.Group != "" && r.Group != k.group},
		{"key", !strings.HasPrefix(k.prefix, r.Prefix)},
		{"class", r.Class != "" && r.Class != k.class},
		{"zone", r.Zone != "" && r.Zone != k.zone},
		{"share", r.hasShare() && !r.shareContains(share)},
		{"time of day", r.hasWindow() && !r.windowContains(minute)},
	} {
		if c.unmet {
			names = append(names, c.name)
		}
	}
	return names
}

// Describe returns the route's conditions and action as text for operators.
func (r *Route) Describe() string {
	var conditions []string
	for _, c := range []struct{ name, value string }{{"group", r.Group}, {"key", r.Prefix}, {"class", r.Class}, {"zone", r.Zone}} {
		if c.value != "" {
			conditions = append(conditions, c.name+" "+strconv.Quote(c.value))
		}
	}
	if r.hasShare() {
		conditions = append(conditions, fmt.Sprintf("share %g%% to %g%%", float64(r.ShareFrom)/100, float64(r.ShareTo)/100))
	}
	if r.hasWindow() {
		conditions = append(conditions, fmt.Sprintf("%02d:%02d to %02d:%02d UTC", r.WindowBegin/60, r.WindowBegin%60, r.WindowEnd/60, r.WindowEnd%60))
	}
	if len(conditions) == 0 {
		conditions = []string{"all"}
	}
	action := "refuse"
	if !r.Refuse {
		action = "pool " + strings.Join(append([]string{r.Pool}, r.Fallbacks...), ", else ")
	}
	return strings.Join(conditions, ", ") + ": " + action
}
