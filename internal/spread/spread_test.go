package spread

import (
	"context"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/zap"

	"github.com/greengagewheel/greengagewheel/internal/clock"
	"github.com/greengagewheel/greengagewheel/internal/ctrl"
	"github.com/greengagewheel/greengagewheel/internal/memb"
)

// TestServeUnproven plays a start of all instances: children pull before their parent has a proof.
func TestServeUnproven(t *testing.T) {
	parent := func() *Spread {
		return New(Options{Self: ctrl.Instance{Name: "p"}, Bound: 5 * time.Second, Log: zap.NewNop()})
	}
	Convey("a pull that waits at a parent without a proof is answered as soon as that has one", t, func() {
		s := parent()
		out := make(chan memb.News, 1)
		go func() {
			n, _ := s.Serve(context.Background(), memb.Pull{Name: "c", Count: 1})
			out <- n
		}()
		for waiting := 0; waiting == 0; {
			s.mu.Lock()
			_, waiting = s.children.Least(clock.Now(), 0)
			waiting--
			s.mu.Unlock()
		}
		s.take("cluster", nil, true, 3)
		s.renew(clock.Now())
		n := <-out
		// The first news may be the table alone, which the child takes without the proof.
		So(n.Version, ShouldEqual, 3)
		n, err := s.Serve(context.Background(), memb.Pull{Name: "c", Cluster: "cluster"})
		So(err, ShouldBeNil)
		So(n.Proven, ShouldBeTrue)
	})
	Convey("a parent that gets no proof lets its child go", t, func() {
		n, err := parent().Serve(context.Background(), memb.Pull{Name: "c"})
		So(err, ShouldBeNil)
		So(n.Proven, ShouldBeFalse)
	})
}
