package logs

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// gate is an output that takes nothing until it is opened.
type gate struct {
	mu   sync.Mutex
	buf  bytes.Buffer
	open chan struct{}
}

func (g *gate) Write(p []byte) (int, error) {
	<-g.open
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.buf.Write(p)
}

func (g *gate) text() string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.buf.String()
}

func TestQueue(t *testing.T) {
	Convey("writers are not held up by an output that takes nothing, and what is dropped is counted and told", t, func() {
		g := &gate{open: make(chan struct{})}
		now := time.Unix(100, 0)
		q := NewQueue(g, func() time.Time { return now })
		for i := range 3 * linesPerSecond {
			if i == linesPerSecond+10 {
				now = now.Add(time.Second)
			}
			_, err := q.Write([]byte("line\n"))
			So(err, ShouldBeNil)
		}
		So(q.Dropped(), ShouldBeGreaterThanOrEqualTo, 10)
		So(q.Sync(), ShouldNotBeNil)
		close(g.open)
		for q.Sync() != nil {
			time.Sleep(time.Millisecond)
		}
		So(int64(strings.Count(g.text(), "line\n"))+q.Dropped(), ShouldEqual, 3*linesPerSecond)
		So(g.text(), ShouldContainSubstring, "log lines dropped")
	})
	Convey("a quiet log is written whole", t, func() {
		g := &gate{open: make(chan struct{})}
		close(g.open)
		q := NewQueue(g, time.Now)
		log, err := New(q, "info")
		So(err, ShouldBeNil)
		for range 100 {
			log.Info("event")
		}
		So(log.Sync(), ShouldBeNil)
		So(strings.Count(g.text(), "msg=event"), ShouldEqual, 100)
		So(q.Dropped(), ShouldEqual, 0)
	})
}
