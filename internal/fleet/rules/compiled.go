package rules

import (
	"time"

	"croftlock/internal/fleet/namespace"
	"croftlock/internal/fleet/quota"
)

// refusalKey is the tenant and the class of a refusal. An empty string matches every tenant or class.
type refusalKey struct{ tenant, class string }

// compiledVersion is a version with the lookup tables that evaluate requests.
type compiledVersion struct {
	version                 *Version
	encoded                 []byte                 // the version as HeldLease contains it
	refusalRetryAfterMillis map[refusalKey]uint32  // 0 means no Retry-After
	excludedHosts           map[string]struct{}    // by host ID
	namespaces              *namespace.Compiled    // nil if there are only the main pool and no routes
	limits                  map[string]quota.Limit // by account; nil if namespaces is nil
	limitedAccounts         []string               // keys of limits, sorted
}

// compileVersion compiles a version that has passed Check.
func compileVersion(v *Version) *compiledVersion {
	c := &compiledVersion{
		version:                 v,
		encoded:                 compress(v.Encode()),
		refusalRetryAfterMillis: make(map[refusalKey]uint32, len(v.Refusals)),
		excludedHosts:           make(map[string]struct{}, len(v.ExcludedHosts)),
	}
	for _, r := range v.Refusals {
		c.refusalRetryAfterMillis[refusalKey{r.Tenant, r.Class}] = r.RetryAfterMillis
	}
	for _, h := range v.ExcludedHosts {
		c.excludedHosts[h] = struct{}{}
	}
	if v.Directory != nil {
		c.compileNamespaces(v.Directory)
	}
	return c
}

// compileNamespaces compiles the routes and the limits of a directory that has passed Check.
func (c *compiledVersion) compileNamespaces(directory *namespace.Directory) {
	var err error
	if c.namespaces, err = namespace.Compile(directory); err != nil {
		panic(err) // Check has compiled the same directory without an error
	}
	c.limits = map[string]quota.Limit{}
	for _, a := range directory.Accounts { // sorted by name
		if l := (quota.Limit{Rate: float64(a.Rate.Max), Connections: int(a.Connections.Max)}); l != (quota.Limit{}) {
			c.limits[a.Name], c.limitedAccounts = l, append(c.limitedAccounts, a.Name)
		}
	}
}

// rejects reports whether the operators' refusals reject a request, and returns its Retry-After. If
// several refusals match, the most specific one applies; one with a tenant precedes one with a
// class.
func (c *compiledVersion) rejects(tenant, class string) (rejected bool, retryAfter time.Duration) {
	for _, key := range [...]refusalKey{{tenant, class}, {tenant, ""}, {"", class}, {"", ""}} {
		if ms, found := c.refusalRetryAfterMillis[key]; found {
			return true, time.Duration(ms) * time.Millisecond
		}
	}
	return false, 0
}
