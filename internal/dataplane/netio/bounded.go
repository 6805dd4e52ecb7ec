package netio

import (
	"container/list"
	"iter"
)

// BoundedConns is a set of connections that hold a descriptor without a request. Its capacity is separate,
// so that hundreds of silent connections use no file descriptor that a request needs. When it is full, Add
// evicts the connection that was added or touched longest ago.
type BoundedConns[C any] struct {
	capacity int
	evict    func(C)   // ends the connection and calls Remove
	conns    list.List // of C, the next to be evicted first
}

// NewBoundedConns returns a set for up to capacity connections. evict must end a connection and call Remove.
func NewBoundedConns[C any](capacity int, evict func(C)) *BoundedConns[C] {
	return &BoundedConns[C]{capacity: capacity, evict: evict}
}

// Add adds a connection as the last to be evicted. It returns the element for Touch and Remove.
func (b *BoundedConns[C]) Add(c C) *list.Element {
	if b.conns.Len() >= b.capacity {
		b.evict(b.conns.Front().Value.(C))
	}
	return b.conns.PushBack(c)
}

// Touch makes a connection the last to be evicted.
func (b *BoundedConns[C]) Touch(e *list.Element) { b.conns.MoveToBack(e) }

// Remove removes a connection.
func (b *BoundedConns[C]) Remove(e *list.Element) { b.conns.Remove(e) }

// Len returns the number of connections.
func (b *BoundedConns[C]) Len() int { return b.conns.Len() }

// All iterates over the connections, the next to be evicted first. The current one may be removed.
func (b *BoundedConns[C]) All() iter.Seq[C] {
	return func(yield func(C) bool) {
		for e := b.conns.Front(); e != nil; {
			c := e.Value.(C)
			e = e.Next()
			if !yield(c) {
				return
			}
		}
	}
}
