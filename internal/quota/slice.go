package quota

import "time"

const (
	// requestsPerSlice is the number of requests with the cost unmetCost that a newly requested slice covers.
	requestsPerSlice = 32
	// ceilingRetryDelay is the time after which another slice is requested if the ceiling was reached.
	ceilingRetryDelay = 5 * time.Second
	// tokensPerPrice is the number of tokens that a price refers to.
	tokensPerPrice = 1000
)

// SpendingSlice is the part of a customer's spending ceiling that is allocated to a scheduler. All amounts are in micro-euros.
type SpendingSlice struct {
	available      int64
	requestPending bool
	ceilingReached bool
	requestedAt    time.Time
	// unmetCost is the largest cost that could not be reserved since the last sufficient slice.
	unmetCost int64
}

// Cost returns the cost of a number of tokens in micro-euros, rounded up, at a price per 1,000 tokens.
func Cost(tokens int, price int64) int64 {
	return (int64(tokens)*price + tokensPerPrice - 1) / tokensPerPrice
}

// Reserve takes cost from the slice; it returns false if the slice is too small.
func (s *SpendingSlice) Reserve(cost int64) bool {
	if cost > s.available {
		s.unmetCost = max(s.unmetCost, cost)
		return false
	}
	s.available -= cost
	return true
}

// Release returns the unspent part of a reservation to the slice.
func (s *SpendingSlice) Release(unspent int64) {
	s.available += unspent
}

// AmountToRequest returns the amount to request for the slice, or 0 if none is needed, a request is pending, or the ceiling was
// reached recently. A nonzero result marks a request as pending until AddAllocation is called.
func (s *SpendingSlice) AmountToRequest(now time.Time) int64 {
	if s.requestPending || s.unmetCost == 0 || s.ceilingReached && now.Sub(s.requestedAt) < ceilingRetryDelay {
		return 0
	}
	s.requestPending = true
	s.requestedAt = now
	return s.unmetCost * requestsPerSlice
}

// AddAllocation adds the amount that was allocated for a request; ceilingReached is set if no more can be allocated.
func (s *SpendingSlice) AddAllocation(amount int64, ceilingReached bool) {
	s.requestPending = false
	s.available += amount
	s.ceilingReached = ceilingReached
	if s.available >= s.unmetCost {
		s.unmetCost = 0
	}
}

// Exhausted reports whether the ceiling is reached and a cost exceeds the remaining amount.
func (s *SpendingSlice) Exhausted(cost int64) bool {
	return s.ceilingReached && cost > s.available
}

// Drain empties the slice and returns the remaining amount.
func (s *SpendingSlice) Drain() int64 {
	rest := s.available
	s.available = 0
	return rest
}
