package claim

import (
	"fmt"
	"os"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"github.com/greengagewheel/greengagewheel/internal/seed"
)

// TestMain fixes the seed of the random cases.
func TestMain(m *testing.M) {
	seed.Fix()
	os.Exit(m.Run())
}

// attempt is one holder's way with a claim: it may send only once its open was confirmed, and voids only while unsent.
type attempt struct {
	nonce  string
	print  string
	opened bool
	sent   bool
	told   string
	voided bool
}

// TestClaims lets attempts of one key act in random order, with confirmations lost and commands doubled and late.
func TestClaims(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var rec *Record
		var late []Cmd
		runs := 0
		attempts := make([]*attempt, rapid.IntRange(1, 5).Draw(rt, "attempts"))
		for i := range attempts {
			attempts[i] = &attempt{nonce: fmt.Sprint("n", i), print: "p"}
		}
		apply := func(c Cmd) (Record, bool) {
			next, ok := Next(rec, c, 1)
			if ok {
				rec = &next
			}
			return next, ok
		}
		for range rapid.IntRange(1, 60).Draw(rt, "steps") {
			a := attempts[rapid.IntRange(0, len(attempts)-1).Draw(rt, "who")]
			c := Cmd{Customer: "c", Key: "k", Nonce: a.nonce, Print: a.print}
			switch rapid.IntRange(0, 6).Draw(rt, "what") {
			case 0:
				if a.opened || a.told != "" {
					continue
				}
				c.To = Open
				got, ok := apply(c)
				if rapid.Bool().Draw(rt, "lost") {
					a.told = "no"
					continue
				}
				a.opened = ok && got.Nonce == a.nonce && got.State == Open
			case 1:
				if a.opened && !a.sent && a.told == "" {
					a.sent = true
					runs++
				}
			case 2:
				if a.told == "no" || a.opened && !a.sent {
					a.told = "no"
					c.To = Void
					apply(c)
					a.voided = true
				}
			case 3:
				if a.sent {
					c.To, c.Answer = Done, &Answer{Status: 200}
					apply(c)
					late = append(late, c)
				}
			case 4:
				c.To = Doubt
				apply(c)
			case 5:
				if len(late) > 0 {
					apply(late[rapid.IntRange(0, len(late)-1).Draw(rt, "late")])
				}
			case 6:
				if a.told != "no" {
					continue
				}
				c.To = Open
				if got, ok := apply(c); a.voided && ok && got.State == Open {
					rt.Fatalf("the late open of %s, which was voided, took the key", a.nonce)
				}
			}
			if runs > 1 {
				rt.Fatalf("the call ran %d times", runs)
			}
			for _, b := range attempts {
				if b.told == "no" && b.sent {
					rt.Fatalf("%s was told that it did not run, and ran", b.nonce)
				}
			}
		}
	})
}

func TestVoidedAttempts(t *testing.T) {
	Convey("A late open of a voided attempt does not take the key, also after another attempt was voided", t, func() {
		var rec *Record
		apply := func(nonce string, to State) bool {
			next, ok := Next(rec, Cmd{Customer: "c", Key: "k", Nonce: nonce, To: to, Print: "p"}, 1)
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
	Convey("The names of voided attempts that a claim keeps are bounded", t, func() {
		rec, _ := Next(nil, Cmd{Customer: "c", Key: "k", Nonce: "n", To: Void}, 1)
		for i := range 5 * MaxVoided {
			rec, _ = Next(&rec, Cmd{Customer: "c", Key: "k", Nonce: fmt.Sprint(i), To: Void}, 1)
		}
		So(len(rec.Voided), ShouldEqual, MaxVoided)
	})
}
