package notice

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/greengagewheel/greengagewheel/internal/roster"
)

// TestLeavingEndpointIsForgotten guards against an endpoint that is leaving and gets requests again, and against a later start of it
// that gets none.
func TestLeavingEndpointIsForgotten(t *testing.T) {
	now := time.Unix(1000, 0)
	at := func(startedAtMS int64) map[string]roster.Endpoint {
		return map[string]roster.Endpoint{"e": {ID: "e", StartedAtMS: startedAtMS}, "f": {ID: "f", StartedAtMS: 1}}
	}
	none := map[string]roster.Endpoint{}
	Convey("An endpoint that is leaving stays so until a later start", t, func() {
		b := New()
		So(b.Unwilling(at(1)), ShouldBeEmpty)
		So(b.MarkLeaving(now, Start{"e", 1}), ShouldBeTrue)
		So(b.MarkLeaving(now, Start{"e", 1}), ShouldBeFalse)
		So(b.Unwilling(at(1)), ShouldResemble, []string{"e"})
		So(b.Unwilling(at(2)), ShouldBeEmpty)
		So(b.Unwilling(none), ShouldBeEmpty)
	})
	Convey("It is kept while it is in the configuration and for a time after", t, func() {
		b := New()
		b.MarkLeaving(now, Start{"e", 1})
		now = now.Add(2 * retention)
		b.Prune(now, at(1))
		So(b.Unwilling(at(1)), ShouldResemble, []string{"e"})
		now = now.Add(retention / 2)
		b.Prune(now, none)
		So(b.Unwilling(at(1)), ShouldResemble, []string{"e"})
		now = now.Add(retention)
		b.Prune(now, none)
		So(b.Unwilling(at(1)), ShouldBeEmpty)
	})
}
