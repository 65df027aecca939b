package repl

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

var start = time.Unix(0, 0)

func voters(ids ...string) Conf {
	var c Conf
	for _, id := range ids {
		c.Members = append(c.Members, Member{ID: id, Name: "n" + id, Voter: true})
	}
	return c
}

func newCore(id string, conf Conf, term uint64, entries ...Entry) *Core {
	return New(id, Stored{Hard: Hard{Term: term}, Snap: Snapshot{Conf: conf}, Entries: entries}, rand.New(rand.NewPCG(1, 1)), start)
}

// elect makes a core the leader of its next term with the votes of the given members.
func elect(c *Core, votes ...string) {
	c.Tick(start.Add(ElectionLongest))
	term := c.hard.Term + 1
	for _, v := range votes {
		c.Step(c.now, Msg{Kind: PreVote, From: v, To: c.id, Term: term})
	}
	for _, v := range votes {
		c.Step(c.now, Msg{Kind: Vote, From: v, To: c.id, Term: term})
	}
	So(c.Leading(), ShouldBeTrue)
	c.Take()
}

func entry(i, term uint64) Entry {
	return Entry{Index: i, Term: term, Kind: Command, Data: []byte{byte(i)}}
}

func TestElections(t *testing.T) {
	conf := voters("a", "b", "c")
	Convey("A replica votes for no candidate whose log is older than its own", t, func() {
		c := newCore("a", conf, 3, entry(1, 2))
		c.Step(start, Msg{Kind: AskVote, From: "b", To: "a", Term: 4, Index: 5, LogTerm: 1})
		out := c.Take()
		So(out.Msgs[0].Reject, ShouldBeTrue)
		So(out.Hard.Vote, ShouldEqual, "")
	})
	Convey("It votes once in a term, and stores the vote before it says so", t, func() {
		c := newCore("a", conf, 3)
		c.Step(start, Msg{Kind: AskVote, From: "b", To: "a", Term: 4})
		out := c.Take()
		So(out.Hard.Vote, ShouldEqual, "b")
		So(out.Msgs[0].Reject, ShouldBeFalse)
		c.Step(start, Msg{Kind: AskVote, From: "c", To: "a", Term: 4})
		So(c.Take().Msgs[0].Reject, ShouldBeTrue)
	})
	Convey("A replica that hears its leader helps nobody to replace it", t, func() {
		c := newCore("a", conf, 1)
		c.Step(start, Msg{Kind: Append, From: "b", To: "a", Term: 1})
		c.Take()
		c.Step(start.Add(Heartbeat), Msg{Kind: AskPreVote, From: "c", To: "a", Term: 2})
		So(c.Take().Msgs[0].Reject, ShouldBeTrue)
	})
	Convey("A replica without a vote never stands for election", t, func() {
		c := newCore("d", conf, 1)
		c.Tick(start.Add(10 * ElectionLongest))
		So(c.Take().Msgs, ShouldBeEmpty)
	})
}

func TestCommit(t *testing.T) {
	Convey("A leader does not commit an entry of an earlier term by counting replicas", t, func() {
		c := newCore("a", voters("a", "b", "c"), 2, entry(1, 2))
		elect(c, "b")
		c.Step(c.now, Msg{Kind: Appended, From: "b", To: "a", Term: c.hard.Term, Index: 1})
		So(c.Take().Commit, ShouldBeEmpty)
		c.Step(c.now, Msg{Kind: Appended, From: "b", To: "a", Term: c.hard.Term, Index: 2})
		So(len(c.Take().Commit), ShouldEqual, 2)
	})
	Convey("A late snapshot does not cut off entries that were acknowledged after it", t, func() {
		c := newCore("a", voters("a", "b", "c"), 1)
		c.Step(start, Msg{Kind: Append, From: "b", To: "a", Term: 1, Entries: []Entry{entry(1, 1), entry(2, 1), entry(3, 1)}})
		c.Take()
		c.Step(start, Msg{Kind: Install, From: "b", To: "a", Term: 1, Snap: &Snapshot{Index: 2, Term: 1, Conf: c.conf, Data: []byte("s")}})
		So(c.Take().Snap, ShouldBeNil)
		So(c.last(), ShouldEqual, 3)
	})
	Convey("A read is confirmed only once a majority has answered its round", t, func() {
		c := newCore("a", voters("a", "b", "c"), 1)
		elect(c, "b")
		c.Step(c.now, Msg{Kind: Appended, From: "b", To: "a", Term: c.hard.Term, Index: 1})
		_, err := c.Confirm()
		So(err, ShouldBeNil)
		So(c.Take().Reads, ShouldBeEmpty)
		c.Step(c.now, Msg{Kind: Appended, From: "c", To: "a", Term: c.hard.Term, Index: 0, Round: 1})
		So(len(c.Take().Reads), ShouldEqual, 1)
	})
}

func TestJoin(t *testing.T) {
	Convey("A new folder gets its vote one committed step at a time", t, func() {
		c := newCore("a", voters("a", "b", "c"), 1)
		elect(c, "b")
		ack := func() {
			for _, id := range []string{"b", "x"} {
				if _, ok := c.conf.Find(id); ok {
					c.Step(c.now, Msg{Kind: Appended, From: id, To: "a", Term: c.hard.Term, Index: c.last()})
				}
			}
			c.Take()
		}
		fresh := Member{ID: "x", Name: "nc"}
		_, err := c.Join(fresh)
		So(err, ShouldEqual, ErrBusy)
		ack()
		_, err = c.Join(fresh)
		So(err, ShouldBeNil)
		_, err = c.Join(fresh)
		So(err, ShouldEqual, ErrBusy)
		c.Step(c.now, Msg{Kind: Appended, From: "b", To: "a", Term: c.hard.Term, Index: c.last()})
		_, err = c.Join(fresh)
		So(err, ShouldBeNil)
		m, _ := c.conf.Find("x")
		So(m.Voter, ShouldBeFalse)
		_, gone := c.conf.Find("c")
		So(gone, ShouldBeTrue)
		ack()
		_, _ = c.Join(fresh)
		_, still := c.conf.Find("c")
		So(still, ShouldBeFalse)
		ack()
		_, _ = c.Join(fresh)
		ack()
		voter, err := c.Join(fresh)
		So(err, ShouldBeNil)
		So(voter, ShouldBeTrue)
		So(c.conf.Voters(), ShouldEqual, 3)
	})
}
