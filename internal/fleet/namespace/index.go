package namespace

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// routeIndex finds the routes of one list by their conditions. A search costs one map lookup for each condition set, however many routes there are.
type routeIndex struct {
	conditionSets []conditionSet // most specific first
	firstByKey    map[matchKey]int32
	routes        []compiledRoute // those with the same key are adjacent, the most specific first
}

// compiledRoute is a route and what follows from it; without a Route it is an account's default.
type compiledRoute struct {
	*Route
	account    string
	key        matchKey
	pools      []string // in the order of preference
	retryAfter time.Duration
}

// matchKey is the conditions of a route that are compared for equality, or what a request has of them.
type matchKey struct{ group, prefix, class, zone string }

// conditionSet is which conditions a route has.
type conditionSet struct {
	group, class, zone bool
	prefixBytes        uint8
}

func (r *Route) matchKey() matchKey { return matchKey{r.Group, r.Prefix, r.Class, r.Zone} }

func (k matchKey) conditions() conditionSet {
	return conditionSet{group: k.group != "", class: k.class != "", zone: k.zone != "", prefixBytes: uint8(len(k.prefix))}
}

// requestPart gives the part of a request's key that routes with these conditions compare; ok: the request has all of these attributes.
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

// compareSpecificity orders the most specific first.
func (s conditionSet) compareSpecificity(o conditionSet) int {
	toInt := func(b bool) int {
		if b {
			return 1
		}
		return 0
	}
	return cmp.Or(toInt(o.group)-toInt(s.group), int(o.prefixBytes)-int(s.prefixBytes), toInt(o.class)-toInt(s.class), toInt(o.zone)-toInt(s.zone))
}

// secondarySpecificity is how specific a route is beyond its key: by a window more than by a share.
func (r *Route) secondarySpecificity() (n int) {
	if r.hasWindow() {
		n += 2
	}
	if r.hasShare() {
		n++
	}
	return n
}

func compileRoute(account string, r *Route) compiledRoute {
	c := compiledRoute{Route: r, account: account, key: r.matchKey(), retryAfter: time.Duration(r.RetryAfterMillis) * time.Millisecond}
	if !r.Refuse {
		c.pools = append([]string{r.Pool}, r.Fallbacks...)
	}
	return c
}

func compareRoutes(a, b compiledRoute) int {
	return cmp.Or(cmp.Compare(a.key.group, b.key.group), cmp.Compare(a.key.prefix, b.key.prefix), cmp.Compare(a.key.class, b.key.class),
		cmp.Compare(a.key.zone, b.key.zone), b.secondarySpecificity()-a.secondarySpecificity(), cmp.Compare(a.ShareFrom, b.ShareFrom), cmp.Compare(a.WindowBegin, b.WindowBegin))
}

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

// checkConflicts returns the fault among routes with the same key: two that may fit one request and are equally specific, or one that no request
// reaches, since shares of others add up to everything.
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

// overlaps reports whether some request fits two routes with the same key and the same kinds of further conditions.
func (r *Route) overlaps(o *Route) bool {
	if r.hasShare() && sharesDisjoint(r, o) {
		return false
	}
	return !r.hasWindow() || r.windowContains(int(o.WindowBegin)) || o.windowContains(int(r.WindowBegin))
}

func sharesDisjoint(a, b *Route) bool { return a.ShareTo <= b.ShareFrom || b.ShareTo <= a.ShareFrom }

// firstMatch gives the most specific route whose conditions a key has and that accept takes; nil: none.
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

// find gives the most specific route that fits; nil: none.
func (x *routeIndex) find(k matchKey, share uint16, minute int) *compiledRoute {
	return x.firstMatch(k, func(r *compiledRoute) bool { return r.matchesShareAndTime(share, minute) })
}

// covering gives a route that fits whatever r fits; nil: no single route does.
func (x *routeIndex) covering(r *compiledRoute) *compiledRoute {
	return x.firstMatch(r.key, func(o *compiledRoute) bool {
		coversShare := !o.hasShare() || r.hasShare() && o.ShareFrom <= r.ShareFrom && r.ShareTo <= o.ShareTo
		coversWindow := !o.hasWindow() || r.hasWindow() && o.WindowBegin == r.WindowBegin && o.WindowEnd == r.WindowEnd
		return coversShare && coversWindow
	})
}
