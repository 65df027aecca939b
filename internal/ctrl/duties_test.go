package ctrl

import (
	"fmt"
	"testing"

	"github.com/fxamacker/cbor/v2"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/greengagewheel/greengagewheel/internal/duty"
)

// applyDuty applies a command that takes a duty.
func applyDuty(m *Machine, index uint64, subject, holder string) Result {
	cmd := Command{TakeDuty: &TakeDuty{Duty: duty.Autoscaling, Subject: subject, Holder: holder, Boot: holder + "-1"}}
	So(cmd.Check(), ShouldBeNil)
	data, err := cbor.Marshal(cmd)
	So(err, ShouldBeNil)
	res, ok := m.Apply(index, data).(Result)
	So(ok, ShouldBeTrue)
	return res
}

// TestTakeDuty guards against fencing tokens that do not grow, and against replicas whose state depends on which build they run.
func TestTakeDuty(t *testing.T) {
	Convey("the token is the index of the log entry, and the previous holder is told", t, func() {
		m := NewMachine()
		So(applyDuty(m, 7, "s/z", "a"), ShouldResemble, Result{Code: OK, Fence: 7})
		res := applyDuty(m, 9, "s/z", "b")
		So(res.Fence, ShouldEqual, 9)
		So(res.Holder, ShouldResemble, Instance{Name: "a", Boot: "a-1"})
		So(versionOf(m), ShouldEqual, 0)
	})
	Convey("tokens grow although a replica that does not know duties has dropped the holders from a snapshot", t, func() {
		m, older := NewMachine(), NewMachine()
		applyDuty(m, 7, "", "a")
		data, err := older.Snapshot()
		So(err, ShouldBeNil)
		So(m.Restore(data), ShouldBeNil)
		res := applyDuty(m, 8, "", "b")
		So(res.Fence, ShouldEqual, 8)
		So(res.Holder.Name, ShouldBeEmpty)
	})
	Convey("a snapshot holds the last holders", t, func() {
		m, restored := NewMachine(), NewMachine()
		applyDuty(m, 7, "s/z", "a")
		data, err := m.Snapshot()
		So(err, ShouldBeNil)
		So(restored.Restore(data), ShouldBeNil)
		So(restored.Duties(), ShouldResemble, m.Duties())
		So(applyDuty(restored, 8, "s/z", "b").Holder.Name, ShouldEqual, "a")
	})
	Convey("the records are bounded, and the one taken longest ago goes first", t, func() {
		m := NewMachine()
		for i := range maxDutyRecords + 1 {
			m.state.takeDuty(uint64(i+1), TakeDuty{Duty: duty.Autoscaling, Subject: fmt.Sprint(i), Holder: "a", Boot: "a-1"})
		}
		So(m.state.Duties, ShouldHaveLength, maxDutyRecords)
		So(m.state.Duties, ShouldNotContainKey, string(duty.Autoscaling)+"\x000")
	})
	Convey("a command without duty or holder is refused", t, func() {
		So((&Command{TakeDuty: &TakeDuty{Duty: duty.Autoscaling, Boot: "x"}}).Check(), ShouldNotBeNil)
		So((&Command{TakeDuty: &TakeDuty{Holder: "a", Boot: "x"}}).Check(), ShouldNotBeNil)
	})
}
