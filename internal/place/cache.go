package place

import "container/list"

type (
	// cache is a guess at what an engine has in its prompt cache: leading chains of parts, least recently used first out.
	cache struct {
		limit int
		used  int
		order *list.List
		byKey map[uint64]*list.Element
	}

	held struct {
		key    uint64
		tokens int
	}
)

func newCache(limit int) *cache {
	return &cache{limit: limit, order: list.New(), byKey: map[uint64]*list.Element{}}
}

// chain returns the key of each leading chain of parts; a part counts only behind the parts before it.
func chain(parts []Part) []uint64 {
	const prime = 1099511628211
	keys := make([]uint64, len(parts))
	h := uint64(14695981039346656037)
	for i, p := range parts {
		h = (h ^ p.ID) * prime
		h ^= h >> 29
		keys[i] = h
	}
	return keys
}

// hit returns the tokens of a prompt's leading parts that are likely cached.
func (c *cache) hit(keys []uint64, parts []Part) int {
	n := 0
	for i, k := range keys {
		if c.byKey[k] == nil {
			break
		}
		n += parts[i].Tokens
	}
	return n
}

// touch enters a prompt's parts as used just now.
func (c *cache) touch(keys []uint64, parts []Part) {
	for i := len(keys) - 1; i >= 0; i-- {
		if e := c.byKey[keys[i]]; e != nil {
			c.order.MoveToBack(e)
			continue
		}
		c.byKey[keys[i]] = c.order.PushBack(held{keys[i], parts[i].Tokens})
		c.used += parts[i].Tokens
	}
	for c.used > c.limit && c.order.Len() > 0 {
		e := c.order.Front()
		h, _ := c.order.Remove(e).(held)
		delete(c.byKey, h.key)
		c.used -= h.tokens
	}
}
