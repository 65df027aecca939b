package ctrl

func (s *State) register(i Instance) Result {
	old := s.Instances[i.Name]
	if old != nil && old.Instance == i {
		old.Seen = s.Now
		return Result{Code: OK, Version: old.Mod}
	}
	if old != nil && old.Instance.Boot != i.Boot {
		s.release(old.Instance.Boot)
	}
	mod := s.next()
	s.Instances[i.Name] = &Registered{Instance: i, Mod: mod, Seen: s.Now}
	delete(s.Gone, KindInstance.id(i.Name))
	return Result{Code: OK, Version: mod}
}

func (s *State) deregister(k Deregister) Result {
	old := s.Instances[k.Name]
	if old == nil || old.Instance.Boot != k.Boot {
		return Result{Code: Missing, Reason: "no such instance"}
	}
	delete(s.Instances, k.Name)
	mod := s.tombstone(KindInstance, k.Name)
	return Result{Code: OK, Version: mod}
}

func (s *State) acquire(a Acquire) Result {
	l := s.Leases[a.Cell]
	if l == nil {
		l = &Lease{Mod: s.next(), Kind: a.Kind}
		s.Leases[a.Cell] = l
	}
	if l.Epoch != a.Seen {
		return Result{Code: Held, Epoch: l.Epoch, Holder: l.Holder}
	}
	*l = Lease{Epoch: a.Seen + 1, Holder: a.Holder, Mod: l.Mod, Kind: l.Kind}
	return Result{Code: OK, Epoch: l.Epoch, Holder: l.Holder}
}

func (s *State) renew(r Renew) Result {
	if r.Release {
		s.release(r.Boot)
	}
	var lost []string
	for _, cell := range r.Cells {
		if l := s.Leases[cell]; l == nil || l.Holder.Boot != r.Boot || l.Released {
			lost = append(lost, cell)
		}
	}
	return Result{Code: OK, Lost: lost}
}

func (s *State) release(boot string) {
	for _, l := range s.Leases {
		if l.Holder.Boot == boot {
			l.Released = true
		}
	}
}
