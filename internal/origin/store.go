package origin

import (
	"crypto/sha256"
	"errors"
	"strconv"
	"time"

	"github.com/greengagewheel/greengagewheel/internal/roster"
)

const (
	keyBytes = 16
	// maxRecords bounds the records kept, about 200 bytes each; the oldest are dropped first.
	maxRecords = 100_000
	// maxLife is how long a record is kept at most.
	maxLife = 2 * time.Minute
)

type (
	// Key identifies a request of one organisation.
	Key [keyBytes]byte

	// Origin is the endpoint that a stream comes from: its software version, its service, and the start of it that was chosen. Proven is set
	// if the endpoint told that start after the stream began.
	Origin struct {
		Build       string `json:"b"`
		Service     string `json:"v"`
		EndpointID  string `json:"i"`
		StartedAtMS int64  `json:"s"`
		Proven      bool   `json:"p,omitempty"`
	}

	// Record tells the origin of a request's stream. Left is the time for which the stream may still be taken up.
	Record struct {
		Key    Key           `json:"k"`
		Origin Origin        `json:"o"`
		Left   time.Duration `json:"l"`
	}

	// Store holds records. It is not safe for concurrent use.
	Store struct {
		records map[Key]kept
		// queue lists the keys in the order in which they were added; a key that was added again is listed twice.
		queue []queued
	}

	kept struct {
		origin Origin
		until  time.Time
	}

	queued struct {
		key   Key
		until time.Time
	}
)

// KeyOf returns the key of a request. Requests of different organisations have different keys.
func KeyOf(organisation, requestID string) Key {
	sum := sha256.Sum256([]byte(strconv.Itoa(len(organisation)) + ":" + organisation + requestID))
	return Key(sum[:keyBytes])
}

// Check returns an error if the record is invalid.
func (r *Record) Check() error {
	if r.Origin.Build == "" || len(r.Origin.Build) > roster.MaxBuildBytes || r.Left < 0 {
		return errors.New("origin: software version or time is invalid")
	}
	return nil
}

// Certain reports whether the stream is known to come from a process of the origin's software version. Unless its start is proven, it may
// come from a later start of the endpoint that was not known when the endpoint was chosen; that matters only if its version is another one.
func (o *Origin) Certain(endpoints map[string]roster.Endpoint) bool {
	known, ok := endpoints[o.EndpointID]
	return o.Build != "" && (o.Proven || !ok || known.StartedAtMS <= o.StartedAtMS || known.Build == o.Build)
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{records: map[Key]kept{}}
}

// Add adds a record, in place of an earlier one with its key.
func (s *Store) Add(now time.Time, rec Record) {
	s.prune(now)
	until := now.Add(min(rec.Left, maxLife))
	s.records[rec.Key] = kept{rec.Origin, until}
	s.queue = append(s.queue, queued{rec.Key, until})
	for len(s.queue) > maxRecords {
		s.dropFirst()
	}
}

// Find returns the origin in a record that has not expired.
func (s *Store) Find(now time.Time, key Key) (o Origin, found bool) {
	rec, ok := s.records[key]
	if !ok || !now.Before(rec.until) {
		return o, false
	}
	return rec.origin, true
}

// All returns the records that have not expired, the newest first, at most limit.
func (s *Store) All(now time.Time, limit int) (records []Record) {
	for i := len(s.queue) - 1; i >= 0 && len(records) < limit; i-- {
		q := s.queue[i]
		if rec := s.records[q.key]; rec.until.Equal(q.until) && now.Before(q.until) {
			records = append(records, Record{Key: q.key, Origin: rec.origin, Left: q.until.Sub(now)})
		}
	}
	return records
}

// Len returns the number of records, some of which may have expired.
func (s *Store) Len() int {
	return len(s.records)
}

// prune drops expired records from the front of the queue.
func (s *Store) prune(now time.Time) {
	for len(s.queue) > 0 && !now.Before(s.queue[0].until) {
		s.dropFirst()
	}
}

// dropFirst drops the first entry of the queue, and its record unless that was added again.
func (s *Store) dropFirst() {
	first := s.queue[0]
	s.queue = s.queue[1:]
	if s.records[first.key].until.Equal(first.until) {
		delete(s.records, first.key)
	}
}
