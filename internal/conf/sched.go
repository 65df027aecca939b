package conf

import (
	"errors"
	"time"
)

// maxQueuedRequests is the largest value of Sched.Queue.
const maxQueuedRequests = 1_000_000

// Sched holds the settings of the schedulers of cells: the largest number of queued requests, the target time between tokens (Gap),
// the time that a new scheduler waits for reports of running requests (Settle), the order of requests (Policy), and the choice of
// an endpoint (Choice). With Alone, each instance schedules on its own.
type Sched struct {
	Queue  int      `toml:"queue"`
	Gap    Duration `toml:"gap"`
	Settle Duration `toml:"settle"`
	Policy string   `toml:"policy"`
	Choice string   `toml:"choice"`
	Alone  bool     `toml:"alone"`
}

func defaultSched() Sched {
	return Sched{
		Queue:  20_000,
		Gap:    Duration(36 * time.Millisecond),
		Settle: Duration(500 * time.Millisecond),
		Policy: "contract",
		Choice: "load",
	}
}

func (s *Sched) check(string) (string, error) {
	switch {
	case s.Queue < 1 || s.Queue > maxQueuedRequests:
		return "queue", errors.New("must be 1 to 1000000 requests")
	case s.Gap == 0:
		return "gap", errors.New("must be above 0s")
	case s.Settle.Std() > 2*time.Second:
		return "settle", errors.New("must be at most 2s")
	case s.Policy != "contract" && s.Policy != "fifo":
		return "policy", errors.New("must be \"contract\" or \"fifo\"")
	case s.Choice != "load" && s.Choice != "random" && s.Choice != "round" && s.Choice != "least":
		return "choice", errors.New("must be \"load\", \"random\", \"round\" or \"least\"")
	}
	return "", nil
}
