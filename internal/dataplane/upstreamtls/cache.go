package upstreamtls

import (
	"container/list"
	"crypto/tls"
	"sync"
	"time"
)

// sessionKey is what a session may be reused for: the same host, under the same name, with nothing replaced since.
type sessionKey struct {
	uid   string
	name  Name
	epoch uint64
}

// cache keeps the last session of each host, and forgets the one that was used longest ago. Workers and the loop use it.
type cache struct {
	mu    sync.Mutex
	most  int
	items map[sessionKey]*list.Element
	order list.List // of *kept, the last used first
}

type kept struct {
	key   sessionKey
	state *tls.ClientSessionState
	until time.Time // of the chain that was verified when it was made
}

func newCache(most int) *cache {
	return &cache{most: most, items: map[sessionKey]*list.Element{}}
}

func (c *cache) get(key sessionKey, now time.Time) *tls.ClientSessionState {
	c.mu.Lock()
	defer c.mu.Unlock()
	e := c.items[key]
	if e == nil {
		return nil
	}
	k := e.Value.(*kept)
	if now.After(k.until) {
		// Its certificate has run out; the host may have a new one by now, which a resumed handshake would not show.
		c.drop(e)
		return nil
	}
	c.order.MoveToFront(e)
	return k.state
}

func (c *cache) put(key sessionKey, state *tls.ClientSessionState, until time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if e := c.items[key]; e != nil {
		c.drop(e)
	}
	if state == nil {
		return
	}
	c.items[key] = c.order.PushFront(&kept{key, state, until})
	if c.order.Len() > c.most {
		c.drop(c.order.Back())
	}
}

func (c *cache) drop(e *list.Element) {
	c.order.Remove(e)
	delete(c.items, e.Value.(*kept).key)
}

// keepOnly forgets the sessions of other epochs.
func (c *cache) keepOnly(epoch uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for k, e := range c.items {
		if k.epoch != epoch {
			c.drop(e)
		}
	}
}

func (c *cache) len() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.order.Len()
}
