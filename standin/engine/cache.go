package engine

import (
	"container/list"

	"hawthornway/model"
)

// lru is a cache that evicts the least recently used items when their total size
// exceeds its capacity.
type lru[K comparable] struct {
	capacity int64
	used     int64
	order    *list.List
	items    map[K]*list.Element
}

type lruItem[K comparable] struct {
	key  K
	size int64
}

func newLRU[K comparable](capacity int64) *lru[K] {
	return &lru[K]{capacity: capacity, order: list.New(), items: make(map[K]*list.Element)}
}

// touch reports whether the cache holds key, and marks it as recently used.
func (c *lru[K]) touch(key K) bool {
	element, found := c.items[key]
	if found {
		c.order.MoveToFront(element)
	}
	return found
}

// put adds key and returns the keys evicted for it. A key larger than the
// capacity is not added.
func (c *lru[K]) put(key K, size int64) []K {
	if c.touch(key) || size > c.capacity {
		return nil
	}
	c.items[key] = c.order.PushFront(lruItem[K]{key: key, size: size})
	c.used += size
	var evicted []K
	for c.used > c.capacity {
		evicted = append(evicted, c.evictOldest())
	}
	return evicted
}

func (c *lru[K]) evictOldest() K {
	item := c.order.Remove(c.order.Back()).(lruItem[K])
	delete(c.items, item.key)
	c.used -= item.size
	return item.key
}

// weightKey identifies the weights of one version of a model or adapter.
type weightKey struct {
	name    model.Name
	version model.Version
}
