package fault

import (
	"fmt"

	"github.com/ansel1/merry/v2"
)

// valueKey is the type of the keys under which an error holds its step and peer.
type valueKey int

const (
	stepKey valueKey = iota
	peerKey
)

// Wrap wraps err with the step that failed and the peer involved; peer may be empty. It returns nil if err is nil.
func Wrap(step, peer string, err error) error {
	if err == nil {
		return nil
	}
	prefix := step
	if peer != "" {
		prefix = fmt.Sprintf("%s %s", step, peer)
	}
	return merry.Prepend(err, prefix, merry.NoCaptureStack(), merry.WithValue(stepKey, step), merry.WithValue(peerKey, peer))
}

// Errorf formats an error and annotates it with the step and peer, as Wrap does.
func Errorf(step, peer, format string, args ...any) error {
	return Wrap(step, peer, fmt.Errorf(format, args...))
}

// Step returns the outermost step recorded in err, or the empty string.
func Step(err error) string {
	step, _ := merry.Value(err, stepKey).(string)
	return step
}

// Peer returns the outermost peer recorded in err, or the empty string.
func Peer(err error) string {
	peer, _ := merry.Value(err, peerKey).(string)
	return peer
}
