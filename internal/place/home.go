package place

import "github.com/greengagewheel/greengagewheel/internal/roster"

// homeGain is what speaks for the home of a prompt that no engine has, in times of reading its shared parts: enough between
// engines of about the same load.
const homeGain = 1.0

// prompt is what a board knows of where a request's prompt is cached.
type prompt struct {
	// home is the engine at which all boards look for the prompt's shared parts, of so many tokens, while they do not know where
	// these are. Entries that choose by themselves would else each have them read anew.
	home   *load
	shared int
	// holder is the engine that has the most of the prompt, held the tokens of that.
	holder *load
	held   int
}

// prompt finds where a request's prompt is cached.
func (b *Board) prompt(q *Request) (p prompt) {
	if len(q.Parts) == 0 {
		return p
	}
	ls := b.services[q.Service]
	p.home, p.shared = home(ls, q)
	for _, l := range ls {
		if l.cache == nil || l.ep.State != roster.Ready {
			continue
		}
		if n := l.has(q, &p); n > p.held {
			p.holder, p.held = l, n
		}
	}
	return p
}

// home chooses an engine by the shared parts of a prompt alone, the same wherever the same engines are known, and returns the
// tokens of these parts. The last part of a prompt is the request's or its session's own.
func home(ls []*load, q *Request) (best *load, tokens int) {
	shared := q.Parts[:len(q.Parts)-1]
	if len(shared) == 0 {
		return nil, 0
	}
	for _, p := range shared {
		tokens += p.Tokens
	}
	name, most := shared[len(shared)-1].ID, uint64(0)
	for _, l := range ls {
		if l.cache == nil || l.ep.State != roster.Ready {
			continue
		}
		if h := mix(l.hash ^ name); best == nil || h > most {
			best, most = l, h
		}
	}
	return best, tokens
}

// mix spreads the bits of a hash.
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// has returns the tokens of a prompt that an engine likely has in its cache.
func (l *load) has(q *Request, p *prompt) int {
	n := l.cache.hit(q.Parts)
	if l == p.home && !l.known {
		n = max(n, p.shared)
	}
	return n
}

// work returns what an engine must do for a request's prompt: the tokens that it must read, and those that it can fetch from
// the engine source, which has them in its cache.
func (l *load) work(q *Request, p prompt) (need, moved int, source *load) {
	if l.cache == nil {
		return 0, 0, nil
	}
	most := l.has(q, &p)
	if n := p.held - most; p.holder != l && n >= leastMove {
		most, moved, source = p.held, n, p.holder
	}
	return max(0, q.Input-most), moved, source
}
