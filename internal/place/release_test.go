package place

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/greengagewheel/greengagewheel/internal/roster"
	"github.com/greengagewheel/greengagewheel/pkg/table"
)

const (
	releaseEngines  = 20
	releasePrompts  = 100
	sharedTokens    = 13_000
	requestInterval = 10 * time.Millisecond
)

// release plays a service whose engines leave one after the other, each replaced by an empty one, while callers send prompts of which
// most is shared.
type release struct {
	b      *Balancer
	now    time.Time
	eps    map[string]roster.Endpoint
	table  *table.Index
	number int
	// cached holds what each engine has read, by endpoint ID and prompt.
	cached map[string]map[int]bool
}

func newRelease() *release {
	r := &release{
		b: New(), now: time.Unix(1000, 0), eps: map[string]roster.Endpoint{}, cached: map[string]map[int]bool{},
		table: table.New(&table.Table{Services: []table.Service{{Name: "m", Engine: &table.Engine{Slots: 64, Tokens: 500_000}}}}),
	}
	for i := range releaseEngines {
		r.add(fmt.Sprint("old", i))
	}
	return r
}

func (r *release) add(id string) {
	r.number++
	r.eps[id] = roster.Endpoint{
		ID: id, Service: "m", Zone: "a", State: roster.Ready,
		Addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(r.number >> 8), byte(r.number)}), 80),
	}
	r.cached[id] = map[int]bool{}
	r.b.Sync(r.eps, r.table)
	r.b.RecordCached(id, nil)
}

func (r *release) setState(id string, state roster.State) {
	ep := r.eps[id]
	ep.State = state
	r.eps[id] = ep
	r.b.Sync(r.eps, r.table)
}

func (r *release) remove(id string) {
	delete(r.eps, id)
	r.b.Sync(r.eps, r.table)
}

// send sends a request and returns the number of shared tokens that its engine had to read, and whether it was sent to an engine that
// leaves. An engine fetches what the engine named in the choice has.
func (r *release) send(n, prompt int) (read int, leaving bool) {
	id := fmt.Sprint(n)
	choice, ok := r.b.Place(r.now, Request{
		AttemptID: id, Service: "m", Zone: "a", InputTokens: sharedTokens + 500, TimeLeft: time.Second,
		Parts: []PromptPart{{ID: uint64(prompt + 1), Tokens: sharedTokens}, {ID: uint64(n + 1_000_000), Tokens: 500}},
	})
	So(ok, ShouldBeTrue)
	has := r.cached[choice.ID][prompt]
	for other, ep := range r.eps {
		has = has || ep.Addr == choice.FetchFrom && r.cached[other][prompt]
	}
	r.cached[choice.ID][prompt] = true
	r.b.Apply(r.now, Event{AttemptID: id, FirstAnswer: 50 * time.Millisecond})
	r.b.Apply(r.now, Event{AttemptID: id, Outcome: Completed})
	r.now = r.now.Add(requestInterval)
	if !has {
		read = sharedTokens
	}
	return read, r.eps[choice.ID].State != roster.Ready
}

// TestPromptsAreReadAgainInRelease guards against prompts that are prefilled again, while their callers and others wait, although an
// engine that leaves still holds them.
func TestPromptsAreReadAgainInRelease(t *testing.T) {
	Convey("what a leaving engine holds is fetched from it, and nothing is sent to it", t, func() {
		r := newRelease()
		n, read := 0, 0
		send := func(prompt int) {
			tokens, leaving := r.send(n, prompt)
			So(leaving, ShouldBeFalse)
			read += tokens
			n++
		}
		for prompt := range releasePrompts {
			send(prompt)
		}
		So(read, ShouldEqual, releasePrompts*sharedTokens)
		read = 0
		for i := range releaseEngines {
			r.setState(fmt.Sprint("old", i), roster.Leaving)
			r.add(fmt.Sprint("new", i))
			// Every prompt is asked for before the engine ends.
			for prompt := range releasePrompts {
				send(prompt)
			}
			r.remove(fmt.Sprint("old", i))
		}
		So(read, ShouldEqual, 0)
	})
	for _, heard := range []bool{false, true} {
		Convey(fmt.Sprintf("a prompt is fetched from an engine that broke off only if it was heard of since: %v", heard), t, func() {
			r := newRelease()
			request := func(id string, own uint64, excluded ...string) Request {
				return Request{
					AttemptID: id, Service: "m", Zone: "a", InputTokens: sharedTokens + 500, TimeLeft: time.Second, ExcludedIDs: excluded,
					Parts: []PromptPart{{ID: 1, Tokens: sharedTokens}, {ID: own, Tokens: 500}},
				}
			}
			first, _ := r.b.Place(r.now, request("a", 2))
			r.b.Apply(r.now, Event{AttemptID: "a", FirstAnswer: time.Millisecond})
			r.b.Apply(r.now, Event{AttemptID: "a", Outcome: ConnectionLost})
			r.now = r.now.Add(time.Second)
			if heard {
				r.b.RecordHeartbeat(r.now, r.now, first.ID)
			}
			second, ok := r.b.Place(r.now, request("b", 3, first.ID))
			So(ok, ShouldBeTrue)
			So(second.FetchFrom == first.Addr, ShouldEqual, heard)
		})
	}
}
