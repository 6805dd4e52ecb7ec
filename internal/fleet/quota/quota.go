// Package quota owns how much of an account's limits each proxy may use now. An account's rate of new connections and its number of open ones are
// limited over all proxies together. The account's issuer, the owner of its shard's job, grants permits (one new connection each) and open
// connections in small batches that lapse, following demand. A proxy without replies of an issuer keeps to its fair share, an equal part of the limit. It
// does no I/O and reads no clock.
//
// The grants that are valid at one time and the shares in use exceed a limit by no more than docs/design-namespaces.md states. That rests on three
// waits, in grant lifetimes: the issuer reserves a silent proxy's share from 2 after the proxy's last query; the proxy uses its share from 2 after
// its last grant has lapsed, which is 3 after it sent the query; and a new issuer, which does not know its predecessor's grants, grants nothing
// for 2.
package quota

import (
	"hash/fnv"
	"strings"
	"time"
)

// Time is nanoseconds on the caller's monotonic clock.
type Time = int64

const second = Time(time.Second)

// Shards is how many jobs the accounts are spread over: an account and all below it belong to one shard.
const Shards = 4

// Limit bounds all proxies together; 0: no bound.
type Limit struct {
	Rate        float64 // new connections a second
	Connections int     // open connections
}

// Limits gives an account's limits by the active version of the rules; an account that it lacks has none.
type Limits func(account string) Limit

// Shard is the job that an account belongs to.
func Shard(account string) int {
	top, _, _ := strings.Cut(account, "/")
	h := fnv.New32a()
	h.Write([]byte(top))
	return int(h.Sum32() % Shards)
}

// withAncestors is an account and those above it, the account itself first.
func withAncestors(account string) []string {
	out := []string{account}
	for i := strings.LastIndexByte(account, '/'); i >= 0; i = strings.LastIndexByte(account[:i], '/') {
		out = append(out, account[:i])
	}
	return out
}
