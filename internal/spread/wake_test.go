package spread

import (
	"fmt"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/zap"

	"github.com/greengagewheel/greengagewheel/internal/clock"
	"github.com/greengagewheel/greengagewheel/internal/ctrl"
	"github.com/greengagewheel/greengagewheel/internal/memb"
	"github.com/greengagewheel/greengagewheel/internal/roster"
)

// item returns an item of the configuration.
func item(kind ctrl.Kind, key string, version uint64, content any) ctrl.Item {
	data, err := cbor.Marshal(content)
	So(err, ShouldBeNil)
	return ctrl.Item{Kind: kind, Key: key, ModVersion: version, Data: data}
}

func newParent() *Distributor {
	d := New(Options{MaxProofAge: 5 * time.Second, Log: zap.NewNop()})
	d.applyItems("c", []ctrl.Item{item(ctrl.KindEndpoint, "e", 1, roster.Endpoint{ID: "e"})}, true, 1)
	d.renewProof(clock.Now())
	return d
}

// TestEachRegistrationWakesAllPulls guards against an answer to each instance for each registration, while all instances register after a
// loss of power.
func TestEachRegistrationWakesAllPulls(t *testing.T) {
	woken := func(d *Distributor, change func()) bool {
		d.mu.Lock()
		updated := d.updated
		d.mu.Unlock()
		change()
		select {
		case <-updated:
			return true
		default:
			return false
		}
	}
	Convey("registrations wait for the next proof, and go with it", t, func() {
		d := newParent()
		for n := range 300 {
			version := uint64(n + 2)
			name := fmt.Sprint("edge-", n)
			So(woken(d, func() {
				d.applyItems("c", []ctrl.Item{item(ctrl.KindInstance, name, version, ctrl.Instance{Name: name})}, false, version)
			}), ShouldBeFalse)
		}
		So(woken(d, func() { d.renewProof(clock.Now().Add(time.Second)) }), ShouldBeTrue)
		response := d.responseTo(clock.Now(), memb.PullRequest{Cluster: "c", Version: 1})
		So(response.Items, ShouldHaveLength, 300)
	})
	Convey("any other change goes to all at once", t, func() {
		d := newParent()
		So(woken(d, func() {
			d.applyItems("c", []ctrl.Item{
				item(ctrl.KindInstance, "i", 2, ctrl.Instance{Name: "i"}), item(ctrl.KindEndpoint, "f", 2, roster.Endpoint{ID: "f"}),
			}, false, 2)
		}), ShouldBeTrue)
	})
}
