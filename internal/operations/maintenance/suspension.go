package maintenance

import (
	"hash/fnv"
	"time"
)

// StartUncertainty is how long, in nanoseconds, a host that has come back may have started without discovery saying so.
const StartUncertainty = int64(6 * time.Second)

// Suspension is a host that gets nothing new.
type Suspension struct {
	ID    string `json:"ID"`
	Since int64  `json:"Since"` // when the first call came, Unix nanoseconds
}

// StartOnResume is when a host that is resumed now counts as started, and whether that is a guess, which ends after StartUncertainty. listed is its
// latest start as discovery says. Hosts are suspended to be restarted; one of which discovery has named no start since may be warming up, and
// counts as such until discovery would have named it.
func (s Suspension) StartOnResume(listed, now int64) (start int64, guess bool) {
	if listed >= s.Since {
		return listed, false
	}
	return now, true
}

const (
	// migrationSpread is the time over which connections leave a suspended host: before a restart that follows soon, and not all in
	// one moment.
	migrationSpread = time.Second
	migrationSlots  = 1000
)

// MigrationDelay is how long after its host's suspension a connection migrates: spread evenly by its request's ID, over all proxies together however
// few each of them has.
func MigrationDelay(request string) time.Duration {
	h := fnv.New32a()
	h.Write([]byte(request))
	return time.Duration(h.Sum32()%migrationSlots) * migrationSpread / migrationSlots
}
