package conf

import (
	"errors"
	"time"
)

// Values of Fresh.Lost: what an instance does while it cannot reach any quorum of the replicated log.
const (
	// LostStop stops admission of requests.
	LostStop = "stop"
	// LostServe continues to serve under the last known configuration.
	LostServe = "serve"
)

// Fresh holds the largest age of the proof that the configuration is current (Bound), and what to do without a quorum (Lost).
type Fresh struct {
	Bound Duration `toml:"bound"`
	Lost  string   `toml:"lost"`
}

func defaultFresh() Fresh {
	return Fresh{Bound: Duration(3 * time.Second), Lost: LostStop}
}

func (f *Fresh) check(string) (string, error) {
	switch {
	case f.Bound.Std() < time.Second || f.Bound.Std() > 5*time.Second:
		return "bound", errors.New("must be 1s to 5s")
	case f.Lost != LostStop && f.Lost != LostServe:
		return "lost", errors.New("must be \"stop\" or \"serve\"")
	}
	return "", nil
}
