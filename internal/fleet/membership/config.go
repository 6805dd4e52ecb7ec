package membership

import (
	"fmt"
	"net/netip"
)

// Time is nanoseconds on the caller's monotonic clock.
type Time = int64

const (
	ms  = Time(1e6)
	sec = Time(1e9)
)

const (
	maxNameLength = 64
	maxOverhead   = 64

	defaultProbeInterval    = 200 * ms
	defaultProbeTimeout     = 150 * ms
	defaultUnreachableAfter = 2300 * ms
	defaultGoneAfter        = 10 * sec
)

// Config is what a process is configured with.
type Config struct {
	Name, Fleet string
	Incarnation Incarnation // of this process, made from its start; a successor under the same name joins with a newer one
	Slots       int         // addresses at which members may be, by number
	OwnSlot     int         // the own one among them; -1: none
	// Seeds are the addresses of some members, in place of Slots and OwnSlot, where members come and go: the others' are learnt.
	Seeds     []netip.AddrPort
	FleetSize int // intended number of members, of which a majority is more than half; 0: as many as Slots
	Overhead  int // bytes of each datagram that the caller adds, such as a keyed hash; 0 to 64

	ProbeInterval    Time // between two probes; 0: 200 ms
	ProbeTimeout     Time // for an answer, before others are requested to probe; 0: 150 ms
	UnreachableAfter Time // unheard by anybody for so long, lengthened by localHealth and not before minSuspicion, a suspect is unreachable; 0: 2.3 s
	GoneAfter        Time // unreachable for so long, a member is gone; 0: 10 s
	Seed             uint64

	// Planted faults: they prove that the simulation's checks find such faults.
	IgnoreIncarnation, IgnorePause bool
}

// withDefaults checks a configuration and fills in what was left out.
func (cfg Config) withDefaults() (Config, error) {
	if cfg.Name == "" || len(cfg.Name) > maxNameLength {
		return cfg, fmt.Errorf("membership: a name of %d bytes, 1 to 64 are possible", len(cfg.Name))
	}
	if len(cfg.Seeds) > 0 {
		cfg.Slots, cfg.OwnSlot = len(cfg.Seeds), -1
	}
	if cfg.Slots < 1 || cfg.OwnSlot >= cfg.Slots || cfg.Overhead < 0 || cfg.Overhead > maxOverhead {
		return cfg, fmt.Errorf("membership: %d addresses, the own one number %d, %d bytes taken off each datagram", cfg.Slots, cfg.OwnSlot, cfg.Overhead)
	}
	if cfg.FleetSize < 1 {
		cfg.FleetSize = cfg.Slots
	}
	setDefault(&cfg.ProbeInterval, defaultProbeInterval)
	setDefault(&cfg.ProbeTimeout, defaultProbeTimeout)
	setDefault(&cfg.UnreachableAfter, defaultUnreachableAfter)
	setDefault(&cfg.GoneAfter, defaultGoneAfter)
	return cfg, nil
}

func setDefault(value *Time, fallback Time) {
	if *value <= 0 {
		*value = fallback
	}
}
