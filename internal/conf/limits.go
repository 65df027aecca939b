package conf

import (
	"errors"
	"time"
)

// Bounds of the limits on the sizes of a body and a header.
const (
	minSizeBytes = 1 << 10
	maxSizeBytes = 64 << 20
)

// Values of Limits.Retry: what the router does when an endpoint fails.
const (
	// RetryResume resumes a broken stream at the token where it broke, within a retry budget, and quarantines requests that crash
	// endpoints.
	RetryResume = "resume"
	// RetryBlind only retries requests that have no token yet, on another endpoint. It exists for comparison.
	RetryBlind = "blind"
)

// Limits holds the largest sizes of callers' requests, the timeouts of requests and of a drain, and the memory limit of the
// process. First is the timeout for an engine's first token, Gap for each later one, and Call for calls of plain services.
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
	case l.Body < minSizeBytes || l.Body > maxSizeBytes:
		return "body", errors.New("must be 1KiB to 64MiB")
	case l.Header < minSizeBytes || l.Header > maxSizeBytes:
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
