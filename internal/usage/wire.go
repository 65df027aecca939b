package usage

import (
	"errors"
	"time"
)

const (
	// bucketLength is the span of an entry's steady clock whose requests are counted together. A bucket belongs to one window as a whole, so
	// requests near the end of a window may count in the next one. One misplaced request is beyond the tolerance for an organisation with
	// fewer than 20 in a window. Entries begin some ten requests a second, so short buckets need no more room than long ones.
	bucketLength = 5 * time.Millisecond
	// minRetention is the shortest time for which an entry keeps its counts.
	minRetention = 20 * time.Second
	// maxCounts bounds the counts in one message, some 100 KB. The others follow with the next one.
	maxCounts = 4096
	// maxOrganisationBytes bounds the name of an organisation in a message.
	maxOrganisationBytes = 256
)

var (
	// ErrNoCopy means that a replica takes no copies of counts, as its build or its settings do not know usage.
	ErrNoCopy    = errors.New("usage: the replica takes no copies")
	errMalformed = errors.New("usage: malformed message")
)

type (
	// Message is what an entry reports of its counts. Its times are readings of the entry's steady clock in microseconds, but for Wall.
	Message struct {
		// Now is the time of the message, Wall the entry's time of day then, in Unix microseconds.
		Now  int64 `json:"now"`
		Wall int64 `json:"wall"`
		// Since is the time at which the entry began to count.
		Since int64 `json:"since"`
		// The message holds all counts from After to Through. After is 0 if it holds all that the entry keeps.
		After   int64 `json:"after,omitempty"`
		Through int64 `json:"through"`
		// Counts holds the cumulative counts of buckets.
		Counts []Count `json:"counts,omitempty"`
	}

	// Count is the number of an organisation's requests that began in one bucket. Age is the number of buckets between it and the one
	// that contains the time of the message.
	Count struct {
		_            struct{} `cbor:",toarray"`
		Age          int64
		Organisation string
		Number       int
	}

	// Ack acknowledges the counts of an entry up to a time. If Through is before the After of the message, counts in between are missing.
	Ack struct {
		Through int64 `json:"through"`
	}

	// Copy is what one replica tells another one of the counts of all entries, or asks for.
	Copy struct {
		// Want asks for all counts that the other replica holds.
		Want bool `json:"want,omitempty"`
		// Now is the reading of the sender's steady clock in microseconds, Wall its time of day, in Unix microseconds.
		Now     int64       `json:"now"`
		Wall    int64       `json:"wall,omitempty"`
		Entries []EntryCopy `json:"entries,omitempty"`
	}

	// EntryCopy holds counts of one process start of an entry.
	EntryCopy struct {
		Entry string `json:"entry"`
		Boot  string `json:"boot"`
		// Offset is the difference between the steady clocks of the sender and of the entry, WallOffset that between the entry's time of
		// day and its steady clock, both in microseconds.
		Offset     int64 `json:"offset"`
		WallOffset int64 `json:"wall"`
		// Since is the time at which the entry began to count, Now that of its last message, on its steady clock.
		Since int64 `json:"since"`
		Now   int64 `json:"now"`
		// SilentFor is the time since the entry's last message, in microseconds.
		SilentFor int64   `json:"silent"`
		Counts    []Count `json:"counts,omitempty"`
	}
)

// Check validates a message of an entry.
func (m *Message) Check() error {
	if m.Through > m.Now || m.After < 0 || m.Since > m.Now || len(m.Counts) > maxCounts {
		return errMalformed
	}
	return checkCounts(m.Counts)
}

// Check validates a message of another replica.
func (c *Copy) Check() error {
	for i := range c.Entries {
		if e := &c.Entries[i]; e.Entry == "" || e.Boot == "" || e.Since > e.Now || e.SilentFor < 0 {
			return errMalformed
		}
		if err := checkCounts(c.Entries[i].Counts); err != nil {
			return err
		}
	}
	return nil
}

func checkCounts(counts []Count) error {
	for _, c := range counts {
		if c.Age < 0 || c.Number <= 0 || c.Organisation == "" || len(c.Organisation) > maxOrganisationBytes {
			return errMalformed
		}
	}
	return nil
}

// Retention returns how long an entry keeps its counts: as long as the window in which they began may still be fixed.
func Retention(window, late time.Duration) time.Duration {
	return max(minRetention, window+late)
}

// bucketOf returns the bucket that contains a reading of a steady clock in microseconds.
func bucketOf(at int64) int64 {
	length := bucketLength.Microseconds()
	if at < 0 {
		return (at+1)/length - 1
	}
	return at / length
}
