package engine

import (
	"container/list"

	"github.com/greengagewheel/greengagewheel/pkg/endpt"
)

// maxPendingEvents is the largest number of cache events kept for the next announcement.
const maxPendingEvents = 128

// cache is a prefix-block cache with least-recently-used eviction that records insertions and evictions as events.
type cache struct {
	maxBlocks int
	lru       *list.List
	elements  map[uint64]*list.Element
	seq       uint64
	pending   []endpt.CacheEvent
}

func newCache(maxBlocks int) *cache {
	return &cache{maxBlocks: maxBlocks, lru: list.New(), elements: map[uint64]*list.Element{}}
}

// touch returns how many leading blocks were in the cache, then inserts all of them.
func (c *cache) touch(blocks []uint64) int {
	hits := 0
	for hits < len(blocks) && c.elements[blocks[hits]] != nil {
		hits++
	}
	for _, block := range blocks {
		c.insert(block)
	}
	return hits
}

func (c *cache) insert(block uint64) {
	if element := c.elements[block]; element != nil {
		c.lru.MoveToFront(element)
		return
	}
	c.elements[block] = c.lru.PushFront(block)
	c.recordEvent(block, true)
	for c.lru.Len() > c.maxBlocks {
		evicted := c.lru.Remove(c.lru.Back()).(uint64)
		delete(c.elements, evicted)
		c.recordEvent(evicted, false)
	}
}

// recordEvent queues an event. If the queue is full, the event is dropped, which leaves a gap in the sequence numbers.
func (c *cache) recordEvent(block uint64, held bool) {
	c.seq++
	if len(c.pending) < maxPendingEvents {
		c.pending = append(c.pending, endpt.CacheEvent{Seq: c.seq, Block: block, Held: held})
	}
}

// takeEvents returns the queued events and empties the queue.
func (c *cache) takeEvents() []endpt.CacheEvent {
	events := c.pending
	c.pending = nil
	return events
}
