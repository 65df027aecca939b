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
	// maxQueuedLines is the number of lines that may wait for a slow reader of the output.
	maxQueuedLines = 4096
	// maxLinesPerSecond limits the lines accepted in one second; a request logs three to five.
	maxLinesPerSecond = 2000
	// flushTimeout bounds the wait for the last lines of a process to be written.
	flushTimeout = 200 * time.Millisecond
	// batchFullBytes is the size, in bytes, from which on no further lines are added to a write.
	batchFullBytes = 32 << 10
)

// Queue is a log output that never blocks its writers. It drops lines above a rate limit and lines for which the queue has no
// room, counts them, and reports their number in a line of its own. It is safe for concurrent use.
type Queue struct {
	out     io.Writer
	now     func() time.Time
	lines   chan []byte
	dropped atomic.Int64
	// pending is the number of accepted lines that are not written yet.
	pending atomic.Int64
	mu      sync.Mutex
	// countedSecond is the second, in Unix time, in which linesInSecond lines have arrived.
	countedSecond int64
	linesInSecond int
}

// NewQueue returns a queue in front of w and starts the goroutine that writes to w, which never ends. The rate limit and the
// lines of the queue itself take the time from now.
func NewQueue(w io.Writer, now func() time.Time) *Queue {
	q := &Queue{out: w, now: now, lines: make(chan []byte, maxQueuedLines)}
	go q.run()
	return q
}

// Write queues one line or drops it; it never returns an error.
func (q *Queue) Write(p []byte) (int, error) {
	if !q.allow() {
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

// allow counts a line in the current second and reports whether it is within the rate limit.
func (q *Queue) allow() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if second := q.now().Unix(); second != q.countedSecond {
		q.countedSecond, q.linesInSecond = second, 0
	}
	q.linesInSecond++
	return q.linesInSecond <= maxLinesPerSecond
}

// Dropped returns the number of lines dropped so far.
func (q *Queue) Dropped() int64 {
	return q.dropped.Load()
}

// Sync waits until all queued lines are written; it returns an error if that takes longer than flushTimeout.
func (q *Queue) Sync() error {
	const pollInterval = 5 * time.Millisecond
	for remaining := flushTimeout; q.pending.Load() > 0; remaining -= pollInterval {
		if remaining <= 0 {
			return fmt.Errorf("flush log: %d lines still queued", q.pending.Load())
		}
		time.Sleep(pollInterval)
	}
	return nil
}

// run writes the queued lines, as many in one write as are waiting, up to batchFullBytes.
func (q *Queue) run() {
	reported := int64(0)
	var batch []byte
	for line := range q.lines {
		batch = append(batch[:0], line...)
		batchLines := int64(1)
		for len(q.lines) > 0 && len(batch) < batchFullBytes {
			batch = append(batch, <-q.lines...)
			batchLines++
		}
		if dropped := q.dropped.Load(); dropped > reported {
			batch = fmt.Appendf(batch, "ts=%s level=warn msg=\"log lines dropped\" lines=%d\n",
				q.now().UTC().Format(time.RFC3339Nano), dropped-reported)
			reported = dropped
		}
		// A failed write of the log has no other place to be reported.
		_, _ = q.out.Write(batch)
		q.pending.Add(-batchLines)
	}
}
