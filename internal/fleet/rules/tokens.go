package rules

import "croftlock/internal/fleet/namespace"

// usualChanges is how many changes a minute an account may ask for where nothing else is said. Those that are refused count: whoever
// sends bad ones without end must not take the coordinator's time from others.
const usualChanges = 600

// tokens is how many changes an account may still ask for.
type tokens struct {
	left float64
	at   Time
}

// afford takes one from what a key, or the operators, may ask for in an account: nobody spends another's.
func (k *Coordinator) afford(now Time, c *Change) bool {
	most := float64(usualChanges)
	if b := k.active.Book; b != nil {
		for _, a := range b.Accounts {
			if a.Changes > 0 && namespace.Under(c.Part, a.Name) {
				most = min(most, float64(a.Changes))
			}
		}
	}
	whose := string(c.Key) + c.Part
	a := k.spent[whose]
	if a == nil {
		if len(k.spent) >= 4*MaxEntries {
			clear(k.spent)
		}
		a = &tokens{left: max(1, most/6), at: now}
		k.spent[whose] = a
	}
	a.left = min(max(1, most/6), a.left+float64(now-a.at)/6e10*most)
	a.at = now
	if a.left < 1 {
		return false
	}
	a.left--
	return true
}
