package ctrl

func (s *State) poison(p Poison) Result {
	old := s.Prints[p.Print]
	if p.Clear {
		if old != nil && !old.Quarantined {
			delete(s.Prints, p.Print)
			s.tombstone(KindPrint, p.Print)
		}
		return Result{Code: OK, Version: s.Version}
	}
	if old == nil {
		if len(s.Prints) >= keptPrints {
			s.forgetOldestPrint()
		}
		old = &Print{}
		s.Prints[p.Print] = old
		delete(s.Gone, KindPrint.id(p.Print))
	}
	for _, b := range old.Boots {
		if b == p.Boot {
			return Result{Code: OK, Version: old.Mod}
		}
	}
	old.Boots = append(old.Boots, p.Boot)
	most := p.Most
	if most == 0 {
		most = crashesToQuarantine
	}
	old.Quarantined = len(old.Boots) >= most
	old.Mod = s.next()
	return Result{Code: OK, Version: old.Mod}
}

func (s *State) forgetOldestPrint() {
	oldest := ""
	for k, p := range s.Prints {
		if oldest == "" || p.Mod < s.Prints[oldest].Mod {
			oldest = k
		}
	}
	delete(s.Prints, oldest)
	s.tombstone(KindPrint, oldest)
}
