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

// TestServeUnproven guards against pulls that hang, or that get no proof once the parent has one, when all instances start at the
// same time and children pull before their parent has a proof.
func TestServeUnproven(t *testing.T) {
	newParent := func() *Distributor {
		return New(Options{Self: ctrl.Instance{Name: "p"}, MaxProofAge: 5 * time.Second, Log: zap.NewNop()})
	}
	Convey("a pull held by a parent without a proof is answered as soon as the parent has one", t, func() {
		d := newParent()
		responses := make(chan memb.PullResponse, 1)
		go func() {
			response, _ := d.Serve(context.Background(), memb.PullRequest{Name: "c", InstanceCount: 1})
			responses <- response
		}()
		for children := 0; children == 0; {
			d.mu.Lock()
			_, children = d.children.LeastVersion(clock.Now(), 0)
			children--
			d.mu.Unlock()
		}
		d.applyItems("cluster", nil, true, 3)
		d.renewProof(clock.Now())
		response := <-responses
		// The first response may contain the configuration without the proof, which the child applies too.
		So(response.Version, ShouldEqual, 3)
		response, err := d.Serve(context.Background(), memb.PullRequest{Name: "c", Cluster: "cluster"})
		So(err, ShouldBeNil)
		So(response.Proven, ShouldBeTrue)
	})
	Convey("a parent that gets no proof answers its child without one", t, func() {
		response, err := newParent().Serve(context.Background(), memb.PullRequest{Name: "c"})
		So(err, ShouldBeNil)
		So(response.Proven, ShouldBeFalse)
	})
}
