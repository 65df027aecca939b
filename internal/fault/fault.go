package fault

import (
	"fmt"

	"github.com/ansel1/merry/v2"
)

type key int

const (
	stepKey key = iota
	peerKey
)

// At wraps err with the step that failed and the peer it failed against; a nil err stays nil.
func At(step, peer string, err error) error {
	if err == nil {
		return nil
	}
	text := step
	if peer != "" {
		text = fmt.Sprintf("%s %s", step, peer)
	}
	return merry.Prepend(err, text, merry.NoCaptureStack(), merry.WithValue(stepKey, step), merry.WithValue(peerKey, peer))
}

// New returns an error of the given step and peer with a formatted text.
func New(step, peer, format string, args ...any) error {
	return At(step, peer, fmt.Errorf(format, args...))
}

// Step returns the step recorded last on err, or the empty string.
func Step(err error) string {
	step, _ := merry.Value(err, stepKey).(string)
	return step
}

// Peer returns the peer recorded last on err, or the empty string.
func Peer(err error) string {
	peer, _ := merry.Value(err, peerKey).(string)
	return peer
}
