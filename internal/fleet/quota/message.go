// Package quota owns how much of an account's limits each proxy may use now. An account's rate of new connections and its open ones belong to all
// proxies together: the account's owner hands out permits and places in small batches that lapse, following demand, and a proxy that hears no owner keeps
// to its fair share. It does no I/O and reads no clock.
package quota

import (
	"hash/fnv"
	"math"
	"strings"
	"time"

	"croftlock/internal/fleet/encoding"
)

// Time is nanoseconds on the caller's monotonic clock.
type Time = int64

const sec = Time(time.Second)

// Shards is how many jobs the accounts are spread over: an account and all below it belong to one.
const Shards = 4

// mostAsked bounds the accounts in one message.
const mostAsked = 512

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

// chain is an account and those above it, the lowest first.
func chain(account string) []string {
	out := []string{account}
	for i := strings.LastIndexByte(account, '/'); i >= 0; i = strings.LastIndexByte(account[:i], '/') {
		out = append(out, account[:i])
	}
	return out
}

// line is what a proxy says of one account, or is given.
type line struct {
	account string
	permits uint64 // new connections that are wanted, or given
	held    uint64 // open connections here
	places  uint64 // more that are wanted; or how many may be open here in all
}

func write(lines []line) []byte {
	var w encoding.Writer
	w.Uint(uint64(len(lines)))
	for _, l := range lines {
		w.Text(l.account).Uint(l.permits).Uint(l.held).Uint(l.places)
	}
	return w.Data
}

func read(data []byte) ([]line, error) {
	r := encoding.Reader{Data: data}
	var out []line
	for n := r.Count(mostAsked); n > 0; n-- {
		l := line{account: r.Text(400), permits: r.Uint(), held: r.Uint(), places: r.Uint()}
		l.permits, l.held, l.places = min(l.permits, math.MaxInt32), min(l.held, math.MaxInt32), min(l.places, math.MaxInt32)
		out = append(out, l)
	}
	return out, r.Err()
}
