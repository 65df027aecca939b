package conf

import (
	"errors"
	"time"
)

// Stop holds the time from SIGTERM until a stopping instance is killed.
type Stop struct {
	Grace Duration `toml:"grace"`
}

func defaultStop() Stop {
	return Stop{Grace: Duration(30 * time.Second)}
}

func (s *Stop) check(string) (string, error) {
	if s.Grace.Std() < time.Second {
		return "grace", errors.New("must be at least 1s")
	}
	return "", nil
}
