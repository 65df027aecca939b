package conf

import (
	"errors"
	"time"
)

// maxQueuedRequests is the largest value of Sched.MaxQueued.
const maxQueuedRequests = 1_000_000

// Sched holds the settings of the schedulers of cells.
type Sched struct {
	// MaxQueued is the largest number of queued requests.
	MaxQueued int `toml:"queue"`
	// TokenIntervalTarget is the target for the time between tokens.
	TokenIntervalTarget Duration `toml:"gap"`
	// SettleTime is how long a new scheduler waits for reports of running requests.
	SettleTime Duration `toml:"settle"`
	// Policy is the order in which requests are granted: "contract" or "fifo".
	Policy string `toml:"policy"`
	// EndpointChoice is how an endpoint is chosen: "load", "random", "round" or "least".
	EndpointChoice string `toml:"choice"`
	// Standalone is set if each instance schedules on its own.
	Standalone bool `toml:"alone"`
}

func defaultSched() Sched {
	return Sched{
		MaxQueued:           20_000,
		TokenIntervalTarget: Duration(36 * time.Millisecond),
		SettleTime:          Duration(500 * time.Millisecond),
		Policy:              "contract",
		EndpointChoice:      "load",
	}
}

func (s *Sched) check(string) (string, error) {
	switch {
	case s.MaxQueued < 1 || s.MaxQueued > maxQueuedRequests:
		return "queue", errors.New("must be 1 to 1000000 requests")
	case s.TokenIntervalTarget == 0:
		return "gap", errors.New("must be above 0s")
	case s.SettleTime.Std() > 2*time.Second:
		return "settle", errors.New("must be at most 2s")
	case s.Policy != "contract" && s.Policy != "fifo":
		return "policy", errors.New("must be \"contract\" or \"fifo\"")
	case s.EndpointChoice != "load" && s.EndpointChoice != "random" && s.EndpointChoice != "round" && s.EndpointChoice != "least":
		return "choice", errors.New("must be \"load\", \"random\", \"round\" or \"least\"")
	}
	return "", nil
}
