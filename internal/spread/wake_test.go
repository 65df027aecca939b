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
	"github.com/greengagewheel/greengagewheel/internal/peer"
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

// TestWholeConfigurationFillsSlowLink guards against a whole configuration that takes the link of a small machine for longer than its
// callers wait, and against one that a child of an earlier build cannot read.
func TestWholeConfigurationFillsSlowLink(t *testing.T) {
	const instances, endpoints = 300, 165
	newLarge := func() *Distributor {
		d := New(Options{MaxProofAge: 5 * time.Second, Log: zap.NewNop()})
		var items []ctrl.Item
		for n := range instances {
			name := fmt.Sprintf("edge-centro-%c-%d", 'a'+n%5, n)
			inst := ctrl.Instance{Name: name, Zone: "centro-" + name[12:13], Region: "pt-centro", Boot: fmt.Sprintf("%s-%016x", name, n*0x9e3779b1)}
			items = append(items, item(ctrl.KindInstance, name, 7, inst))
		}
		for n := range endpoints {
			id := fmt.Sprintf("i-%010x", n*0x9e3779b1)
			items = append(items, item(ctrl.KindEndpoint, id, 7, roster.Endpoint{
				ID: id, Service: "m", Zone: "centro-a", Slots: 64, State: roster.Ready, StartedAtMS: int64(1_700_000_000_000 + n*977), Build: "v1",
			}))
		}
		d.applyItems("c", items, true, 7)
		d.renewProof(clock.Now())
		return d
	}
	Convey("for 300 instances and 165 endpoints it takes a link of 10 Mbit/s less than 30 ms, and is read as it was", t, func() {
		const bytesIn30ms = 10_000_000 / 8 * 30 / 1000
		parent := newLarge()
		data, err := peer.Encode(parent.responseTo(clock.Now(), memb.PullRequest{ReadsPacked: true}))
		So(err, ShouldBeNil)
		So(len(data), ShouldBeLessThan, bytesIn30ms)
		var response memb.PullResponse
		So(peer.Decode(data, &response), ShouldBeNil)
		So(response.Unpack(), ShouldBeNil)
		child := New(Options{MaxProofAge: 5 * time.Second, Log: zap.NewNop()})
		So(child.applyItems(response.Cluster, response.Items, response.Full, response.Version), ShouldBeTrue)
		So(child.View().Endpoints, ShouldResemble, parent.View().Endpoints)
		So(child.View().Instances, ShouldResemble, parent.View().Instances)
	})
	Convey("a child that does not say that it reads packed items gets them plain", t, func() {
		response := newLarge().responseTo(clock.Now(), memb.PullRequest{})
		So(response.Packed, ShouldBeEmpty)
		So(response.Items, ShouldHaveLength, instances+endpoints)
	})
	Convey("a later version is packed anew, and damaged items are refused", t, func() {
		d := newLarge()
		first := d.responseTo(clock.Now(), memb.PullRequest{ReadsPacked: true})
		d.applyItems("c", []ctrl.Item{item(ctrl.KindEndpoint, "new", 8, roster.Endpoint{ID: "new"})}, false, 8)
		second := d.responseTo(clock.Now(), memb.PullRequest{ReadsPacked: true})
		So(second.Unpack(), ShouldBeNil)
		So(second.Items, ShouldHaveLength, instances+endpoints+1)
		first.Packed = first.Packed[:len(first.Packed)/2]
		So(first.Unpack(), ShouldNotBeNil)
	})
}
