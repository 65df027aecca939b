package conf

import (
	"errors"
	"time"
)

const (
	minSize = 1 << 10
	maxSize = 64 << 20
)

// What is done when an endpoint fails.
const (
	// RetryResume goes on at the token where the stream broke, within a budget, and finds requests that crash endpoints.
	RetryResume = "resume"
	// RetryBlind only tries elsewhere what has no token yet; it is there for comparison.
	RetryBlind = "blind"
)

// Limits bounds what callers may send and how long silence is borne.
type Limits struct {
	Body   Size     `toml:"body"`
	Header Size     `toml:"header"`
	First  Duration `toml:"first"`
	Gap    Duration `toml:"gap"`
	Call   Duration `toml:"call"`
	Drain  Duration `toml:"drain"`
	Retry  string   `toml:"retry"`
	Memory Size     `toml:"memory"`
}

func defaultLimits() Limits {
	return Limits{
		Body:   4 << 20,
		Header: 16 << 10,
		First:  Duration(20 * time.Second),
		Gap:    Duration(2 * time.Second),
		Call:   Duration(30 * time.Second),
		Retry:  RetryResume,
	}
}

func (l *Limits) check(string) (string, error) {
	switch {
	case l.Body < minSize || l.Body > maxSize:
		return "body", errors.New("must be 1KiB to 64MiB")
	case l.Header < minSize || l.Header > maxSize:
		return "header", errors.New("must be 1KiB to 64MiB")
	case l.First == 0:
		return "first", errors.New("must be above 0s")
	case l.Gap == 0:
		return "gap", errors.New("must be above 0s")
	case l.Call == 0:
		return "call", errors.New("must be above 0s")
	case l.Retry != RetryResume && l.Retry != RetryBlind:
		return "retry", errors.New("must be \"resume\" or \"blind\"")
	}
	return "", nil
}
