package ctrl

import "errors"

// keptUsageWindows is the number of windows whose usage is kept, some minutes: any of them may still have to be reported.
const keptUsageWindows = 64

type (
	// FixUsage records the usage of one window, which is not changed any more. Done lists earlier windows that the platform has
	// acknowledged.
	FixUsage struct {
		Window int64 `json:"window"`
		// Counts holds the number of requests by organisation.
		Counts map[string]int `json:"counts,omitempty"`
		Done   []int64        `json:"done,omitempty"`
	}

	// UsageWindow is the usage of one window. Reported is set once the platform has acknowledged it.
	UsageWindow struct {
		Counts   map[string]int `json:"counts,omitempty"`
		Reported bool           `json:"reported,omitempty"`
	}

	// Usage holds the usage of the latest windows by their numbers.
	Usage struct {
		Latest  int64                  `json:"latest,omitempty"`
		Windows map[int64]*UsageWindow `json:"windows,omitempty"`
	}
)

func (f *FixUsage) check() error {
	if f.Window <= 0 {
		return errors.New("command: window is missing")
	}
	for organisation, number := range f.Counts {
		if organisation == "" || number < 0 {
			return errors.New("command: invalid usage")
		}
	}
	return nil
}

// fixUsage records the usage of a window unless it, or a later one, was recorded before.
func (s *State) fixUsage(cmd FixUsage) Result {
	for _, number := range cmd.Done {
		if w := s.Usage.Windows[number]; w != nil {
			w.Reported = true
		}
	}
	if cmd.Window <= s.Usage.Latest {
		return Result{Code: Conflict, Reason: "the usage of this window or of a later one is fixed"}
	}
	if s.Usage.Windows == nil {
		s.Usage.Windows = map[int64]*UsageWindow{}
	}
	s.Usage.Latest = cmd.Window
	s.Usage.Windows[cmd.Window] = &UsageWindow{Counts: cmd.Counts}
	for number := range s.Usage.Windows {
		if number <= cmd.Window-keptUsageWindows {
			delete(s.Usage.Windows, number)
		}
	}
	return Result{Code: OK}
}

// Usage returns the usage of the kept windows. The counts must not be modified.
func (m *Machine) Usage() Usage {
	m.mu.RLock()
	defer m.mu.RUnlock()
	out := Usage{Latest: m.state.Usage.Latest, Windows: map[int64]*UsageWindow{}}
	for number, w := range m.state.Usage.Windows {
		copied := *w
		out.Windows[number] = &copied
	}
	return out
}

// UnreportedUsage returns the number of the latest window whose usage is fixed, or 0, and the counts of the kept windows that the
// platform has not acknowledged. The counts must not be modified.
func (m *Machine) UnreportedUsage() (latest int64, unreported map[int64]map[string]int) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	unreported = map[int64]map[string]int{}
	for number, w := range m.state.Usage.Windows {
		if !w.Reported {
			unreported[number] = w.Counts
			if w.Counts == nil {
				unreported[number] = map[string]int{}
			}
		}
	}
	return m.state.Usage.Latest, unreported
}
