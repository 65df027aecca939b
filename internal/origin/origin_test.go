package origin

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/zap"

	"github.com/greengagewheel/greengagewheel/internal/peer"
	"github.com/greengagewheel/greengagewheel/internal/roster"
)

var start = time.Unix(1000, 0)

func record(id, build string, left time.Duration) Record {
	return Record{Key: KeyOf("org", id), Origin: Origin{Build: build, EndpointID: "e", StartedAtMS: 5}, Left: left}
}

// TestRecordOutlivesItsStream guards against records that are found too long, too short, or for another organisation.
func TestRecordOutlivesItsStream(t *testing.T) {
	Convey("a record is found until it expires", t, func() {
		s := NewStore()
		s.Add(start, record("a", "v1", 10*time.Second))
		got, found := s.Find(start.Add(9*time.Second), KeyOf("org", "a"))
		So(found, ShouldBeTrue)
		So(got, ShouldResemble, Origin{Build: "v1", EndpointID: "e", StartedAtMS: 5})
		_, found = s.Find(start.Add(10*time.Second), KeyOf("org", "a"))
		So(found, ShouldBeFalse)
	})
	Convey("a request with the same ID of another organisation has none", t, func() {
		s := NewStore()
		s.Add(start, record("a", "v1", time.Minute))
		for _, key := range []Key{KeyOf("other", "a"), KeyOf("or", "ga"), KeyOf("orga", ""), KeyOf("org", "b")} {
			_, found := s.Find(start, key)
			So(found, ShouldBeFalse)
		}
	})
	Convey("a later record of the same request replaces the first, and is not dropped with it", t, func() {
		s := NewStore()
		s.Add(start, record("a", "v1", time.Second))
		s.Add(start, record("a", "v2", 10*time.Second))
		s.Add(start.Add(2*time.Second), record("b", "v1", time.Second))
		got, found := s.Find(start.Add(5*time.Second), KeyOf("org", "a"))
		So(found, ShouldBeTrue)
		So(got.Build, ShouldEqual, "v2")
	})
	Convey("no record is kept for longer than two minutes, and not more than the bound are kept", t, func() {
		s := NewStore()
		s.Add(start, record("a", "v1", time.Hour))
		_, found := s.Find(start.Add(maxLife), KeyOf("org", "a"))
		So(found, ShouldBeFalse)
		for i := range maxRecords + 10 {
			s.Add(start, record(fmt.Sprint("r", i), "v1", time.Minute))
		}
		So(s.Len(), ShouldEqual, maxRecords)
		_, found = s.Find(start, KeyOf("org", fmt.Sprint("r", maxRecords+9)))
		So(found, ShouldBeTrue)
		So(s.All(start, 3), ShouldHaveLength, 3)
	})
}

// TestOriginIsUncertain guards against taking the version of an earlier start of an endpoint for that of the process that answered.
func TestOriginIsUncertain(t *testing.T) {
	endpoints := func(startedAtMS int64, build string) map[string]roster.Endpoint {
		return map[string]roster.Endpoint{"e": {ID: "e", StartedAtMS: startedAtMS, Build: build}}
	}
	from := Origin{Build: "v1", EndpointID: "e", StartedAtMS: 5}
	Convey("the origin is certain while the endpoint runs, is gone, or has started again with the same version", t, func() {
		So(from.Certain(endpoints(5, "v1")), ShouldBeTrue)
		So(from.Certain(nil), ShouldBeTrue)
		So(from.Certain(endpoints(6, "v1")), ShouldBeTrue)
		So(from.Certain(endpoints(4, "v0")), ShouldBeTrue)
	})
	Convey("it is not if the endpoint has started again with another version, or tells none", t, func() {
		So(from.Certain(endpoints(6, "v2")), ShouldBeFalse)
		So(from.Certain(endpoints(6, "V1")), ShouldBeFalse)
		proven := from
		proven.Proven = true
		So(proven.Certain(endpoints(6, "v2")), ShouldBeTrue)
		unknown := Origin{EndpointID: "e", StartedAtMS: 5}
		So(unknown.Certain(endpoints(5, "")), ShouldBeFalse)
	})
}

// network connects the keepers of a test; those in cut are not reached.
type network struct {
	mu      sync.Mutex
	keepers map[netip.AddrPort]*Keeper
	cut     map[netip.AddrPort]bool
	// older are the instances of builds that know no origins.
	older map[netip.AddrPort]bool
	asked []netip.AddrPort
	// sent is the number of messages with records.
	sent atomic.Int64
}

func (n *network) SendOrigins(_ context.Context, to netip.AddrPort, msg Message) (reply Reply, err error) {
	n.mu.Lock()
	keeper, cut, older := n.keepers[to], n.cut[to], n.older[to]
	if len(msg.Records) > 0 {
		n.sent.Add(1)
	}
	if msg.Find != nil {
		n.asked = append(n.asked, to)
	}
	n.mu.Unlock()
	if cut || keeper == nil {
		return reply, errors.New("not reached")
	}
	if older {
		return reply, ErrNotKept
	}
	data, err := peer.Encode(msg)
	if err != nil {
		return reply, err
	}
	var received Message
	if err := peer.Decode(data, &received); err != nil {
		return reply, err
	}
	return keeper.Serve(received), nil
}

func addr(n int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, byte(n)}), 1)
}

// newNetwork returns three replicas (addresses 1 to 3, the first leads) and entries (from 11 on).
func newNetwork(t *testing.T, entries int) *network {
	n := &network{keepers: map[netip.AddrPort]*Keeper{}, cut: map[netip.AddrPort]bool{}, older: map[netip.AddrPort]bool{}}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	for i := 1; i <= 10+entries; i++ {
		if i > 3 && i <= 10 {
			continue
		}
		self := addr(i)
		n.keepers[self] = New(Options{
			Sender: n, Now: time.Now, Log: zap.NewNop(),
			Replicas: func() []netip.AddrPort { return []netip.AddrPort{addr(1), addr(2), addr(3)} },
			Entries: func() (others []netip.AddrPort) {
				for j := 11; j <= 10+entries; j++ {
					if addr(j) != self {
						others = append(others, addr(j))
					}
				}
				return others
			},
		})
		go n.keepers[self].Run(ctx)
	}
	return n
}

// restart replaces instances by new ones that know nothing.
func (n *network) restart(instances ...int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, i := range instances {
		n.keepers[addr(i)] = New(n.keepers[addr(i)].opt)
	}
}

func (n *network) find(i int, id string) string {
	from, _ := n.keepers[addr(i)].Find(context.Background(), KeyOf("org", id))
	return from.Build
}

func (n *network) setCut(i int, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[addr(i)] = cut
}

// TestOriginIsUnknownElsewhere guards against streams that cannot be taken up at another entry instance.
func TestOriginIsUnknownElsewhere(t *testing.T) {
	Convey("a record is found at another entry, after its own entry and the leader are lost", t, func() {
		n := newNetwork(t, 3)
		n.keepers[addr(11)].Record(record("a", "v1", time.Minute))
		time.Sleep(5 * sendDelay)
		So(n.find(11, "a"), ShouldEqual, "v1")
		So(n.find(12, "a"), ShouldEqual, "v1")
		n.setCut(11, true)
		n.setCut(1, true)
		So(n.find(13, "a"), ShouldEqual, "v1")
	})
	Convey("a record is sent at once, those that follow shortly after wait for one another", t, func() {
		n := newNetwork(t, 2)
		fastest := time.Hour
		for i := range 5 {
			before, began := n.sent.Load(), time.Now()
			n.keepers[addr(11)].Record(record(fmt.Sprint("a", i), "v1", time.Minute))
			for n.sent.Load() == before && time.Since(began) < 5*sendDelay {
				time.Sleep(sendDelay / 20)
			}
			fastest = min(fastest, time.Since(began))
			time.Sleep(2 * sendDelay)
		}
		So(fastest, ShouldBeLessThan, sendDelay/2)
		before, began := n.sent.Load(), time.Now()
		for i := range 50 {
			n.keepers[addr(11)].Record(record(fmt.Sprint("r", i), "v1", time.Minute))
			time.Sleep(sendDelay / 20)
		}
		So(n.sent.Load()-before, ShouldBeLessThanOrEqualTo, holders*(2+int64(time.Since(began)/sendDelay)))
		time.Sleep(5 * sendDelay)
		n.setCut(11, true)
		So(n.find(12, "r49"), ShouldEqual, "v1")
	})
	Convey("without any replica, the other entries are asked", t, func() {
		n := newNetwork(t, 3)
		for i := 1; i <= 3; i++ {
			n.setCut(i, true)
		}
		n.keepers[addr(11)].Record(record("a", "v1", time.Minute))
		So(n.find(12, "a"), ShouldEqual, "v1")
	})
	Convey("a replica that was not reached gets all records once it is", t, func() {
		n := newNetwork(t, 2)
		n.setCut(1, true)
		n.setCut(2, true)
		n.keepers[addr(11)].Record(record("a", "v1", time.Minute))
		time.Sleep(5 * sendDelay)
		n.setCut(1, false)
		n.setCut(2, false)
		time.Sleep(2 * holderInterval)
		n.setCut(11, true)
		So(n.find(12, "a"), ShouldEqual, "v1")
	})
	Convey("replicas of builds that know no origins are passed over", t, func() {
		n := newNetwork(t, 2)
		n.mu.Lock()
		n.older[addr(1)], n.older[addr(2)] = true, true
		n.mu.Unlock()
		n.keepers[addr(11)].Record(record("a", "v1", time.Minute))
		time.Sleep(5 * sendDelay)
		n.setCut(11, true)
		So(n.find(12, "a"), ShouldEqual, "v1")
	})
	Convey("a replica that has been replaced by one of a later build gets all records", t, func() {
		n := newNetwork(t, 2)
		n.mu.Lock()
		n.older[addr(1)], n.older[addr(2)], n.older[addr(3)] = true, true, true
		n.mu.Unlock()
		n.keepers[addr(11)].Record(record("a", "v1", time.Minute))
		time.Sleep(5 * sendDelay)
		n.mu.Lock()
		n.older[addr(1)] = false
		n.mu.Unlock()
		time.Sleep(unableTime + 2*holderInterval)
		n.setCut(11, true)
		So(n.find(12, "a"), ShouldEqual, "v1")
	})
	Convey("replicas that have started again, without a call that failed, get all records", t, func() {
		n := newNetwork(t, 2)
		n.keepers[addr(11)].Record(record("a", "v1", time.Minute))
		time.Sleep(5 * sendDelay)
		for _, quiet := range []bool{false, true} {
			n.restart(1, 2, 3)
			if !quiet {
				n.keepers[addr(11)].Record(record("b", "v1", time.Minute))
			}
			time.Sleep(pingInterval + 2*holderInterval)
			n.setCut(11, true)
			So(n.find(12, "a"), ShouldEqual, "v1")
			n.setCut(11, false)
		}
	})
	Convey("what nobody knows is not found, within twice the timeout", t, func() {
		n := newNetwork(t, 3)
		began := time.Now()
		So(n.find(12, "a"), ShouldBeEmpty)
		So(time.Since(began), ShouldBeLessThan, 2*callTimeout)
	})
	Convey("not more than the bound of entries are asked", t, func() {
		n := newNetwork(t, 100)
		So(n.find(12, "a"), ShouldBeEmpty)
		n.mu.Lock()
		defer n.mu.Unlock()
		So(len(n.asked), ShouldBeLessThanOrEqualTo, 3+maxAsked)
		So(slices.Contains(n.asked, addr(11)), ShouldBeTrue)
	})
	Convey("messages with too many or invalid records are refused", t, func() {
		So((&Message{Records: make([]Record, maxBatch+1)}).Check(), ShouldNotBeNil)
		So((&Message{Records: []Record{record("a", "", 0)}}).Check(), ShouldNotBeNil)
		So((&Message{Records: []Record{record("a", strings.Repeat("v", 129), 0)}}).Check(), ShouldNotBeNil)
		So((&Message{Records: []Record{record("a", "v", -1)}}).Check(), ShouldNotBeNil)
	})
}

// BenchmarkAddAndFind measures what a stream costs at a replica that holds many.
func BenchmarkAddAndFind(b *testing.B) {
	s := NewStore()
	for i := range maxRecords {
		s.Add(start, record(fmt.Sprint("r", i), "v1", time.Minute))
	}
	b.ReportAllocs()
	for i := range b.N {
		rec := record("r", "v1", time.Minute)
		rec.Key[0], rec.Key[1], rec.Key[2] = byte(i), byte(i>>8), byte(i>>16)
		s.Add(start, rec)
		s.Find(start, rec.Key)
	}
}
