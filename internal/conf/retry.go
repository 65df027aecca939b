package conf

import (
	"errors"
	"time"
)

// Retry limits the retries of a service's requests on all instances together: in each Window, Ratio of the requests plus Slack
// requests.
type Retry struct {
	Ratio  float64  `toml:"ratio"`
	Slack  float64  `toml:"slack"`
	Window Duration `toml:"window"`
}

func defaultRetry() Retry {
	return Retry{Ratio: 0.2, Slack: 50, Window: Duration(10 * time.Second)}
}

func (r *Retry) check(string) (string, error) {
	switch {
	case r.Ratio < 0 || r.Ratio > 1:
		return "ratio", errors.New("must be 0 to 1")
	case r.Slack < 0:
		return "slack", errors.New("is negative")
	case r.Window == 0:
		return "window", errors.New("must be above 0s")
	}
	return "", nil
}
