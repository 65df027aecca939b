package repl

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// TestCatchUpAfterPartition guards against sending the entries that a follower lacks several times while heartbeats overtake its
// responses. The follower holds uncommitted entries that it appended as the leader on the minority side of a partition.
func TestCatchUpAfterPartition(t *testing.T) {
	const commonEntries, divergentEntries, leaderOnlyEntries, entryBytes = 20, 60, 200, 1000
	conf := voters("a", "b", "c")
	newLog := func(term uint64, n int) []Entry {
		var out []Entry
		for i := range commonEntries {
			out = append(out, Entry{Index: uint64(i + 1), Term: 1, Kind: Command, Data: make([]byte, entryBytes)})
		}
		for range n {
			out = append(out, Entry{Index: uint64(len(out) + 1), Term: term, Kind: Command, Data: make([]byte, entryBytes)})
		}
		return out
	}
	Convey("after a partition, a replica receives each missing entry about once", t, func() {
		leader := newCore("a", conf, 3, newLog(3, leaderOnlyEntries)...)
		elect(leader, "b")
		follower := newCore("c", conf, 2, newLog(2, divergentEntries)...)
		sentBytes := 0
		deliver := func(out Output, to *Core) {
			for _, m := range out.Msgs {
				if m.To == to.id {
					for _, e := range m.Entries {
						sentBytes += len(e.Data)
					}
					to.Step(to.now, m)
				}
			}
		}
		now := leader.now
		for range 400 {
			// Heartbeats are sent faster than responses arrive.
			now = now.Add(HeartbeatInterval)
			leader.Tick(now)
			first := leader.TakeOutput()
			leader.Tick(now.Add(HeartbeatInterval))
			deliver(first, follower)
			deliver(leader.TakeOutput(), follower)
			deliver(follower.TakeOutput(), leader)
			leader.Step(leader.now, Msg{Kind: AppendResponse, From: "b", To: "a", Term: leader.hardState.Term, Index: leader.lastIndex()})
			deliver(leader.TakeOutput(), follower)
			deliver(follower.TakeOutput(), leader)
		}
		So(follower.lastIndex(), ShouldEqual, leader.lastIndex())
		So(follower.lastTerm(), ShouldEqual, leader.lastTerm())
		So(sentBytes, ShouldBeLessThan, 2*leaderOnlyEntries*entryBytes)
	})
}
