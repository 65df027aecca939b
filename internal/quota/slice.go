package quota

import "time"

const (
	// sliceRequests is the number of requests' worst cost that a slice is made for.
	sliceRequests = 32
	// retryCeiling is the time after which a reached ceiling is looked at again.
	retryCeiling = 5 * time.Second
	// tokensPerPrice is the number of tokens that a price is for.
	tokensPerPrice = 1000
)

// Slice holds the slice of a customer's ceiling that a scheduler spends from, in micro-euros.
type Slice struct {
	free     int64
	asking   bool
	empty    bool
	triedAt  time.Time
	lastNeed int64
}

// Cost returns the cost of a number of tokens at a price for 1,000 tokens, rounded up.
func Cost(tokens int, price int64) int64 {
	return (int64(tokens)*price + tokensPerPrice - 1) / tokensPerPrice
}

// Reserve takes cost from the slice, or reports that the slice is too small.
func (p *Slice) Reserve(cost int64) bool {
	if cost > p.free {
		p.lastNeed = max(p.lastNeed, cost)
		return false
	}
	p.free -= cost
	return true
}

// Release gives back what was reserved and not spent.
func (p *Slice) Release(unspent int64) {
	p.free += unspent
}

// Want returns the size of the slice to ask for, or 0 when none is needed or one is under way.
func (p *Slice) Want(now time.Time) int64 {
	if p.asking || p.lastNeed == 0 || p.empty && now.Sub(p.triedAt) < retryCeiling {
		return 0
	}
	p.asking = true
	p.triedAt = now
	return p.lastNeed * sliceRequests
}

// Filled takes in the answer to Want; an amount below the need with ended set means that the ceiling is reached.
func (p *Slice) Filled(amount int64, ended bool) {
	p.asking = false
	p.free += amount
	p.empty = ended
	if p.free >= p.lastNeed {
		p.lastNeed = 0
	}
}

// Empty reports whether the ceiling was found reached and a cost does not fit in what is left.
func (p *Slice) Empty(cost int64) bool {
	return p.empty && cost > p.free
}

// Drain returns all that is left and empties the slice.
func (p *Slice) Drain() int64 {
	left := p.free
	p.free = 0
	return left
}
