package logs

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// queueLines is the number of lines that wait for a slow reader of the output.
	queueLines = 4096
	// linesPerSecond bounds the lines of one second; a request takes three to five.
	linesPerSecond = 2000
	// flushTime is how long the last lines of a process may take.
	flushTime = 200 * time.Millisecond
	// batchBytes is the size of a write in bytes, above which no further lines are added to it.
	batchBytes = 32 << 10
)

// Queue is an output that never blocks its writers: lines beyond a rate, or beyond what waits for a slow reader, are dropped
// and counted, and a line tells how many.
type Queue struct {
	w       io.Writer
	now     func() time.Time
	lines   chan []byte
	dropped atomic.Int64
	pending atomic.Int64
	mu      sync.Mutex
	second  int64
	written int
}

// NewQueue returns a queue before w, with its own writer running; now tells the time by which lines are counted.
func NewQueue(w io.Writer, now func() time.Time) *Queue {
	q := &Queue{w: w, now: now, lines: make(chan []byte, queueLines)}
	go q.run()
	return q
}

// Write queues one line, or drops it.
func (q *Queue) Write(p []byte) (int, error) {
	if !q.allowed() {
		q.dropped.Add(1)
		return len(p), nil
	}
	q.pending.Add(1)
	select {
	case q.lines <- bytes.Clone(p):
	default:
		q.pending.Add(-1)
		q.dropped.Add(1)
	}
	return len(p), nil
}

// allowed counts a line of the present second and reports whether there is room for it.
func (q *Queue) allowed() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if s := q.now().Unix(); s != q.second {
		q.second, q.written = s, 0
	}
	q.written++
	return q.written <= linesPerSecond
}

// Dropped returns the number of lines dropped so far.
func (q *Queue) Dropped() int64 {
	return q.dropped.Load()
}

// Sync waits a short while until what is queued has been written.
func (q *Queue) Sync() error {
	const look = 5 * time.Millisecond
	for left := flushTime; q.pending.Load() > 0; left -= look {
		if left <= 0 {
			return fmt.Errorf("flush log: %d lines are left", q.pending.Load())
		}
		time.Sleep(look)
	}
	return nil
}

// run writes what is queued, as much at once as there is.
func (q *Queue) run() {
	told := int64(0)
	var buf []byte
	for line := range q.lines {
		buf = append(buf[:0], line...)
		n := int64(1)
		for len(q.lines) > 0 && len(buf) < batchBytes {
			buf = append(buf, <-q.lines...)
			n++
		}
		if d := q.dropped.Load(); d > told {
			buf = fmt.Appendf(buf, "ts=%s level=warn msg=\"log lines dropped\" lines=%d\n", q.now().UTC().Format(time.RFC3339Nano), d-told)
			told = d
		}
		// There is nowhere left to tell that the output cannot be written.
		_, _ = q.w.Write(buf)
		q.pending.Add(-n)
	}
}
