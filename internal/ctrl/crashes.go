package ctrl

// recordCrash counts each endpoint crash once by boot ID. A report with Clear deletes the record, unless the request is already
// quarantined.
func (s *State) recordCrash(report CrashReport) Result {
	rec := s.Crashes[report.Fingerprint]
	if report.Clear {
		if rec != nil && !rec.Quarantined {
			delete(s.Crashes, report.Fingerprint)
			s.tombstone(KindCrash, report.Fingerprint)
		}
		return Result{Code: OK, Version: s.Version}
	}
	if rec == nil {
		if len(s.Crashes) >= maxCrashRecords {
			s.evictOldestCrash()
		}
		rec = &Crash{}
		s.Crashes[report.Fingerprint] = rec
		delete(s.Tombstones, KindCrash.itemID(report.Fingerprint))
	}
	for _, boot := range rec.Boots {
		if boot == report.Boot {
			return Result{Code: OK, Version: rec.ModVersion}
		}
	}
	rec.Boots = append(rec.Boots, report.Boot)
	limit := report.QuarantineAfter
	if limit == 0 {
		limit = crashesToQuarantine
	}
	rec.Quarantined = len(rec.Boots) >= limit
	rec.ModVersion = s.nextVersion()
	return Result{Code: OK, Version: rec.ModVersion}
}

func (s *State) evictOldestCrash() {
	oldest := ""
	for fingerprint, rec := range s.Crashes {
		if oldest == "" || rec.ModVersion < s.Crashes[oldest].ModVersion {
			oldest = fingerprint
		}
	}
	delete(s.Crashes, oldest)
	s.tombstone(KindCrash, oldest)
}
