package maintenance

import (
	"hash/fnv"
	"time"
)

// StartUncertainty is how long after a resumption, in nanoseconds, discovery may not have reported
// yet that the host was restarted.
const StartUncertainty = int64(6 * time.Second)

// Suspension is the suspension of a host, which gets no new requests while it lasts.
type Suspension struct {
	ID    string `json:"ID"`
	Since int64  `json:"Since"` // time of the first call, Unix nanoseconds
}

// StartOnResume returns when a host that is resumed now counts as started, and whether that is a
// guess, which holds for StartUncertainty at most. listed is the latest start that discovery has
// reported. Operators suspend hosts to restart them. A host with no reported start since its
// suspension may be warming up, and counts as such until discovery would have reported the restart.
// Times are Unix nanoseconds.
func (s Suspension) StartOnResume(listed, now int64) (start int64, guess bool) {
	if listed >= s.Since {
		return listed, false
	}
	return now, true
}

const (
	// migrationSpread is the time over which connections migrate off a suspended host: short,
	// because a restart may follow soon, but not a moment in which all of them migrate at once.
	migrationSpread = time.Second
	migrationSlots  = 1000
)

// MigrationDelay returns how long after its host's suspension a connection migrates. The delay is a
// hash of the request's ID, so that the migrations of all proxies together are spread evenly,
// however few connections each proxy has.
func MigrationDelay(request string) time.Duration {
	h := fnv.New32a()
	h.Write([]byte(request))
	return time.Duration(h.Sum32()%migrationSlots) * migrationSpread / migrationSlots
}
