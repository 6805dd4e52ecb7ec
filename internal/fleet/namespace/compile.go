package namespace

import (
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Compiled is a book ready to be asked. It is never changed, and may be asked by any number of goroutines.
type Compiled struct {
	frame    *frame
	was      *frame // nil: nothing changes hands
	accounts map[string]*account
}

// account is an account with its chain, the operators' first.
type account struct {
	name  string
	hash  uint64
	limit *Account
	chain []*space
	usual *plan // where no route fits
}

// space is a namespace ready to be asked.
type space struct {
	account                  string
	guards, routes, defaults index
}

// index finds the routes of one list by their conditions. Its cost follows the kinds of condition, not the number of routes.
type index struct {
	shapes []shape // most specific first
	at     map[key]int32
	plans  []plan // those with the same key stand together, the most specific first
}

// shape is which conditions a route has.
type shape struct {
	group, class, zone bool
	prefix             uint8 // its length
}

type key struct{ group, prefix, class, zone string }

// plan is what a route comes to.
type plan struct {
	*Route
	account string
	key     key
	pools   []string // in the order in which they are tried
	advice  time.Duration
}

// Compile makes a book ready, or says what is wrong with it. The error is a *Fault.
func Compile(b *Book) (*Compiled, error) {
	f, err := framed(b.Pools, b.Accounts)
	if err != nil {
		return nil, err
	}
	c := &Compiled{frame: f, accounts: make(map[string]*account, len(f.accounts))}
	if b.Was != nil {
		if c.was, err = framed(b.Was.Pools, b.Was.Accounts); err != nil {
			return nil, err
		}
	}
	spaces := make(map[string]*space, len(b.Spaces))
	for i := range b.Spaces {
		s := &b.Spaces[i]
		if i > 0 && b.Spaces[i-1].Account >= s.Account {
			return nil, &Fault{Account: s.Account, Text: "its namespace stands twice, or out of order"}
		}
		if spaces[s.Account], err = f.compile(s); err != nil {
			return nil, err
		}
	}
	for name, limit := range f.accounts {
		a := &account{name: name, hash: xxhash.Sum64String(name), limit: limit, usual: &plan{account: name, pools: limit.Pools[:1]}}
		for up := name; ; up = Parent(up) {
			if s := spaces[up]; s != nil {
				a.chain = append(a.chain, s)
			}
			if up == "" {
				break
			}
		}
		slices.Reverse(a.chain)
		c.accounts[name] = a
	}
	return c, nil
}

// CheckSpace says what is wrong with a namespace taken by itself; whether its account may have what it names shows in a book.
func CheckSpace(s *Space) error {
	_, err := (&frame{}).compile(s)
	return err
}

func (f *frame) compile(s *Space) (*space, error) {
	out := &space{account: s.Account}
	var owner *Account
	if f.accounts != nil {
		if owner = f.accounts[s.Account]; owner == nil {
			return nil, &Fault{Account: s.Account, Text: "it has a namespace, and does not exist"}
		}
		if n := len(s.Guards) + len(s.Routes) + len(s.Defaults); owner.Routes > 0 && n > int(owner.Routes) {
			return nil, &Fault{Account: s.Account, Text: fmt.Sprintf("%d routes, and it may have %d", n, owner.Routes)}
		}
	}
	names := map[string]bool{}
	for _, l := range []struct {
		routes []Route
		to     *index
	}{{s.Guards, &out.guards}, {s.Routes, &out.routes}, {s.Defaults, &out.defaults}} {
		for i := range l.routes {
			r := &l.routes[i]
			if names[r.Name] {
				return nil, &Fault{s.Account, r.Name, "its name is taken"}
			}
			names[r.Name] = true
			if text := r.wrong(); text != "" {
				return nil, &Fault{s.Account, r.Name, text}
			}
			if text := f.denied(owner, r); text != "" {
				return nil, &Fault{s.Account, r.Name, text}
			}
		}
		if err := l.to.build(s.Account, l.routes); err != nil {
			return nil, err
		}
	}
	for _, under := range []struct{ over, under *index }{{&out.guards, &out.routes}, {&out.guards, &out.defaults}, {&out.routes, &out.defaults}} {
		for i := range under.under.plans {
			p := &under.under.plans[i]
			if by := under.over.covers(p); by != nil {
				return nil, &Fault{s.Account, p.Name, fmt.Sprintf("nothing reaches it: %s takes all that fits it", by.Name)}
			}
		}
	}
	return out, nil
}

// wrong says what is wrong with a route by itself.
func (r *Route) wrong() string {
	switch {
	case !good(r.Name):
		return "no name of a route"
	case len(r.Prefix) > MostPrefix:
		return fmt.Sprintf("a prefix of %d bytes, %d are possible", len(r.Prefix), MostPrefix)
	case len(r.Group) > 2*mostName || len(r.Class) > 2*mostName || len(r.Zone) > 2*mostName:
		return "a group, class or zone that is too long"
	case r.To > Whole || r.shared() && (r.From >= r.To || r.To-r.From == Whole):
		return "a share that is none, or all"
	case r.Begin >= minutesADay || r.End >= minutesADay || r.windowed() && r.Begin == r.End:
		return "a time of day that is none, or all day"
	case r.Refuse == (r.Pool != ""):
		return "it has to name either a pool or refuse"
	case r.Advice > mostAdvice || r.Advice > 0 && !r.Refuse:
		return "advice of over a minute, or for those who are not refused"
	case len(r.Else) > mostFall || len(r.Else) > 0 && r.Refuse:
		return fmt.Sprintf("more than %d pools to fall to, or some for those who are refused", mostFall)
	}
	all := append([]string{r.Pool}, r.Else...)
	slices.Sort(all)
	if len(slices.Compact(all)) < 1+len(r.Else) {
		return "it falls to a pool in a circle"
	}
	return ""
}

// denied says what a route names that its account does not have.
func (f *frame) denied(owner *Account, r *Route) string {
	if owner == nil || r.Refuse {
		return ""
	}
	for _, p := range append([]string{r.Pool}, r.Else...) {
		if !f.pools[p] {
			return "there is no pool " + p
		}
		if owner.Name != "" && !slices.Contains(owner.Pools, p) {
			return fmt.Sprintf("account %s may not use pool %s", owner.Name, p)
		}
	}
	if r.Class != "" && len(owner.Classes) > 0 && !slices.Contains(owner.Classes, r.Class) {
		return fmt.Sprintf("account %s may not use class %s", owner.Name, r.Class)
	}
	return ""
}

func (r *Route) shared() bool   { return r.From != 0 || r.To != 0 }
func (r *Route) windowed() bool { return r.Begin != 0 || r.End != 0 }

// fits tells whether share and time of day fit.
func (r *Route) fits(share uint16, minute int) bool {
	return (!r.shared() || share >= r.From && share < r.To) && (!r.windowed() || r.during(minute))
}

func (r *Route) during(minute int) bool {
	if r.Begin < r.End {
		return minute >= int(r.Begin) && minute < int(r.End)
	}
	return minute >= int(r.Begin) || minute < int(r.End)
}
