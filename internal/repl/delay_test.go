package repl

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// inFlightMsg is a message that is sent but not yet delivered.
type inFlightMsg struct {
	msg       Msg
	deliverAt time.Time
}

// TestDelaysBelowElectionTimeoutCauseNoElection connects three replicas, in virtual time, by links with a random delay of 3 to
// 250 ms that preserve order, as a TCP connection does. It guards against elections caused by message delays alone.
func TestDelaysBelowElectionTimeoutCauseNoElection(t *testing.T) {
	const (
		tick       = 10 * time.Millisecond
		minDelay   = 3 * time.Millisecond
		maxDelay   = 250 * time.Millisecond
		settleTime = 5 * time.Second // time allowed for the first election
		duration   = 120 * time.Second
	)
	Convey("Delays shorter than the election timeout minus a heartbeat interval cause no second election", t, func() {
		rng := rand.New(rand.NewPCG(1, 0))
		conf := voters("a", "b", "c")
		var cores []*Core
		for i, id := range []string{"a", "b", "c"} {
			cores = append(cores, New(id, Stored{Snapshot: Snapshot{Conf: conf}}, rand.New(rand.NewPCG(uint64(i), 1)), start))
		}
		var inFlight []inFlightMsg
		lastDelivery := map[string]time.Time{}
		var settledTerm uint64
		for now := start; now.Before(start.Add(duration)); now = now.Add(tick) {
			var pending []inFlightMsg
			for _, d := range inFlight {
				if d.deliverAt.After(now) {
					pending = append(pending, d)
					continue
				}
				for _, c := range cores {
					c.Step(now, d.msg)
				}
			}
			inFlight = pending
			for _, c := range cores {
				c.Tick(now)
				c.Flush()
				for _, m := range c.TakeOutput().Msgs {
					deliverAt := now.Add(minDelay + time.Duration(rng.Int64N(int64(maxDelay-minDelay))))
					if previous := lastDelivery[m.From+m.To]; deliverAt.Before(previous) {
						deliverAt = previous
					}
					lastDelivery[m.From+m.To] = deliverAt
					inFlight = append(inFlight, inFlightMsg{msg: m, deliverAt: deliverAt})
				}
				if now.Equal(start.Add(settleTime)) {
					settledTerm = max(settledTerm, c.hardState.Term)
				}
			}
		}
		leaders := 0
		for _, c := range cores {
			So(c.hardState.Term, ShouldEqual, settledTerm)
			if c.IsLeader() {
				leaders++
			}
		}
		So(leaders, ShouldEqual, 1)
	})
}
