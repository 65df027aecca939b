package ctrl

func (s *State) applySlice(cmd Slice) Result {
	if res, ok := s.Slices.Results[cmd.ID]; ok {
		return res
	}
	return s.Slices.store(cmd.ID, s.allocate(cmd), maxSliceResults)
}

func (s *State) allocate(cmd Slice) Result {
	contract := s.Contracts[cmd.Customer]
	if contract == nil {
		return Result{Code: Missing, Reason: "no such contract"}
	}
	spending := s.Spent[cmd.Customer]
	if spending == nil || spending.Period < cmd.Period {
		spending = &Spending{Period: cmd.Period, Out: map[string]int64{}}
		s.Spent[cmd.Customer] = spending
	}
	if spending.Period != cmd.Period {
		return Result{Code: Conflict, Reason: "the period is over"}
	}
	returned := min(cmd.Return, spending.Out[cmd.Holder])
	spending.Out[cmd.Holder] -= returned
	spending.Taken -= returned
	if spending.Out[cmd.Holder] == 0 {
		delete(spending.Out, cmd.Holder)
	}
	granted := cmd.Take
	if ceiling := contract.Contract.Ceiling; ceiling > 0 {
		granted = max(min(granted, ceiling-spending.Taken), 0)
	}
	if granted == 0 && cmd.Take > 0 {
		return Result{Code: Ceiling, Reason: "the spending ceiling is reached"}
	}
	if granted > 0 {
		spending.Out[cmd.Holder] += granted
	}
	spending.Taken += granted
	return Result{Code: OK, Amount: granted}
}
