package conf

import (
	"errors"
	"time"
)

// Values of Proof.NoQuorum: what an instance does while it cannot reach any quorum of the replicated log.
const (
	// NoQuorumStop stops admission of requests.
	NoQuorumStop = "stop"
	// NoQuorumServe continues to serve under the last known configuration.
	NoQuorumServe = "serve"
)

// Proof holds the largest age of the proof that the configuration is current, and what to do without a quorum.
type Proof struct {
	MaxAge   Duration `toml:"bound"`
	NoQuorum string   `toml:"lost"`
}

func defaultProof() Proof {
	return Proof{MaxAge: Duration(3 * time.Second), NoQuorum: NoQuorumStop}
}

func (p *Proof) check(string) (string, error) {
	switch {
	case p.MaxAge.Std() < time.Second || p.MaxAge.Std() > 5*time.Second:
		return "bound", errors.New("must be 1s to 5s")
	case p.NoQuorum != NoQuorumStop && p.NoQuorum != NoQuorumServe:
		return "lost", errors.New("must be \"stop\" or \"serve\"")
	}
	return "", nil
}
