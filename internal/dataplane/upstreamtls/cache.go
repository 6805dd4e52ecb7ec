package upstreamtls

import (
	"container/list"
	"crypto/tls"
	"sync"
	"time"
)

// sessionKey identifies the sessions that a handshake may resume: those of the same host, verified
// under the same name, with the same version of the files (epoch; see Material).
type sessionKey struct {
	uid   string // the host's ID
	name  Name
	epoch uint64
}

// sessionCache caches the last session of each sessionKey, and evicts the least recently used. It is
// safe for concurrent use by the workers and the loop.
type sessionCache struct {
	mu           sync.Mutex // guards elements and recentlyUsed
	maxSessions  int
	elements     map[sessionKey]*list.Element // elements of recentlyUsed
	recentlyUsed list.List                    // of *cachedSession, the most recently used first
}

// cachedSession is the value of an element of a sessionCache.
type cachedSession struct {
	key        sessionKey
	state      *tls.ClientSessionState
	validUntil time.Time // end of the chain that was verified when the session was made
}

// newSessionCache returns an empty cache that holds at most maxSessions sessions.
func newSessionCache(maxSessions int) *sessionCache {
	return &sessionCache{maxSessions: maxSessions, elements: map[sessionKey]*list.Element{}}
}

// get returns the session for key, or nil if there is none whose certificates are valid at now.
func (c *sessionCache) get(key sessionKey, now time.Time) *tls.ClientSessionState {
	c.mu.Lock()
	defer c.mu.Unlock()
	e := c.elements[key]
	if e == nil {
		return nil
	}
	cached := e.Value.(*cachedSession)
	if now.After(cached.validUntil) {
		// The certificate has expired. The host may have a new one, which a resumed handshake would not present.
		c.remove(e)
		return nil
	}
	c.recentlyUsed.MoveToFront(e)
	return cached.state
}

// put replaces the session for key. A nil state removes the session. A full cache evicts the least
// recently used session.
func (c *sessionCache) put(key sessionKey, state *tls.ClientSessionState, validUntil time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if e := c.elements[key]; e != nil {
		c.remove(e)
	}
	if state == nil {
		return
	}
	c.elements[key] = c.recentlyUsed.PushFront(&cachedSession{key, state, validUntil})
	if c.recentlyUsed.Len() > c.maxSessions {
		c.remove(c.recentlyUsed.Back())
	}
}

// remove removes an element. The caller must hold c.mu.
func (c *sessionCache) remove(e *list.Element) {
	c.recentlyUsed.Remove(e)
	delete(c.elements, e.Value.(*cachedSession).key)
}

// removeOtherEpochs removes the sessions of all epochs but the given one.
func (c *sessionCache) removeOtherEpochs(epoch uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for k, e := range c.elements {
		if k.epoch != epoch {
			c.remove(e)
		}
	}
}

// len returns the number of cached sessions.
func (c *sessionCache) len() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.recentlyUsed.Len()
}
