package namespace

import (
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Compiled is a directory in the form that decides requests. It is immutable and safe for
// concurrent use.
type Compiled struct {
	current  *assignment
	previous *assignment                 // nil if nothing is being reassigned
	accounts map[string]*compiledAccount // by name; "" is the operators
}

// compiledAccount is an account with the namespaces that apply to it: its own and those of the
// accounts above it.
type compiledAccount struct {
	name         string
	hash         uint64 // of the name
	settings     *Account
	chain        []*compiledNamespace // the namespaces that exist, the operators' first and the account's own last
	defaultRoute *compiledRoute       // applies if no route matches
}

// compiledNamespace is a namespace with an index for each list of routes.
type compiledNamespace struct {
	account                  string
	guards, routes, defaults routeIndex
}

// own returns the account's own namespace, or nil if it has none.
func (a *compiledAccount) own() *compiledNamespace {
	if n := len(a.chain); n > 0 && a.chain[n-1].account == a.name {
		return a.chain[n-1]
	}
	return nil
}

// Compile checks a directory and compiles it. The error is a *ValidationError.
func Compile(directory *Directory) (*Compiled, error) {
	current, err := compileAssignment(directory.Pools, directory.Accounts)
	if err != nil {
		return nil, err
	}
	c := &Compiled{current: current, accounts: make(map[string]*compiledAccount, len(current.accounts))}
	if directory.Previous != nil {
		if c.previous, err = compileAssignment(directory.Previous.Pools, directory.Previous.Accounts); err != nil {
			return nil, err
		}
	}
	namespaces := make(map[string]*compiledNamespace, len(directory.Namespaces))
	for i := range directory.Namespaces {
		s := &directory.Namespaces[i]
		if i > 0 && directory.Namespaces[i-1].Account >= s.Account {
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

// compileAccount returns an account with those of the namespaces (by account name) that apply to it.
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

// CheckNamespace returns the first error in a namespace, as a *ValidationError, or nil. It does not
// check whether the account may use the pools and classes that the namespace names; Compile does.
func CheckNamespace(s *Namespace) error {
	_, err := (&assignment{}).compileNamespace(s)
	return err
}

// compileNamespace checks and compiles a namespace. If the assignment has accounts, it also checks
// the namespace against its account.
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

// invalidRouteReason returns why a route is invalid, or "" if it is valid. names holds the names of
// the namespace's earlier routes; the route's name is added to it. A nil owner means that the pools
// and classes of the route are not checked.
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

// forbiddenReason returns which pool or class of a route does not exist or is not allowed for the
// account owner. It returns "" if all are allowed, if owner is nil, or if the route rejects requests.
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

// checkReachable returns an error for a route that no request can reach, because a route of an
// earlier list matches every request that it matches.
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
