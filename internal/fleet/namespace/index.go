package namespace

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// routeIndex finds the routes of one list by their conditions. A search costs one map lookup per
// condition set, independent of the number of routes.
type routeIndex struct {
	conditionSets []conditionSet     // most specific first
	firstByKey    map[matchKey]int32 // index in routes of the first route with a key
	routes        []compiledRoute    // routes with the same key are adjacent, the most specific first
}

// compiledRoute is a route with values derived from it. The embedded Route is nil in an account's
// default route.
type compiledRoute struct {
	*Route
	account    string
	key        matchKey
	pools      []string // in order of preference
	retryAfter time.Duration
}

// matchKey holds the conditions of a route that are compared for equality, or the attributes of a
// request that they are compared with.
type matchKey struct{ group, prefix, class, zone string }

// conditionSet records which conditions a route has.
type conditionSet struct {
	group, class, zone bool
	prefixBytes        uint8 // length of the key prefix; 0 if the route has none
}

func (r *Route) matchKey() matchKey { return matchKey{r.Group, r.Prefix, r.Class, r.Zone} }

// conditions returns which conditions a route with this key has.
func (k matchKey) conditions() conditionSet {
	return conditionSet{group: k.group != "", class: k.class != "", zone: k.zone != "", prefixBytes: uint8(len(k.prefix))}
}

// requestPart returns the part of a request's key that routes with these conditions compare. ok
// reports whether the request has all of these attributes.
func (s conditionSet) requestPart(k matchKey) (part matchKey, ok bool) {
	if s.group {
		if part.group = k.group; k.group == "" {
			return part, false
		}
	}
	if s.prefixBytes > 0 {
		if len(k.prefix) < int(s.prefixBytes) {
			return part, false
		}
		part.prefix = k.prefix[:s.prefixBytes]
	}
	if s.class {
		if part.class = k.class; k.class == "" {
			return part, false
		}
	}
	if s.zone {
		if part.zone = k.zone; k.zone == "" {
			return part, false
		}
	}
	return part, true
}

// compareSpecificity orders condition sets, the most specific first.
func (s conditionSet) compareSpecificity(o conditionSet) int {
	toInt := func(b bool) int {
		if b {
			return 1
		}
		return 0
	}
	return cmp.Or(toInt(o.group)-toInt(s.group), int(o.prefixBytes)-int(s.prefixBytes), toInt(o.class)-toInt(s.class), toInt(o.zone)-toInt(s.zone))
}

// secondarySpecificity returns how specific a route is beyond its match key, from 0 to 3. A window
// (time of day) counts 2 and a share of the flows 1.
func (r *Route) secondarySpecificity() (n int) {
	if r.hasWindow() {
		n += 2
	}
	if r.hasShare() {
		n++
	}
	return n
}

// compileRoute returns an account's route with the values that are derived from it.
func compileRoute(account string, r *Route) compiledRoute {
	c := compiledRoute{Route: r, account: account, key: r.matchKey(), retryAfter: time.Duration(r.RetryAfterMillis) * time.Millisecond}
	if !r.Refuse {
		c.pools = append([]string{r.Pool}, r.Fallbacks...)
	}
	return c
}

// compareRoutes orders routes by key, then the most specific first.
func compareRoutes(a, b compiledRoute) int {
	return cmp.Or(cmp.Compare(a.key.group, b.key.group), cmp.Compare(a.key.prefix, b.key.prefix), cmp.Compare(a.key.class, b.key.class),
		cmp.Compare(a.key.zone, b.key.zone), b.secondarySpecificity()-a.secondarySpecificity(), cmp.Compare(a.ShareFrom, b.ShareFrom), cmp.Compare(a.WindowBegin, b.WindowBegin))
}

// build fills the index with the routes of one list, or returns a *ValidationError.
func (x *routeIndex) build(account string, routes []Route) error {
	x.routes, x.firstByKey = make([]compiledRoute, 0, len(routes)), make(map[matchKey]int32, len(routes))
	sets := map[conditionSet]bool{}
	for i := range routes {
		r := compileRoute(account, &routes[i])
		x.routes = append(x.routes, r)
		sets[r.key.conditions()] = true
	}
	if len(sets) > MaxConditionSets {
		return &ValidationError{Account: account, Text: fmt.Sprintf("its routes have %d kinds of condition, %d are possible in one list", len(sets), MaxConditionSets)}
	}
	for s := range sets {
		x.conditionSets = append(x.conditionSets, s)
	}
	slices.SortFunc(x.conditionSets, conditionSet.compareSpecificity)
	slices.SortStableFunc(x.routes, compareRoutes)
	for i := 0; i < len(x.routes); {
		key, end := x.routes[i].key, i
		for end < len(x.routes) && x.routes[end].key == key {
			end++
		}
		x.firstByKey[key] = int32(i)
		if err := checkConflicts(account, x.routes[i:end]); err != nil {
			return err
		}
		i = end
	}
	return nil
}

// checkConflicts returns an error if, among routes with the same key, two equally specific ones may
// match the same request, or if no request reaches a route because the shares of the others add up
// to all requests.
func checkConflicts(account string, same []compiledRoute) error {
	shares := 0
	for i := range same {
		a := same[i].Route
		if a.hasShare() && !a.hasWindow() {
			shares += int(a.ShareTo - a.ShareFrom)
		}
		if a.secondarySpecificity() == 0 && shares == WholeShare {
			return &ValidationError{account, a.Name, "nothing reaches it: the shares of others are all there is"}
		}
		for j := i + 1; j < len(same) && same[j].secondarySpecificity() == a.secondarySpecificity(); j++ {
			b := same[j].Route
			if a.hasShare() && !a.hasWindow() && sharesDisjoint(a, b) {
				break // sorted by ShareFrom: those after b are disjoint too
			}
			if a.overlaps(b) {
				return &ValidationError{account, b.Name, fmt.Sprintf("it fits the same requests as %s, and neither is more specific", a.Name)}
			}
		}
	}
	return nil
}

// overlaps reports whether some request matches both routes. They must have the same key, and both
// or neither must have a share and a window.
func (r *Route) overlaps(o *Route) bool {
	if r.hasShare() && sharesDisjoint(r, o) {
		return false
	}
	return !r.hasWindow() || r.windowContains(int(o.WindowBegin)) || o.windowContains(int(r.WindowBegin))
}

func sharesDisjoint(a, b *Route) bool { return a.ShareTo <= b.ShareFrom || b.ShareTo <= a.ShareFrom }

// firstMatch returns the most specific route whose key matches k and that accept accepts, or nil if
// there is none.
func (x *routeIndex) firstMatch(k matchKey, accept func(*compiledRoute) bool) *compiledRoute {
	for _, s := range x.conditionSets {
		part, complete := s.requestPart(k)
		if !complete {
			continue
		}
		i, found := x.firstByKey[part]
		if !found {
			continue
		}
		for ; int(i) < len(x.routes) && x.routes[i].key == part; i++ {
			if r := &x.routes[i]; accept(r) {
				return r
			}
		}
	}
	return nil
}

// find returns the most specific route that matches a request with this key, share (as
// compiledAccount.share returns it) and minute of the day, or nil if there is none.
func (x *routeIndex) find(k matchKey, share uint16, minute int) *compiledRoute {
	return x.firstMatch(k, func(r *compiledRoute) bool { return r.matchesShareAndTime(share, minute) })
}

// covering returns a route that matches every request that r matches, or nil if no single route
// does.
func (x *routeIndex) covering(r *compiledRoute) *compiledRoute {
	return x.firstMatch(r.key, func(o *compiledRoute) bool {
		coversShare := !o.hasShare() || r.hasShare() && o.ShareFrom <= r.ShareFrom && r.ShareTo <= o.ShareTo
		coversWindow := !o.hasWindow() || r.hasWindow() && o.WindowBegin == r.WindowBegin && o.WindowEnd == r.WindowEnd
		return coversShare && coversWindow
	})
}
