package ctrl

// applySlice allocates or returns part of a spending ceiling. A slice ID that was applied before returns the earlier result.
func (s *State) applySlice(cmd SpendingSlice) Result {
	if res, ok := s.SliceResults.Results[cmd.ID]; ok {
		return res
	}
	return s.SliceResults.store(cmd.ID, s.allocate(cmd), maxSliceResults)
}

// allocate returns what the holder gives back, at most what it holds, and then grants what it takes, at most what is left of the
// ceiling. The first slice of a later period starts that period.
func (s *State) allocate(cmd SpendingSlice) Result {
	contract := s.Contracts[cmd.Customer]
	if contract == nil {
		return Result{Code: NotFound, Reason: "no such contract"}
	}
	spending := s.Spending[cmd.Customer]
	if spending == nil || spending.Period < cmd.Period {
		spending = &Spending{Period: cmd.Period, ByHolder: map[string]int64{}}
		s.Spending[cmd.Customer] = spending
	}
	if spending.Period != cmd.Period {
		return Result{Code: Conflict, Reason: "the period is over"}
	}
	returned := min(cmd.Return, spending.ByHolder[cmd.Holder])
	spending.ByHolder[cmd.Holder] -= returned
	spending.Allocated -= returned
	if spending.ByHolder[cmd.Holder] == 0 {
		delete(spending.ByHolder, cmd.Holder)
	}
	granted := cmd.Take
	if ceiling := contract.Contract.Ceiling; ceiling > 0 {
		granted = max(min(granted, ceiling-spending.Allocated), 0)
	}
	if granted == 0 && cmd.Take > 0 {
		return Result{Code: CeilingReached, Reason: "the spending ceiling is reached"}
	}
	if granted > 0 {
		spending.ByHolder[cmd.Holder] += granted
	}
	spending.Allocated += granted
	return Result{Code: OK, Amount: granted}
}
