package claim

import (
	"fmt"
	"os"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"github.com/greengagewheel/greengagewheel/internal/seed"
)

// TestMain fixes the seed of the randomized tests.
func TestMain(m *testing.M) {
	seed.Fix()
	os.Exit(m.Run())
}

// attempt is an attempt to run a request. It sends only after its open command was confirmed, and voids the claim only if it hasn't
// sent. reported is "no" once it has told its caller that the request didn't run.
type attempt struct {
	nonce       string
	fingerprint string
	opened      bool
	sent        bool
	reported    string
	voided      bool
}

// TestClaims runs several attempts under one key in random order, with lost confirmations and with duplicated and delayed
// commands. It guards against a request that runs twice, or that runs although its caller was told that it didn't.
func TestClaims(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var rec *Record
		var delayed []Command
		runs := 0
		attempts := make([]*attempt, rapid.IntRange(1, 5).Draw(rt, "attempts"))
		for i := range attempts {
			attempts[i] = &attempt{nonce: fmt.Sprint("n", i), fingerprint: "p"}
		}
		apply := func(cmd Command) (Record, bool) {
			next, ok := Next(rec, cmd, 1)
			if ok {
				rec = &next
			}
			return next, ok
		}
		for range rapid.IntRange(1, 60).Draw(rt, "steps") {
			att := attempts[rapid.IntRange(0, len(attempts)-1).Draw(rt, "who")]
			cmd := Command{Customer: "c", Key: "k", Nonce: att.nonce, Fingerprint: att.fingerprint}
			switch rapid.IntRange(0, 6).Draw(rt, "what") {
			case 0: // Opens the claim; the confirmation may be lost.
				if att.opened || att.reported != "" {
					continue
				}
				cmd.To = Open
				got, ok := apply(cmd)
				if rapid.Bool().Draw(rt, "lost") {
					att.reported = "no"
					continue
				}
				att.opened = ok && got.Nonce == att.nonce && got.State == Open
			case 1: // Sends the request.
				if att.opened && !att.sent && att.reported == "" {
					att.sent = true
					runs++
				}
			case 2: // Abandons the request before it was sent.
				if att.reported == "no" || att.opened && !att.sent {
					att.reported = "no"
					cmd.To = Void
					apply(cmd)
					att.voided = true
				}
			case 3: // Records the answer; the command is kept to be delivered again.
				if att.sent {
					cmd.To, cmd.Answer = Done, &Answer{Status: 200}
					apply(cmd)
					delayed = append(delayed, cmd)
				}
			case 4: // Marks the attempt's claim as in doubt.
				cmd.To = InDoubt
				apply(cmd)
			case 5: // Delivers a recorded answer again.
				if len(delayed) > 0 {
					apply(delayed[rapid.IntRange(0, len(delayed)-1).Draw(rt, "late")])
				}
			case 6: // Delivers the open command of an abandoned attempt late.
				if att.reported != "no" {
					continue
				}
				cmd.To = Open
				if got, ok := apply(cmd); att.voided && ok && got.State == Open {
					rt.Fatalf("a delayed open command of the voided attempt %s opened the claim", att.nonce)
				}
			}
			if runs > 1 {
				rt.Fatalf("the request ran %d times", runs)
			}
			for _, other := range attempts {
				if other.reported == "no" && other.sent {
					rt.Fatalf("attempt %s ran after it was reported as not run", other.nonce)
				}
			}
		}
	})
}

// TestVoidedAttempts guards against a request that runs although its caller was told that it didn't, because a delayed open command
// of an abandoned attempt opens the claim. It also guards against a list of voided attempts that grows without bound.
func TestVoidedAttempts(t *testing.T) {
	Convey("A delayed open command of a voided attempt doesn't open the claim, also after another attempt was voided", t, func() {
		var rec *Record
		apply := func(nonce string, to State) bool {
			next, ok := Next(rec, Command{Customer: "c", Key: "k", Nonce: nonce, To: to, Fingerprint: "p"}, 1)
			if ok {
				rec = &next
			}
			return ok
		}
		So(apply("a", Void), ShouldBeTrue)
		So(apply("b", Open), ShouldBeTrue)
		apply("d", Void)
		So(rec.State, ShouldEqual, Open)
		So(rec.Nonce, ShouldEqual, "b")
		So(apply("b", Void), ShouldBeTrue)
		So(apply("a", Open), ShouldBeFalse)
		So(apply("d", Open), ShouldBeFalse)
		So(rec.State, ShouldEqual, Void)
		So(apply("e", Open), ShouldBeTrue)
	})
	Convey("A claim remembers at most MaxVoidedAttempts voided attempts", t, func() {
		rec, _ := Next(nil, Command{Customer: "c", Key: "k", Nonce: "n", To: Void}, 1)
		for i := range 5 * MaxVoidedAttempts {
			rec, _ = Next(&rec, Command{Customer: "c", Key: "k", Nonce: fmt.Sprint(i), To: Void}, 1)
		}
		So(len(rec.VoidedNonces), ShouldEqual, MaxVoidedAttempts)
	})
}
