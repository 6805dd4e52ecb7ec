package rules

import (
	"slices"
	"time"

	"croftlock/internal/fleet/namespace"
	"croftlock/internal/operations/settings"
)

// Section is what operators write: (refuse LABEL (tenant T) (class C) (advice 2s)) and (out HOST), each as often as wanted; pools and accounts; and the
// operators' own guards, routes and defaults.
func Section() settings.Section {
	return settings.Section{Name: "rules", Doc: "rules on which all proxies agree", Bind: func(f *settings.Form) any {
		v := &Version{}
		f.Each("refuse", "requests that get no placement, under a label that is the operators' own", func(_ string, f *settings.Form) {
			var r Refusal
			var advice time.Duration
			any := func(string) bool { return true }
			f.Text("tenant", "whose; all where it is left out", "a name", &r.Tenant, any)
			f.Text("class", "of which class; all where it is left out", "a name", &r.Class, any)
			f.Duration("advice", "after which its client may come again", &advice, 0, time.Minute)
			r.Advice = uint32(advice.Milliseconds())
			v.Refuse = append(v.Refuse, r)
		})
		f.Each("out", "a host that gets nothing new", func(host string, _ *settings.Form) { v.Out = append(v.Out, host) })
		b, own := &namespace.Book{}, namespace.Space{}
		namespace.BindFrame(f, b)
		if namespace.BindRoutes(f, &own); len(own.Guards)+len(own.Routes)+len(own.Defaults) > 0 {
			b.Spaces = []namespace.Space{own}
		}
		if len(b.Pools)+len(b.Accounts)+len(b.Spaces) > 0 {
			v.Book = b
		}
		slices.SortFunc(v.Refuse, compare)
		slices.Sort(v.Out)
		if err := v.Check(); err != nil {
			f.Fault("", "%v", err)
		}
		return v
	}}
}
