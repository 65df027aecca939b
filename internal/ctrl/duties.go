package ctrl

import (
	"errors"

	"github.com/greengagewheel/greengagewheel/internal/duty"
)

// maxDutyRecords is the number of duties and subjects whose last holder is kept; the one taken longest ago is evicted first.
const maxDutyRecords = 4096

type (
	// TakeDuty takes a duty for a subject. Boot is the boot ID of the holder. The fencing token is the index of the command's log entry.
	TakeDuty struct {
		Duty    duty.Name `json:"duty"`
		Subject string    `json:"subject,omitempty"`
		Holder  string    `json:"holder"`
		Boot    string    `json:"boot"`
	}

	// DutyRecord is the last holder of a duty for a subject.
	DutyRecord struct {
		Duty    duty.Name `json:"duty"`
		Subject string    `json:"subject,omitempty"`
		Holder  string    `json:"holder"`
		Boot    string    `json:"boot"`
		// Token is the fencing token that the holder got.
		Token uint64 `json:"token"`
	}
)

// check returns an error if a field is missing.
func (c *TakeDuty) check() error {
	if c.Duty == "" || c.Holder == "" || c.Boot == "" {
		return errors.New("command: duty, holder or boot ID is missing")
	}
	return nil
}

// takeDuty records the holder of a duty. The token is the log index, so that it grows even if a replica of a build without duties has
// dropped the records. The configuration version does not change, as such a replica would not count the change.
func (s *State) takeDuty(index uint64, cmd TakeDuty) Result {
	key := string(cmd.Duty) + "\x00" + cmd.Subject
	previous := s.Duties[key]
	s.Duties[key] = DutyRecord{Duty: cmd.Duty, Subject: cmd.Subject, Holder: cmd.Holder, Boot: cmd.Boot, Token: index}
	if len(s.Duties) > maxDutyRecords {
		s.evictDuty()
	}
	return Result{Code: OK, Fence: index, Holder: Instance{Name: previous.Holder, Boot: previous.Boot}}
}

func (s *State) evictDuty() {
	oldest, found := "", false
	for key, rec := range s.Duties {
		if !found || rec.Token < s.Duties[oldest].Token {
			oldest, found = key, true
		}
	}
	delete(s.Duties, oldest)
}
