// Package quota owns how much of an account's limits each proxy may use now. An account's rate of new connections and its open ones belong to all
// proxies together: the account's issuer grants permits and places in small batches that lapse, following demand, and a proxy that hears no issuer
// keeps to its fair share. It does no I/O and reads no clock.
package quota

import (
	"hash/fnv"
	"strings"
	"time"
)

// Time is nanoseconds on the caller's monotonic clock.
type Time = int64

const sec = Time(time.Second)

// Shards is how many jobs the accounts are spread over: an account and all below it belong to one.
const Shards = 4

// Limit is what all proxies together may have; 0: no bound.
type Limit struct {
	Rate        float64 // new connections a second
	Connections int     // open connections
}

// Limits gives an account's limits as the active version has them; an account that it does not know has none.
type Limits func(account string) Limit

// Shard is the job that an account belongs to.
func Shard(account string) int {
	top, _, _ := strings.Cut(account, "/")
	h := fnv.New32a()
	h.Write([]byte(top))
	return int(h.Sum32() % Shards)
}

// withAncestors is an account and those above it, the lowest first.
func withAncestors(account string) []string {
	out := []string{account}
	for i := strings.LastIndexByte(account, '/'); i >= 0; i = strings.LastIndexByte(account[:i], '/') {
		out = append(out, account[:i])
	}
	return out
}
