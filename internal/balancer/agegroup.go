package balancer

// newerDuration is how long a host counts as newer after its start, as a multiple of
// Config.SlowStartDuration. A host takes longer to fill with connections than to reach its full
// capacity.
const newerDuration = 4

// ageGroup distinguishes the hosts that have started recently from the others.
type ageGroup int

const (
	anyAge       ageGroup = iota // newer and older hosts
	newer                        // started less than newerDuration slow starts ago
	older                        // started earlier
	numAgeGroups                 // number of values
)

// ageGroup returns the age group of a host, newer or older.
func (b *Balancer) ageGroup(h *host) ageGroup {
	if h.startedAt > 0 && b.now < h.startedAt+newerDuration*b.cfg.SlowStartDuration {
		return newer
	}
	return older
}

// preferredAgeGroup returns the age group whose hosts are tried first for a request: newer if the
// newer hosts hold less than their share of what this balancer has placed, else older. It returns
// anyAge if hosts report their load, if traffic is not sparse (less than one connection per host at
// each balancer), or if no host is newer. The load that one balancer has placed tells nothing about
// a single host if traffic is sparse, but something about an age group. A balancer counts a random
// fraction of the request's cost, by a hash of the request's ID, so that all balancers together
// place the right share.
func (b *Balancer) preferredAgeGroup(r *request) ageGroup {
	if b.hostsReportLoad() || !b.sparseTraffic() {
		return anyAge
	}
	var load, capacity [numAgeGroups]float64
	for _, h := range b.hosts {
		if h.state == Ready {
			age := b.ageGroup(h)
			load[age] += h.load
			capacity[age] += h.weight * b.fullCapacityShare(h)
		}
	}
	if capacity[newer] == 0 {
		return anyAge
	}
	total := load[newer] + load[older] + r.cost
	fraction := float64(stableHash(r.ID)%1024) / 1024 // each attempt of a request gets the same value
	if load[newer]+fraction*r.cost < total*capacity[newer]/(capacity[newer]+capacity[older]) {
		return newer
	}
	return older
}

// excludedByAge reports whether a host is not in the given age group. No host is excluded for
// anyAge. A warming host, whose capacity is below 1, counts as both newer and older, since its slow
// start budget limits its requests anyway.
func (b *Balancer) excludedByAge(h *host, age ageGroup) bool {
	return age != anyAge && b.ageGroup(h) != age && (age == newer || b.fullCapacityShare(h) >= 1)
}
