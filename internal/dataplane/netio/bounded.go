package netio

import (
	"container/list"
	"iter"
)

// BoundedConns are connections that hold a descriptor without a request. They have a capacity of their own, so that hundreds that send
// nothing take no descriptor that a request needs; beyond it the one that was added or touched longest ago is evicted for the next.
type BoundedConns[C any] struct {
	capacity int
	evict    func(C)   // ends a connection, and removes it
	conns    list.List // of C, the next to be evicted first
}

// NewBoundedConns is for so many connections, which evict ends.
func NewBoundedConns[C any](capacity int, evict func(C)) *BoundedConns[C] {
	return &BoundedConns[C]{capacity: capacity, evict: evict}
}

// Add adds a connection as the last to be evicted. Touch and Remove take what it gives.
func (b *BoundedConns[C]) Add(c C) *list.Element {
	if b.conns.Len() >= b.capacity {
		b.evict(b.conns.Front().Value.(C))
	}
	return b.conns.PushBack(c)
}

// Touch makes a connection the last to be evicted.
func (b *BoundedConns[C]) Touch(e *list.Element) { b.conns.MoveToBack(e) }

// Remove takes a connection out.
func (b *BoundedConns[C]) Remove(e *list.Element) { b.conns.Remove(e) }

// Len is how many there are.
func (b *BoundedConns[C]) Len() int { return b.conns.Len() }

// All gives each of them, the next to be evicted first; each may be removed as it is given.
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
