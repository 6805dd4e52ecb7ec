package namespace

import (
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Compiled is a directory in the form in which requests are judged. It is immutable, and any number of goroutines may use it.
type Compiled struct {
	current  *assignment
	previous *assignment // nil: nothing is reassigned
	accounts map[string]*compiledAccount
}

// compiledAccount is an account with the namespaces that apply to it, the operators' first.
type compiledAccount struct {
	name         string
	hash         uint64
	settings     *Account
	chain        []*compiledNamespace
	defaultRoute *compiledRoute // where no route fits
}

// compiledNamespace is a namespace whose routes can be searched.
type compiledNamespace struct {
	account                  string
	guards, routes, defaults routeIndex
}

// own is the account's own namespace; nil: it has none.
func (a *compiledAccount) own() *compiledNamespace {
	if n := len(a.chain); n > 0 && a.chain[n-1].account == a.name {
		return a.chain[n-1]
	}
	return nil
}

// Compile compiles a directory. The error is a *Fault.
func Compile(d *Directory) (*Compiled, error) {
	current, err := compileAssignment(d.Pools, d.Accounts)
	if err != nil {
		return nil, err
	}
	c := &Compiled{current: current, accounts: make(map[string]*compiledAccount, len(current.accounts))}
	if d.Previous != nil {
		if c.previous, err = compileAssignment(d.Previous.Pools, d.Previous.Accounts); err != nil {
			return nil, err
		}
	}
	namespaces := make(map[string]*compiledNamespace, len(d.Namespaces))
	for i := range d.Namespaces {
		s := &d.Namespaces[i]
		if i > 0 && d.Namespaces[i-1].Account >= s.Account {
			return nil, &ValidationError{Account: s.Account, Text: "its namespace stands twice, or out of order"}
		}
		if namespaces[s.Account], err = current.compileNamespace(s); err != nil {
			return nil, err
		}
	}
	for name, account := range current.accounts {
		c.accounts[name] = compileAccount(name, account, namespaces)
	}
	return c, nil
}

func compileAccount(name string, account *Account, namespaces map[string]*compiledNamespace) *compiledAccount {
	a := &compiledAccount{
		name:         name,
		hash:         xxhash.Sum64String(name),
		settings:     account,
		defaultRoute: &compiledRoute{account: name, pools: account.Pools[:1]},
	}
	for above := name; ; above = Parent(above) {
		if s := namespaces[above]; s != nil {
			a.chain = append(a.chain, s)
		}
		if above == "" {
			break
		}
	}
	slices.Reverse(a.chain)
	return a
}

// CheckNamespace returns the fault of a namespace by itself. Whether its account may use the pools and classes that it names is checked by Compile.
func CheckNamespace(s *Namespace) error {
	_, err := (&assignment{}).compileNamespace(s)
	return err
}

// compileNamespace checks a namespace against its account too, unless the assignment is empty.
func (a *assignment) compileNamespace(s *Namespace) (*compiledNamespace, error) {
	var owner *Account
	if a.accounts != nil {
		if owner = a.accounts[s.Account]; owner == nil {
			return nil, &ValidationError{Account: s.Account, Text: "it has a namespace, and does not exist"}
		}
		if n := len(s.Guards) + len(s.Routes) + len(s.Defaults); owner.Routes > 0 && n > int(owner.Routes) {
			return nil, &ValidationError{Account: s.Account, Text: fmt.Sprintf("%d routes, and it may have %d", n, owner.Routes)}
		}
	}
	c := &compiledNamespace{account: s.Account}
	names := map[string]bool{}
	for _, list := range []struct {
		routes []Route
		index  *routeIndex
	}{{s.Guards, &c.guards}, {s.Routes, &c.routes}, {s.Defaults, &c.defaults}} {
		for i := range list.routes {
			if text := a.invalidRouteReason(owner, &list.routes[i], names); text != "" {
				return nil, &ValidationError{s.Account, list.routes[i].Name, text}
			}
		}
		if err := list.index.build(s.Account, list.routes); err != nil {
			return nil, err
		}
	}
	if err := c.checkReachable(); err != nil {
		return nil, err
	}
	return c, nil
}

// invalidRouteReason says what is invalid in a route, "" for nothing, and adds its name to those that are taken.
func (a *assignment) invalidRouteReason(owner *Account, r *Route, names map[string]bool) string {
	if names[r.Name] {
		return "its name is taken"
	}
	names[r.Name] = true
	if text := r.invalidReason(); text != "" {
		return text
	}
	return a.forbiddenReason(owner, r)
}

// forbiddenReason says which pool or class of a route its account may not use; "": none.
func (a *assignment) forbiddenReason(owner *Account, r *Route) string {
	if owner == nil || r.Refuse {
		return ""
	}
	for _, p := range append([]string{r.Pool}, r.Fallbacks...) {
		if !a.pools[p] {
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

// checkReachable returns the fault of a route that no request can reach, since a route of an earlier list fits whatever it fits.
func (c *compiledNamespace) checkReachable() error {
	for _, lists := range []struct{ earlier, later *routeIndex }{{&c.guards, &c.routes}, {&c.guards, &c.defaults}, {&c.routes, &c.defaults}} {
		for i := range lists.later.routes {
			r := &lists.later.routes[i]
			if by := lists.earlier.covering(r); by != nil {
				return &ValidationError{c.account, r.Name, fmt.Sprintf("nothing reaches it: %s takes all that fits it", by.Name)}
			}
		}
	}
	return nil
}
