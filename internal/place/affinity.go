package place

import (
	"time"

	"github.com/greengagewheel/greengagewheel/internal/roster"
)

// lostFor is how long an engine that broke off or refused a connection holds no prompts for others, unless a heartbeat or an answer
// tells before that it runs.
const lostFor = 10 * time.Second

// preferredGain is the cost reduction of the preferred engine for a prompt that no engine is known to hold, in units of the
// prefill time of its shared parts. It decides between engines of similar load.
const preferredGain = 1.0

type (
	// promptLocation identifies the engines that are likely to have a request's prompt in their caches.
	promptLocation struct {
		// preferred is the engine that all balancers assume to hold the shared parts of the prompt, of sharedTokens tokens, while the
		// real location is unknown. Without it, each entry instance that places on its own would have them prefilled again.
		preferred    *endpoint
		sharedTokens int
		// holders lists, for each software version, the engine that has the most leading tokens of the prompt. Caches of different
		// versions do not fit together.
		holders []promptHolder
	}

	// promptHolder is an engine that has a number of leading tokens of a prompt.
	promptHolder struct {
		engine *endpoint
		tokens int
	}
)

// locatePrompt finds the engines that are likely to have a request's prompt cached. An engine that leaves takes no requests, but others
// fetch from it while it is there; what only it holds would be prefilled again.
func (b *Balancer) locatePrompt(now time.Time, req *Request) (loc promptLocation) {
	if len(req.Parts) == 0 {
		return loc
	}
	eps := b.byService[req.Service]
	loc.preferred, loc.sharedTokens = preferredEngine(eps, req)
	for _, ep := range eps {
		if ep.promptCache == nil || ep.lost(now) {
			continue
		}
		if tokens := ep.cachedTokens(req, &loc); tokens > 0 {
			loc.addHolder(promptHolder{ep, tokens})
		}
	}
	return loc
}

// lost reports whether an engine has broken off or refused a connection and has not been heard of since.
func (ep *endpoint) lost(now time.Time) bool {
	return !ep.lostAt.IsZero() && now.Sub(ep.lostAt) < lostFor
}

// addHolder makes an engine the holder for its software version if it has more tokens than the present one.
func (loc *promptLocation) addHolder(h promptHolder) {
	for i := range loc.holders {
		if known := &loc.holders[i]; known.engine.info.Build == h.engine.info.Build {
			if h.tokens > known.tokens || h.tokens == known.tokens && known.engine.info.State != roster.Ready {
				*known = h
			}
			return
		}
	}
	loc.holders = append(loc.holders, h)
}

// holder returns the engine of a software version that has the most leading tokens of the prompt, or none.
func (loc *promptLocation) holder(build string) promptHolder {
	for _, h := range loc.holders {
		if h.engine.info.Build == build {
			return h
		}
	}
	return promptHolder{}
}

// preferredEngine chooses an engine without a limit by rendezvous hashing of the shared parts of a prompt, so that all instances with
// the same endpoints choose the same one, and returns the number of tokens in these parts. The last part of a prompt belongs to the
// request or its session and is not shared.
func preferredEngine(eps []*endpoint, req *Request) (best *endpoint, tokens int) {
	shared := req.Parts[:len(req.Parts)-1]
	if len(shared) == 0 {
		return nil, 0
	}
	for _, p := range shared {
		tokens += p.Tokens
	}
	prefixID, highest := shared[len(shared)-1].ID, uint64(0)
	for _, ep := range eps {
		if ep.promptCache == nil || ep.info.State != roster.Ready || ep.limit != nil {
			continue
		}
		if weight := mixBits(ep.idHash ^ prefixID); best == nil || weight > highest {
			best, highest = ep, weight
		}
	}
	return best, tokens
}

// mixBits is the SplitMix64 finalizer, which spreads the entropy of a hash over all bits.
func mixBits(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// cachedTokens returns the number of leading tokens of a prompt that the engine is likely to have in its cache.
func (ep *endpoint) cachedTokens(req *Request, loc *promptLocation) int {
	tokens := ep.promptCache.cachedTokens(req.Parts)
	if ep == loc.preferred && !ep.cacheReported {
		tokens = max(tokens, loc.sharedTokens)
	}
	return tokens
}

// prefillWork returns the work for a request's prompt on an engine: the number of tokens to prefill, and the number of tokens to
// fetch from the cache of the engine source.
func (ep *endpoint) prefillWork(req *Request, loc promptLocation) (prefillTokens, fetchTokens int, source *endpoint) {
	if ep.promptCache == nil {
		return 0, 0, nil
	}
	cached := ep.cachedTokens(req, &loc)
	holder := loc.holder(ep.info.Build)
	if missing := holder.tokens - cached; holder.engine != ep && missing >= minFetchTokens {
		cached, fetchTokens, source = holder.tokens, missing, holder.engine
	}
	return max(0, req.InputTokens-cached), fetchTokens, source
}
