package logs

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// blockedWriter is an output whose writes block until unblock is closed.
type blockedWriter struct {
	mu      sync.Mutex
	buf     bytes.Buffer
	unblock chan struct{}
}

func (w *blockedWriter) Write(p []byte) (int, error) {
	<-w.unblock
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.buf.Write(p)
}

func (w *blockedWriter) text() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.buf.String()
}

func TestQueue(t *testing.T) {
	Convey("a blocked output does not block writers, and dropped lines are counted and reported", t, func() {
		out := &blockedWriter{unblock: make(chan struct{})}
		now := time.Unix(100, 0)
		q := NewQueue(out, func() time.Time { return now })
		for i := range 3 * maxLinesPerSecond {
			if i == maxLinesPerSecond+10 {
				now = now.Add(time.Second)
			}
			_, err := q.Write([]byte("line\n"))
			So(err, ShouldBeNil)
		}
		So(q.Dropped(), ShouldBeGreaterThanOrEqualTo, 10)
		So(q.Sync(), ShouldNotBeNil)
		close(out.unblock)
		for q.Sync() != nil {
			time.Sleep(time.Millisecond)
		}
		So(int64(strings.Count(out.text(), "line\n"))+q.Dropped(), ShouldEqual, 3*maxLinesPerSecond)
		So(out.text(), ShouldContainSubstring, "log lines dropped")
	})
	Convey("lines within the rate limit are all written", t, func() {
		out := &blockedWriter{unblock: make(chan struct{})}
		close(out.unblock)
		q := NewQueue(out, time.Now)
		log, err := New(q, "info")
		So(err, ShouldBeNil)
		for range 100 {
			log.Info("event")
		}
		So(log.Sync(), ShouldBeNil)
		So(strings.Count(out.text(), "msg=event"), ShouldEqual, 100)
		So(q.Dropped(), ShouldEqual, 0)
	})
}
