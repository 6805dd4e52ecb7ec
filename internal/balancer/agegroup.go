package balancer

// newerDuration is for how many slow starts a host counts as one that has started lately: it takes longer to fill
// than to warm up.
const newerDuration = 4

// ageGroup is the hosts that have started lately, or those before them.
type ageGroup int

const (
	anyAge ageGroup = iota
	newer
	older
	numAgeGroups // how many values there are
)

func (b *Balancer) ageGroup(h *host) ageGroup {
	if h.startedAt > 0 && b.now < h.startedAt+newerDuration*b.cfg.SlowStartDuration {
		return newer
	}
	return older
}

// preferredAgeGroup is the hosts among which a request is placed first: the newer ones if they hold less than
// their part of what this balancer placed, else the older ones. Where traffic is sparse this balancer's loads
// say nothing of a single host, but something of an age group: each balancer keeps to the part by chance, so
// that all together do.
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
	fraction := float64(stableHash(r.ID)%1024) / 1024 // of the request, so that a retry does not draw again
	if load[newer]+fraction*r.cost < total*capacity[newer]/(capacity[newer]+capacity[older]) {
		return newer
	}
	return older
}

// excludedByAge reports whether a host is not of the age group that is picked from. A warming one counts as
// either, since it has its own budget.
func (b *Balancer) excludedByAge(h *host, age ageGroup) bool {
	return age != anyAge && b.ageGroup(h) != age && (age == newer || b.fullCapacityShare(h) >= 1)
}
