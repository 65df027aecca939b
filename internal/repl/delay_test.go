package repl

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// delayed is a message on its way.
type delayed struct {
	msg Msg
	at  time.Time
}

// TestDelaysCauseNoElection lets three replicas talk, in virtual time, over links that take 3 to 250 ms and keep
// what is sent in order, as a connection does.
func TestDelaysCauseNoElection(t *testing.T) {
	const (
		tick    = 10 * time.Millisecond
		least   = 3 * time.Millisecond
		stall   = 250 * time.Millisecond
		settled = 5 * time.Second
		end     = 120 * time.Second
	)
	Convey("Once a leader is elected, no delay shorter than an election time less a heartbeat makes another", t, func() {
		rng := rand.New(rand.NewPCG(1, 0))
		conf := voters("a", "b", "c")
		var cores []*Core
		for i, id := range []string{"a", "b", "c"} {
			cores = append(cores, New(id, Stored{Snap: Snapshot{Conf: conf}}, rand.New(rand.NewPCG(uint64(i), 1)), start))
		}
		var way []delayed
		last := map[string]time.Time{}
		var term uint64
		for now := start; now.Before(start.Add(end)); now = now.Add(tick) {
			var later []delayed
			for _, d := range way {
				if d.at.After(now) {
					later = append(later, d)
					continue
				}
				for _, c := range cores {
					c.Step(now, d.msg)
				}
			}
			way = later
			for _, c := range cores {
				c.Tick(now)
				c.Flush()
				for _, m := range c.Take().Msgs {
					at := now.Add(least + time.Duration(rng.Int64N(int64(stall-least))))
					if before := last[m.From+m.To]; at.Before(before) {
						at = before
					}
					last[m.From+m.To] = at
					way = append(way, delayed{msg: m, at: at})
				}
				if now.Equal(start.Add(settled)) {
					term = max(term, c.hard.Term)
				}
			}
		}
		leaders := 0
		for _, c := range cores {
			So(c.hard.Term, ShouldEqual, term)
			if c.Leading() {
				leaders++
			}
		}
		So(leaders, ShouldEqual, 1)
	})
}
