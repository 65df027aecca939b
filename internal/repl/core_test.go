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
	return New(id, Stored{
		HardState: HardState{Term: term}, Snapshot: Snapshot{Conf: conf}, Entries: entries,
	}, rand.New(rand.NewPCG(1, 1)), start)
}

// elect makes c the leader of its next term with the votes of the given members.
func elect(c *Core, voters ...string) {
	c.Tick(start.Add(MaxElectionTimeout))
	term := c.hardState.Term + 1
	for _, voter := range voters {
		c.Step(c.now, Msg{Kind: PreVoteResponse, From: voter, To: c.id, Term: term})
	}
	for _, voter := range voters {
		c.Step(c.now, Msg{Kind: VoteResponse, From: voter, To: c.id, Term: term})
	}
	So(c.IsLeader(), ShouldBeTrue)
	c.TakeOutput()
}

func entry(index, term uint64) Entry {
	return Entry{Index: index, Term: term, Kind: Command, Data: []byte{byte(index)}}
}

func TestElections(t *testing.T) {
	conf := voters("a", "b", "c")
	Convey("A replica rejects a candidate whose log is less up to date than its own", t, func() {
		c := newCore("a", conf, 3, entry(1, 2))
		c.Step(start, Msg{Kind: VoteRequest, From: "b", To: "a", Term: 4, Index: 5, LogTerm: 1})
		out := c.TakeOutput()
		So(out.Msgs[0].Reject, ShouldBeTrue)
		So(out.HardState.Vote, ShouldEqual, "")
	})
	Convey("A replica votes once per term and persists the vote with the response", t, func() {
		c := newCore("a", conf, 3)
		c.Step(start, Msg{Kind: VoteRequest, From: "b", To: "a", Term: 4})
		out := c.TakeOutput()
		So(out.HardState.Vote, ShouldEqual, "b")
		So(out.Msgs[0].Reject, ShouldBeFalse)
		c.Step(start, Msg{Kind: VoteRequest, From: "c", To: "a", Term: 4})
		So(c.TakeOutput().Msgs[0].Reject, ShouldBeTrue)
	})
	Convey("A replica in contact with its leader rejects pre-votes", t, func() {
		c := newCore("a", conf, 1)
		c.Step(start, Msg{Kind: AppendRequest, From: "b", To: "a", Term: 1})
		c.TakeOutput()
		c.Step(start.Add(HeartbeatInterval), Msg{Kind: PreVoteRequest, From: "c", To: "a", Term: 2})
		So(c.TakeOutput().Msgs[0].Reject, ShouldBeTrue)
	})
	Convey("A replica that is not a voter never starts an election", t, func() {
		c := newCore("d", conf, 1)
		c.Tick(start.Add(10 * MaxElectionTimeout))
		So(c.TakeOutput().Msgs, ShouldBeEmpty)
	})
}

func TestCommit(t *testing.T) {
	Convey("A leader does not commit an entry of an earlier term by counting replicas", t, func() {
		c := newCore("a", voters("a", "b", "c"), 2, entry(1, 2))
		elect(c, "b")
		c.Step(c.now, Msg{Kind: AppendResponse, From: "b", To: "a", Term: c.hardState.Term, Index: 1})
		So(c.TakeOutput().Committed, ShouldBeEmpty)
		c.Step(c.now, Msg{Kind: AppendResponse, From: "b", To: "a", Term: c.hardState.Term, Index: 2})
		So(len(c.TakeOutput().Committed), ShouldEqual, 2)
	})
	Convey("A delayed snapshot does not truncate entries acknowledged after it", t, func() {
		c := newCore("a", voters("a", "b", "c"), 1)
		c.Step(start, Msg{Kind: AppendRequest, From: "b", To: "a", Term: 1, Entries: []Entry{entry(1, 1), entry(2, 1), entry(3, 1)}})
		c.TakeOutput()
		c.Step(start, Msg{
			Kind: InstallSnapshot, From: "b", To: "a", Term: 1, Snapshot: &Snapshot{Index: 2, Term: 1, Conf: c.conf, Data: []byte("s")},
		})
		So(c.TakeOutput().Snapshot, ShouldBeNil)
		So(c.lastIndex(), ShouldEqual, 3)
	})
	Convey("A read is confirmed only after a majority has acknowledged its round", t, func() {
		c := newCore("a", voters("a", "b", "c"), 1)
		elect(c, "b")
		c.Step(c.now, Msg{Kind: AppendResponse, From: "b", To: "a", Term: c.hardState.Term, Index: 1})
		_, err := c.StartRead()
		So(err, ShouldBeNil)
		So(c.TakeOutput().ConfirmedReads, ShouldBeEmpty)
		c.Step(c.now, Msg{Kind: AppendResponse, From: "c", To: "a", Term: c.hardState.Term, Index: 0, Round: 1})
		So(len(c.TakeOutput().ConfirmedReads), ShouldEqual, 1)
	})
}

func TestJoin(t *testing.T) {
	Convey("A replica with a new data folder becomes a voter one committed membership change at a time", t, func() {
		c := newCore("a", voters("a", "b", "c"), 1)
		elect(c, "b")
		acknowledge := func() {
			for _, id := range []string{"b", "x"} {
				if _, ok := c.conf.Find(id); ok {
					c.Step(c.now, Msg{Kind: AppendResponse, From: id, To: "a", Term: c.hardState.Term, Index: c.lastIndex()})
				}
			}
			c.TakeOutput()
		}
		joining := Member{ID: "x", Name: "nc"}
		_, err := c.Join(joining)
		So(err, ShouldEqual, ErrConfChangePending)
		acknowledge()
		_, err = c.Join(joining)
		So(err, ShouldBeNil)
		_, err = c.Join(joining)
		So(err, ShouldEqual, ErrConfChangePending)
		c.Step(c.now, Msg{Kind: AppendResponse, From: "b", To: "a", Term: c.hardState.Term, Index: c.lastIndex()})
		_, err = c.Join(joining)
		So(err, ShouldBeNil)
		m, _ := c.conf.Find("x")
		So(m.Voter, ShouldBeFalse)
		_, oldVoterFoundBefore := c.conf.Find("c")
		So(oldVoterFoundBefore, ShouldBeTrue)
		acknowledge()
		_, _ = c.Join(joining)
		_, oldVoterFound := c.conf.Find("c")
		So(oldVoterFound, ShouldBeFalse)
		acknowledge()
		_, _ = c.Join(joining)
		acknowledge()
		voter, err := c.Join(joining)
		So(err, ShouldBeNil)
		So(voter, ShouldBeTrue)
		So(c.conf.NumVoters(), ShouldEqual, 3)
	})
}
