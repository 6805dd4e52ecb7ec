// Package quota decides how much of an account's limits each proxy may use. An account's rate of
// new connections and its number of open connections are limited over all proxies together. The
// account's issuer, which is the owner of its shard's job, follows demand and grants permits (one
// new connection each) and open connections in small batches that lapse. A proxy that receives no
// replies from an issuer uses its fair share, an equal part of the limit. The package does no I/O
// and reads no clock.
//
// The valid grants and the shares in use together exceed a limit by no more than
// docs/design-namespaces.md states. Three waits, counted in grant lifetimes, ensure that. The
// issuer reserves a silent proxy's share from 2 lifetimes after the proxy's last query. The proxy
// uses its share from 2 lifetimes after its last grant lapsed, which is 3 after it sent the query.
// A new issuer, which does not know its predecessor's grants, grants nothing for 2 lifetimes.
package quota

import (
	"hash/fnv"
	"strings"
	"time"
)

// Time is a number of nanoseconds on the caller's monotonic clock.
type Time = int64

const second = Time(time.Second)

// Shards is the number of jobs over which the accounts are distributed. An account and all accounts
// below it belong to the same shard.
const Shards = 4

// Limit bounds an account over all proxies together. A zero field means no limit.
type Limit struct {
	Rate        float64 // new connections per second
	Connections int     // open connections
}

// Limits returns an account's limits in the active rules version, or a zero Limit if the account
// has none.
type Limits func(account string) Limit

// Shard returns the index of the job to which an account belongs.
func Shard(account string) int {
	top, _, _ := strings.Cut(account, "/")
	h := fnv.New32a()
	h.Write([]byte(top))
	return int(h.Sum32() % Shards)
}

// withAncestors returns the account followed by all accounts above it, nearest first.
func withAncestors(account string) []string {
	out := []string{account}
	for i := strings.LastIndexByte(account, '/'); i >= 0; i = strings.LastIndexByte(account[:i], '/') {
		out = append(out, account[:i])
	}
	return out
}
