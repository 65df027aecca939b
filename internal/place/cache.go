package place

import "container/list"

type (
	// cache is a guess at which parts of prompts an engine has in its cache: those used least recently go first.
	cache struct {
		limit int
		used  int
		order *list.List
		byID  map[uint64]*list.Element
	}
)

func newCache(limit int) *cache {
	return &cache{limit: limit, order: list.New(), byID: map[uint64]*list.Element{}}
}

// hit returns the tokens of a prompt's leading parts that are likely cached; a part counts only behind the parts before it.
func (c *cache) hit(parts []Part) int {
	n := 0
	for _, p := range parts {
		if c.byID[p.ID] == nil {
			break
		}
		n += p.Tokens
	}
	return n
}

// touch enters a prompt's parts as used just now, the first ones last, as the others are of no use without them.
func (c *cache) touch(parts []Part) {
	for i := len(parts) - 1; i >= 0; i-- {
		p := parts[i]
		if e := c.byID[p.ID]; e != nil {
			c.order.MoveToBack(e)
			continue
		}
		c.byID[p.ID] = c.order.PushBack(p)
		c.used += p.Tokens
	}
	for c.used > c.limit && c.order.Len() > 0 {
		p, _ := c.order.Remove(c.order.Front()).(Part)
		delete(c.byID, p.ID)
		c.used -= p.Tokens
	}
}
