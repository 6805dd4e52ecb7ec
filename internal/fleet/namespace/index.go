package namespace

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

func (r *Route) key() key { return key{r.Group, r.Prefix, r.Class, r.Zone} }

func (k key) shape() shape {
	return shape{group: k.group != "", class: k.class != "", zone: k.zone != "", prefix: uint8(len(k.prefix))}
}

// of is the part of a key that a shape looks at. ok: it has all of it.
func (s shape) of(k key) (part key, ok bool) {
	if s.group {
		if part.group = k.group; k.group == "" {
			return part, false
		}
	}
	if s.prefix > 0 {
		if len(k.prefix) < int(s.prefix) {
			return part, false
		}
		part.prefix = k.prefix[:s.prefix]
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

// before orders by how specific shapes are.
func (s shape) before(o shape) int {
	number := func(b bool) int {
		if b {
			return 1
		}
		return 0
	}
	return cmp.Or(number(o.group)-number(s.group), int(o.prefix)-int(s.prefix), number(o.class)-number(s.class), number(o.zone)-number(s.zone))
}

// extra is how specific a route is beyond its key: by a window more than by a share.
func (r *Route) extra() (n int) {
	if r.windowed() {
		n += 2
	}
	if r.shared() {
		n++
	}
	return n
}

func (x *index) build(account string, routes []Route) error {
	x.plans, x.at = make([]plan, 0, len(routes)), make(map[key]int32, len(routes))
	shapes := map[shape]bool{}
	for i := range routes {
		r := &routes[i]
		p := plan{Route: r, account: account, key: r.key(), advice: time.Duration(r.Advice) * time.Millisecond}
		if !r.Refuse {
			p.pools = append([]string{r.Pool}, r.Else...)
		}
		x.plans = append(x.plans, p)
		shapes[p.key.shape()] = true
	}
	if len(shapes) > MostShapes {
		return &Fault{Account: account, Text: fmt.Sprintf("its routes have %d kinds of condition, %d are possible in one list", len(shapes), MostShapes)}
	}
	for s := range shapes {
		x.shapes = append(x.shapes, s)
	}
	slices.SortFunc(x.shapes, shape.before)
	slices.SortStableFunc(x.plans, func(a, b plan) int {
		return cmp.Or(cmp.Compare(a.key.group, b.key.group), cmp.Compare(a.key.prefix, b.key.prefix), cmp.Compare(a.key.class, b.key.class),
			cmp.Compare(a.key.zone, b.key.zone), b.extra()-a.extra(), cmp.Compare(a.From, b.From), cmp.Compare(a.Begin, b.Begin))
	})
	for i := 0; i < len(x.plans); {
		k, j := x.plans[i].key, i
		for j < len(x.plans) && x.plans[j].key == k {
			j++
		}
		x.at[k] = int32(i)
		if err := alike(account, x.plans[i:j]); err != nil {
			return err
		}
		i = j
	}
	return nil
}

// alike finds what is wrong among routes with the same key: two that are as specific as one another, and one that shares leave nothing.
func alike(account string, same []plan) error {
	shares := 0
	for i := range same {
		a := same[i].Route
		if a.shared() && !a.windowed() {
			shares += int(a.To - a.From)
		}
		if a.extra() == 0 && shares == Whole {
			return &Fault{account, a.Name, "nothing reaches it: the shares of others are all there is"}
		}
		for j := i + 1; j < len(same) && same[j].extra() == a.extra(); j++ {
			b := same[j].Route
			if a.shared() && (a.To <= b.From || b.To <= a.From) {
				if !a.windowed() {
					break // sorted by where they begin
				}
				continue
			}
			if a.windowed() && !a.during(int(b.Begin)) && !b.during(int(a.Begin)) {
				continue
			}
			return &Fault{account, b.Name, fmt.Sprintf("it fits the same requests as %s, and neither is more specific", a.Name)}
		}
	}
	return nil
}

// first gives the first route, the most specific before others, whose conditions a key has and that ok takes; nil: none.
func (x *index) first(k key, ok func(p *plan) bool) *plan {
	for _, s := range x.shapes {
		part, has := s.of(k)
		if !has {
			continue
		}
		i, is := x.at[part]
		if !is {
			continue
		}
		for ; int(i) < len(x.plans) && x.plans[i].key == part; i++ {
			if p := &x.plans[i]; ok(p) {
				return p
			}
		}
	}
	return nil
}

// find gives the most specific route that fits; nil: none.
func (x *index) find(k key, share uint16, minute int) *plan {
	return x.first(k, func(p *plan) bool { return p.fits(share, minute) })
}

// covers gives a route that takes all that fits p; nil: none does alone.
func (x *index) covers(p *plan) *plan {
	return x.first(p.key, func(o *plan) bool {
		return (!o.shared() || p.shared() && o.From <= p.From && p.To <= o.To) && (!o.windowed() || p.windowed() && o.Begin == p.Begin && o.End == p.End)
	})
}
