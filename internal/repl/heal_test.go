package repl

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// TestHealedCut plays a follower that led the smaller side of a cut, and took in entries there that were never committed.
func TestHealedCut(t *testing.T) {
	const common, alone, since, size = 20, 60, 200, 1000
	conf := voters("a", "b", "c")
	log := func(term uint64, n int) []Entry {
		var out []Entry
		for i := range common {
			out = append(out, Entry{Index: uint64(i + 1), Term: 1, Kind: Command, Data: make([]byte, size)})
		}
		for range n {
			out = append(out, Entry{Index: uint64(len(out) + 1), Term: term, Kind: Command, Data: make([]byte, size)})
		}
		return out
	}
	Convey("after a cut, a replica gets each entry that it lacks about once", t, func() {
		leader := newCore("a", conf, 3, log(3, since)...)
		elect(leader, "b")
		behind := newCore("c", conf, 2, log(2, alone)...)
		sent := 0
		pass := func(out Output, to *Core) {
			for _, m := range out.Msgs {
				if m.To == to.id {
					for _, e := range m.Entries {
						sent += len(e.Data)
					}
					to.Step(to.now, m)
				}
			}
		}
		now := leader.now
		for range 400 {
			// Heartbeats go out faster than answers come back.
			now = now.Add(Heartbeat)
			leader.Tick(now)
			first := leader.Take()
			leader.Tick(now.Add(Heartbeat))
			pass(first, behind)
			pass(leader.Take(), behind)
			pass(behind.Take(), leader)
			leader.Step(leader.now, Msg{Kind: Appended, From: "b", To: "a", Term: leader.hard.Term, Index: leader.last()})
			pass(leader.Take(), behind)
			pass(behind.Take(), leader)
		}
		So(behind.last(), ShouldEqual, leader.last())
		So(behind.lastTerm(), ShouldEqual, leader.lastTerm())
		So(sent, ShouldBeLessThan, 2*since*size)
	})
}
