package watermark

import (
	"time"

	"croftlock/internal/operations/settings"
)

// Options holds the values of the settings section (floors …).
type Options struct {
	Enabled      bool          // defaults to false
	Source       string        // name of the source of discovery's lists, within which revisions are comparable; empty means its address
	RefetchAfter time.Duration // how long a list may be behind before it is fetched again; defaults to 2 s
}

// Section returns the settings section of Options.
func Section() settings.Section {
	return settings.Section{Name: "floors", Doc: "what proxies tell one another of hosts that drain or are gone", Bind: func(f *settings.FieldSet) any {
		o := Options{RefetchAfter: 2 * time.Second}
		f.Bool("on", "whether a host gets nothing new of which another proxy's newer list says that it drains or is gone; needs membership", &o.Enabled)
		f.Text("source", "a name for whose numbering the lists have, the same at all proxies that ask the same discovery; its address where it is left out", "a name",
			&o.Source, func(s string) bool { return s != "" && len(s) <= maxHostBytes })
		f.Duration("within", "a proxy whose list stays behind for so long asks discovery anew", &o.RefetchAfter, 500*time.Millisecond, time.Minute)
		return o
	}}
}
