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
	mu          sync.Mutex
	maxSessions int
	items       map[sessionKey]*list.Element
	order       list.List // of *cachedSession, the last used first
}

type cachedSession struct {
	key        sessionKey
	state      *tls.ClientSessionState
	validUntil time.Time // of the chain that was verified when it was made
}

func newSessionCache(most int) *sessionCache {
	return &sessionCache{maxSessions: most, items: map[sessionKey]*list.Element{}}
}

func (c *sessionCache) get(key sessionKey, now time.Time) *tls.ClientSessionState {
	c.mu.Lock()
	defer c.mu.Unlock()
	e := c.items[key]
	if e == nil {
		return nil
	}
	k := e.Value.(*cachedSession)
	if now.After(k.validUntil) {
		// Its certificate has ended; the host may have a new one by now, which a resumed handshake would not show.
		c.remove(e)
		return nil
	}
	c.order.MoveToFront(e)
	return k.state
}

func (c *sessionCache) put(key sessionKey, state *tls.ClientSessionState, until time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if e := c.items[key]; e != nil {
		c.remove(e)
	}
	if state == nil {
		return
	}
	c.items[key] = c.order.PushFront(&cachedSession{key, state, until})
	if c.order.Len() > c.maxSessions {
		c.remove(c.order.Back())
	}
}

func (c *sessionCache) remove(e *list.Element) {
	c.order.Remove(e)
	delete(c.items, e.Value.(*cachedSession).key)
}

// keepOnly drops the sessions of other epochs.
func (c *sessionCache) keepOnly(epoch uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for k, e := range c.items {
		if k.epoch != epoch {
			c.remove(e)
		}
	}
}

func (c *sessionCache) len() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.order.Len()
}
