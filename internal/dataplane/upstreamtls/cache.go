package upstreamtls

import (
	"container/list"
	"crypto/tls"
	"sync"
	"time"
)

// sessionKey is what a session may be resumed for: the same host, under the same name, in the same epoch of the files.
type sessionKey struct {
	uid   string
	name  Name
	epoch uint64
}

// sessionCache caches the last session of each host, and drops the one used longest ago. Workers and the loop use it.
type sessionCache struct {
	mu           sync.Mutex
	maxSessions  int
	elements     map[sessionKey]*list.Element
	recentlyUsed list.List // of *cachedSession, the last used first
}

type cachedSession struct {
	key        sessionKey
	state      *tls.ClientSessionState
	validUntil time.Time // of the chain that was verified when it was made
}

func newSessionCache(maxSessions int) *sessionCache {
	return &sessionCache{maxSessions: maxSessions, elements: map[sessionKey]*list.Element{}}
}

func (c *sessionCache) get(key sessionKey, now time.Time) *tls.ClientSessionState {
	c.mu.Lock()
	defer c.mu.Unlock()
	e := c.elements[key]
	if e == nil {
		return nil
	}
	cached := e.Value.(*cachedSession)
	if now.After(cached.validUntil) {
		// Its certificate has ended; the host may have a new one by now, which a resumed handshake would not show.
		c.remove(e)
		return nil
	}
	c.recentlyUsed.MoveToFront(e)
	return cached.state
}

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

func (c *sessionCache) remove(e *list.Element) {
	c.recentlyUsed.Remove(e)
	delete(c.elements, e.Value.(*cachedSession).key)
}

// removeOtherEpochs drops the sessions of other epochs.
func (c *sessionCache) removeOtherEpochs(epoch uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for k, e := range c.elements {
		if k.epoch != epoch {
			c.remove(e)
		}
	}
}

func (c *sessionCache) len() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.recentlyUsed.Len()
}
