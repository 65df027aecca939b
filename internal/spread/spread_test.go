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

// TestServeUnproven covers the simultaneous start of all instances, when children pull before their parent has a proof.
func TestServeUnproven(t *testing.T) {
	newParent := func() *Spread {
		return New(Options{Self: ctrl.Instance{Name: "p"}, Bound: 5 * time.Second, Log: zap.NewNop()})
	}
	Convey("a pull held by a parent without a proof is answered as soon as the parent has one", t, func() {
		s := newParent()
		answers := make(chan memb.News, 1)
		go func() {
			news, _ := s.Serve(context.Background(), memb.Pull{Name: "c", Count: 1})
			answers <- news
		}()
		for held := 0; held == 0; {
			s.mu.Lock()
			_, held = s.children.Least(clock.Now(), 0)
			held--
			s.mu.Unlock()
		}
		s.applyItems("cluster", nil, true, 3)
		s.renewProof(clock.Now())
		news := <-answers
		// The first response may contain the configuration without the proof, which the child applies too.
		So(news.Version, ShouldEqual, 3)
		news, err := s.Serve(context.Background(), memb.Pull{Name: "c", Cluster: "cluster"})
		So(err, ShouldBeNil)
		So(news.Proven, ShouldBeTrue)
	})
	Convey("a parent that gets no proof answers its child without one", t, func() {
		news, err := newParent().Serve(context.Background(), memb.Pull{Name: "c"})
		So(err, ShouldBeNil)
		So(news.Proven, ShouldBeFalse)
	})
}
