package membership

import (
	"fmt"
	"net/netip"
)

// Time is a time on the caller's monotonic clock, or a duration, in nanoseconds.
type Time = int64

const (
	ms  = Time(1e6)
	sec = Time(1e9)
)

const (
	maxNameLength = 64 // bytes
	maxOverhead   = 64 // bytes

	defaultProbeInterval    = 200 * ms
	defaultProbeTimeout     = 150 * ms
	defaultUnreachableAfter = 2300 * ms
	defaultGoneAfter        = 10 * sec
)

// Config is the configuration of one process.
type Config struct {
	Name, Fleet string // names of this process and of its fleet
	// Incarnation is made from the start time of this process. A successor under the same name joins
	// with a newer one.
	Incarnation Incarnation
	Slots       int // count of slots; a slot is the index, from 0, of an address at which a member may be
	OwnSlot     int // slot of this process; -1 if it has none
	// Seeds are the addresses of some members. If set, Slots and OwnSlot are ignored and the addresses of
	// the other members are learnt, so that members may come and go.
	Seeds []netip.AddrPort
	// FleetSize is the intended number of members. More than half of it is a majority. Zero means the
	// number of slots.
	FleetSize int
	Overhead  int // bytes that the caller adds to each datagram, such as a keyed hash; 0 to 64

	ProbeInterval Time // time between two probes; zero means 200 ms
	// ProbeTimeout is how long to wait for an answer before requesting indirect probes. Zero means 150 ms.
	ProbeTimeout Time
	// UnreachableAfter is the time after which a suspect (a member that answered neither direct nor
	// indirect probes) becomes unreachable if no process has heard from it. The local health multiplier,
	// which rises while this process hears nobody, lengthens this time. A suspicion lasts at least
	// minSuspicion, 250 ms and more with the fleet's size. Zero means 2.3 s.
	UnreachableAfter Time
	GoneAfter        Time   // how long a member must be unreachable before it is gone; zero means 10 s
	Seed             uint64 // seed of the random numbers

	// IgnoreIncarnation and IgnorePause inject faults, to show that the checks of the simulation detect
	// them: this process accepts older incarnations, or does not detect its own pauses.
	IgnoreIncarnation, IgnorePause bool
}

// withDefaults validates a configuration and returns it with defaults for the unset fields.
func (cfg Config) withDefaults() (Config, error) {
	if cfg.Name == "" || len(cfg.Name) > maxNameLength {
		return cfg, fmt.Errorf("membership: name %q has %d bytes, expected 1 to %d", cfg.Name, len(cfg.Name), maxNameLength)
	}
	if len(cfg.Seeds) > 0 {
		cfg.Slots, cfg.OwnSlot = len(cfg.Seeds), -1
	}
	if cfg.Slots < 1 || cfg.OwnSlot >= cfg.Slots || cfg.Overhead < 0 || cfg.Overhead > maxOverhead {
		return cfg, fmt.Errorf("membership: invalid configuration: %d slots (want at least 1), own slot %d (want less than the number of slots), overhead of %d bytes (want 0 to %d)",
			cfg.Slots, cfg.OwnSlot, cfg.Overhead, maxOverhead)
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

// setDefault sets *value to fallback if it is zero or negative.
func setDefault(value *Time, fallback Time) {
	if *value <= 0 {
		*value = fallback
	}
}
