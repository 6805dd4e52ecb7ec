package ledger

// followerLease is how long a balancer counts as a follower after its last message that only a follower
// sends, in nanoseconds. Followers send one every FollowInterval.
const followerLease = 3e9

// FollowInterval is the time between two Follow messages of a balancer, in nanoseconds.
const FollowInterval = 1e9

// maxFollowers limits how many balancers are stored.
const maxFollowers = 4096

// Followers records which balancers query this ledger server and no other one. Several ledger servers
// may be in use at once, if balancers that do not reach each other choose different ones. Each of them
// may then give out only its followers' part of what all balancers may send to a host in slow start.
type Followers struct {
	byPeer map[int]follower
}

// follower is the record of one balancer.
type follower struct {
	since  Time // of its first message; its lease has not run out since then
	lastAt Time // of its last message
}

// NewFollowers returns the record of a ledger server that no balancer has queried yet.
func NewFollowers() *Followers { return &Followers{byPeer: map[int]follower{}} }

// MessageReceived records a Query, Sync or Follow message of a balancer. It ignores a new balancer if
// maxFollowers others have a lease.
func (f *Followers) MessageReceived(peer int, now Time) {
	known, found := f.byPeer[peer]
	if !found && len(f.byPeer) >= maxFollowers {
		f.removeExpired(now)
		if len(f.byPeer) >= maxFollowers {
			return
		}
	}
	if !found || now-known.lastAt > followerLease {
		known.since = now
	}
	known.lastAt = now
	f.byPeer[peer] = known
}

// removeExpired removes the balancers whose lease has run out.
func (f *Followers) removeExpired(now Time) {
	for peer, known := range f.byPeer {
		if now-known.lastAt > followerLease {
			delete(f.byPeer, peer)
		}
	}
}

// Settled returns how many balancers have a lease and have followed for longer than an earlier ledger
// server can still have counted them, and than window, in nanoseconds, after that.
func (f *Followers) Settled(now, window Time) int {
	count := 0
	for _, known := range f.byPeer {
		if now-known.lastAt <= followerLease && now-known.since >= followerLease+window {
			count++
		}
	}
	return count
}
