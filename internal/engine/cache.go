package engine

import (
	"container/list"

	"github.com/greengagewheel/greengagewheel/pkg/endpt"
)

// maxPending bounds the cache events kept for the next announcement.
const maxPending = 128

// cache is a prefix-block cache with least-recently-used eviction and an event feed.
type cache struct {
	limit  int
	order  *list.List
	held   map[uint64]*list.Element
	seq    uint64
	events []endpt.CacheEvent
}

func newCache(limit int) *cache {
	return &cache{limit: limit, order: list.New(), held: map[uint64]*list.Element{}}
}

// touch returns how many leading blocks were held, and then holds them all.
func (c *cache) touch(blocks []uint64) int {
	hit := 0
	for hit < len(blocks) && c.held[blocks[hit]] != nil {
		hit++
	}
	for _, b := range blocks {
		c.hold(b)
	}
	return hit
}

func (c *cache) hold(b uint64) {
	if e := c.held[b]; e != nil {
		c.order.MoveToFront(e)
		return
	}
	c.held[b] = c.order.PushFront(b)
	c.record(b, true)
	for c.order.Len() > c.limit {
		last := c.order.Remove(c.order.Back()).(uint64)
		delete(c.held, last)
		c.record(last, false)
	}
}

// record queues an event; when the queue is full the event is lost, which leaves a gap in the numbers.
func (c *cache) record(b uint64, held bool) {
	c.seq++
	if len(c.events) < maxPending {
		c.events = append(c.events, endpt.CacheEvent{Seq: c.seq, Block: b, Held: held})
	}
}

func (c *cache) drain() []endpt.CacheEvent {
	out := c.events
	c.events = nil
	return out
}
