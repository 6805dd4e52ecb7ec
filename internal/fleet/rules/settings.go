package rules

import (
	"slices"
	"time"

	"croftlock/internal/fleet/namespace"
	"croftlock/internal/operations/settings"
)

// Section returns the settings section of the operators' part of a version: any number of
// (refuse LABEL (tenant T) (class C) (advice 2s)) and (out HOST); pools and accounts; and the
// operators' own guards, routes and defaults.
func Section() settings.Section {
	return settings.Section{Name: "rules", Doc: "rules on which all proxies agree", Bind: func(f *settings.FieldSet) any { return bindVersion(f) }}
}

// bindVersion registers the section's entries and returns the version that they specify, with number
// 0. It adds a fault to f if the version is invalid.
func bindVersion(f *settings.FieldSet) *Version {
	v := &Version{}
	f.Repeated("refuse", "requests that are rejected, under a label that operators choose", func(_ string, f *settings.FieldSet) {
		v.Refusals = append(v.Refusals, bindRefusal(f))
	})
	f.Repeated("out", "a host that gets no new requests", func(host string, _ *settings.FieldSet) { v.ExcludedHosts = append(v.ExcludedHosts, host) })
	v.Directory = bindOperatorsNamespaces(f)
	slices.SortFunc(v.Refusals, compareRefusals)
	slices.Sort(v.ExcludedHosts)
	if err := v.Check(); err != nil {
		f.AddFault("", "%v", err)
	}
	return v
}

// bindRefusal registers the fields of a refusal and returns the refusal that they specify.
func bindRefusal(f *settings.FieldSet) Refusal {
	var r Refusal
	var retryAfter time.Duration
	anyName := func(string) bool { return true }
	f.Text("tenant", "tenant of the requests; all tenants if left out", "a name", &r.Tenant, anyName)
	f.Text("class", "class of the requests; all classes if left out", "a name", &r.Class, anyName)
	f.Duration("advice", "Retry-After of the rejected requests", &retryAfter, 0, time.Minute)
	r.RetryAfterMillis = uint32(retryAfter.Milliseconds())
	return r
}

// bindOperatorsNamespaces returns the directory of the section, or nil without pools, accounts and
// routes.
func bindOperatorsNamespaces(f *settings.FieldSet) *namespace.Directory {
	directory, own := &namespace.Directory{}, namespace.Namespace{}
	namespace.BindPoolsAndAccounts(f, directory)
	if namespace.BindRoutes(f, &own); len(own.Guards)+len(own.Routes)+len(own.Defaults) > 0 {
		directory.Namespaces = []namespace.Namespace{own}
	}
	if len(directory.Pools)+len(directory.Accounts)+len(directory.Namespaces) == 0 {
		return nil
	}
	return directory
}
