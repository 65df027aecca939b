package place

import "container/list"

type (
	// promptCache estimates which prompt parts an engine has in its cache, assuming least-recently-used eviction.
	promptCache struct {
		limitTokens int
		usedTokens  int
		lru         *list.List
		byID        map[uint64]*list.Element
	}
)

func newPromptCache(limit int) *promptCache {
	return &promptCache{limitTokens: limit, lru: list.New(), byID: map[uint64]*list.Element{}}
}

// cachedTokens returns the number of tokens in the leading parts of a prompt that are likely cached. A part counts only if all
// parts before it are cached.
func (c *promptCache) cachedTokens(parts []PromptPart) int {
	tokens := 0
	for _, p := range parts {
		if c.byID[p.ID] == nil {
			break
		}
		tokens += p.Tokens
	}
	return tokens
}

// touch marks a prompt's parts as just used. Leading parts become the most recent, as later parts are useless without them.
func (c *promptCache) touch(parts []PromptPart) {
	for i := len(parts) - 1; i >= 0; i-- {
		p := parts[i]
		if elem := c.byID[p.ID]; elem != nil {
			c.lru.MoveToBack(elem)
			continue
		}
		c.byID[p.ID] = c.lru.PushBack(p)
		c.usedTokens += p.Tokens
	}
	for c.usedTokens > c.limitTokens && c.lru.Len() > 0 {
		oldest, _ := c.lru.Remove(c.lru.Front()).(PromptPart)
		delete(c.byID, oldest.ID)
		c.usedTokens -= oldest.Tokens
	}
}
