package conf

import (
	"errors"
	"time"
)

// What an instance does once the whole quorum is lost.
const (
	LostStop  = "stop"
	LostServe = "serve"
)

// Fresh sets how old the proof of current configuration may be.
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
