package ctrl

func (s *State) recordCrash(report Poison) Result {
	rec := s.Prints[report.Print]
	if report.Clear {
		if rec != nil && !rec.Quarantined {
			delete(s.Prints, report.Print)
			s.tombstone(KindPrint, report.Print)
		}
		return Result{Code: OK, Version: s.Version}
	}
	if rec == nil {
		if len(s.Prints) >= maxCrashRecords {
			s.evictOldestCrash()
		}
		rec = &Print{}
		s.Prints[report.Print] = rec
		delete(s.Gone, KindPrint.itemID(report.Print))
	}
	for _, boot := range rec.Boots {
		if boot == report.Boot {
			return Result{Code: OK, Version: rec.Mod}
		}
	}
	rec.Boots = append(rec.Boots, report.Boot)
	limit := report.Most
	if limit == 0 {
		limit = crashesToQuarantine
	}
	rec.Quarantined = len(rec.Boots) >= limit
	rec.Mod = s.nextVersion()
	return Result{Code: OK, Version: rec.Mod}
}

func (s *State) evictOldestCrash() {
	oldest := ""
	for fingerprint, rec := range s.Prints {
		if oldest == "" || rec.Mod < s.Prints[oldest].Mod {
			oldest = fingerprint
		}
	}
	delete(s.Prints, oldest)
	s.tombstone(KindPrint, oldest)
}
