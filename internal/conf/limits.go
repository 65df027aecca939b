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

// Values of Limits.RetryMode: what the router does when an endpoint fails.
const (
	// RetryModeResume resumes a broken stream at the token where it broke, within a retry budget, and quarantines requests that crash
	// endpoints.
	RetryModeResume = "resume"
	// RetryModeBlind only retries requests that have no token yet, on another endpoint. It exists for comparison.
	RetryModeBlind = "blind"
)

// Limits holds the largest sizes of callers' requests, the timeouts of requests and of a drain, and the memory limit of the
// process.
type Limits struct {
	MaxBodyBytes   Size `toml:"body"`
	MaxHeaderBytes Size `toml:"header"`
	// FirstTokenTimeout bounds an engine's silence before its first token.
	FirstTokenTimeout Duration `toml:"first"`
	// TokenGapTimeout bounds an engine's silence between two tokens.
	TokenGapTimeout Duration `toml:"gap"`
	// CallTimeout bounds a call of a plain service.
	CallTimeout Duration `toml:"call"`
	// DrainTimeout bounds the wait for the requests in progress when an instance in ModeContracts stops; 0 is no bound.
	DrainTimeout Duration `toml:"drain"`
	// RetryMode is RetryModeResume or RetryModeBlind.
	RetryMode string `toml:"retry"`
	// MemoryLimit is the memory limit of a process in ModeRoutes; 0 means that there is none.
	MemoryLimit Size `toml:"memory"`
	// HeldLimit bounds what a process in ModeRoutes holds for its clients; 0 derives it from MemoryLimit.
	HeldLimit Size `toml:"held"`
}

const (
	// heldDivisor is the part of the memory that is held for clients by default. The garbage collector needs as much again, and a process
	// without clients uses some 25 MB.
	heldDivisor = 4
	// minHeld has room for three bodies of the default size, of which the last one is held twice for a moment.
	minHeld = 16 << 20
	// lowestHeld is the least value of HeldLimit; with less, ordinary requests that arrive together would be refused.
	lowestHeld = 1 << 20
)

// Held returns the bound of what a process holds for its clients, or 0 if there is none.
func (l *Limits) Held() int64 {
	switch {
	case l.HeldLimit > 0:
		return int64(l.HeldLimit)
	case l.MemoryLimit > 0:
		return max(int64(l.MemoryLimit)/heldDivisor, minHeld)
	}
	return 0
}

func defaultLimits() Limits {
	return Limits{
		MaxBodyBytes:      4 << 20,
		MaxHeaderBytes:    16 << 10,
		FirstTokenTimeout: Duration(20 * time.Second),
		TokenGapTimeout:   Duration(2 * time.Second),
		CallTimeout:       Duration(30 * time.Second),
		RetryMode:         RetryModeResume,
	}
}

func (l *Limits) check(string) (string, error) {
	switch {
	case l.MaxBodyBytes < minSizeBytes || l.MaxBodyBytes > maxSizeBytes:
		return "body", errors.New("must be 1KiB to 64MiB")
	case l.MaxHeaderBytes < minSizeBytes || l.MaxHeaderBytes > maxSizeBytes:
		return "header", errors.New("must be 1KiB to 64MiB")
	case l.FirstTokenTimeout == 0:
		return "first", errors.New("must be above 0s")
	case l.TokenGapTimeout == 0:
		return "gap", errors.New("must be above 0s")
	case l.CallTimeout == 0:
		return "call", errors.New("must be above 0s")
	case l.HeldLimit != 0 && l.HeldLimit < lowestHeld:
		return "held", errors.New("must be 0B or at least 1MiB")
	case l.RetryMode != RetryModeResume && l.RetryMode != RetryModeBlind:
		return "retry", errors.New("must be \"resume\" or \"blind\"")
	}
	return "", nil
}
