package maintenance

import (
	"hash/fnv"
	"time"
)

// StartUncertainty is the longest time, in nanoseconds, from the resumption of a host until discovery
// reports a restart of the host during its suspension.
const StartUncertainty = int64(6 * time.Second)

// Suspension is the suspension of a host, which gets no new requests while it lasts.
type Suspension struct {
	ID    string `json:"ID"`    // of the host
	Since int64  `json:"Since"` // time of the first call that suspended the host, in Unix nanoseconds
}

// StartOnResume returns the time at which a host that is resumed at the time now counts as started.
// listed is the latest start of the host that discovery has reported. Operators suspend hosts to restart
// them, so a host without a reported start since its suspension may be warming up. Its start is then
// guessed as now, and guess is true; the caller must use a guess for StartUncertainty at most. Times are
// Unix nanoseconds.
func (s Suspension) StartOnResume(listed, now int64) (start int64, guess bool) {
	if listed >= s.Since {
		return listed, false
	}
	return now, true
}

const (
	// migrationSpread is the time over which connections migrate off a suspended host. It is short,
	// because operators may restart the host soon, but long enough that not all connections migrate
	// at once.
	migrationSpread = time.Second
	migrationSlots  = 1000 // number of different delays within migrationSpread
)

// MigrationDelay returns the time from the suspension of a host until a connection at it migrates: at
// least 0 and less than migrationSpread. request is the ID of the connection's request. The delay is
// derived from a hash of the ID, so that the migrations at all proxies together are spread evenly,
// however few connections each proxy has.
func MigrationDelay(request string) time.Duration {
	h := fnv.New32a()
	h.Write([]byte(request))
	return time.Duration(h.Sum32()%migrationSlots) * migrationSpread / migrationSlots
}
