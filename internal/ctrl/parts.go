package ctrl

import (
	"strconv"

	"github.com/greengagewheel/greengagewheel/internal/blame"
)

// recordPartReports adds reports about prompt parts.
func (s *State) recordPartReports(nowMS int64, reports []blame.Report) Result {
	for i := range reports {
		s.updateParts(s.Blame.Add(nowMS, &reports[i]))
	}
	return Result{Code: OK, Version: s.Version}
}

// updateParts gives the records of parts that were changed or dropped a new version.
func (s *State) updateParts(parts []uint64) {
	for _, part := range parts {
		if s.Blame.Records[part] == nil {
			delete(s.PartVersions, part)
			s.tombstone(KindPart, partKey(part))
			continue
		}
		s.PartVersions[part] = s.nextVersion()
		delete(s.Tombstones, KindPart.itemID(partKey(part)))
	}
}

// grantPartTrial allows a trial of a part to one request.
func (s *State) grantPartTrial(cmd PartTrial) Result {
	granted, changed := s.Blame.GrantTrial(cmd.Part, cmd.Number, cmd.RequestID)
	if changed {
		s.updateParts([]uint64{cmd.Part})
	}
	if !granted {
		return Result{Code: Held, Version: s.Version}
	}
	return Result{Code: OK, Version: s.Version}
}

func (s *State) liftPart(part uint64) Result {
	changed, found := s.Blame.Drop(part)
	if !found {
		return Result{Code: NotFound, Reason: "nothing is known against the part"}
	}
	s.updateParts(append(changed, part))
	return Result{Code: OK, Version: s.Version}
}

// partKey returns the key of a part's configuration item, its ID in hexadecimal.
func partKey(part uint64) string {
	return strconv.FormatUint(part, 16)
}
