package ctrl

func (s *State) slice(q Slice) Result {
	if r, ok := s.Slices.Results[q.ID]; ok {
		return r
	}
	return s.Slices.keep(q.ID, s.spend(q), keptSlices)
}

func (s *State) spend(q Slice) Result {
	signed := s.Contracts[q.Customer]
	if signed == nil {
		return Result{Code: Missing, Reason: "no such contract"}
	}
	sp := s.Spent[q.Customer]
	if sp == nil || sp.Period < q.Period {
		sp = &Spending{Period: q.Period, Out: map[string]int64{}}
		s.Spent[q.Customer] = sp
	}
	if sp.Period != q.Period {
		return Result{Code: Conflict, Reason: "the period is over"}
	}
	back := min(q.Return, sp.Out[q.Holder])
	sp.Out[q.Holder] -= back
	sp.Taken -= back
	if sp.Out[q.Holder] == 0 {
		delete(sp.Out, q.Holder)
	}
	got := q.Take
	if ceiling := signed.Contract.Ceiling; ceiling > 0 {
		got = max(min(got, ceiling-sp.Taken), 0)
	}
	if got == 0 && q.Take > 0 {
		return Result{Code: Ceiling, Reason: "the spending ceiling is reached"}
	}
	if got > 0 {
		sp.Out[q.Holder] += got
	}
	sp.Taken += got
	return Result{Code: OK, Amount: got}
}
