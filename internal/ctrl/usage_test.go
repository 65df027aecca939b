package ctrl

import (
	"testing"

	"github.com/fxamacker/cbor/v2"
	. "github.com/smartystreets/goconvey/convey"
)

// TestUsageChangesAfterItWasFixed guards against two reports of one window with different counts, also by a later leader that starts from
// a snapshot.
func TestUsageChangesAfterItWasFixed(t *testing.T) {
	fix := func(m *Machine, cmd FixUsage) Code {
		data, err := cbor.Marshal(Command{FixUsage: &cmd})
		So(err, ShouldBeNil)
		result, _ := m.Apply(1, data).(Result)
		return result.Code
	}
	Convey("the first counts of a window stay", t, func() {
		m := NewMachine()
		version := versionOf(m)
		So(fix(m, FixUsage{Window: 7, Counts: map[string]int{"a": 2}}), ShouldEqual, OK)
		So(fix(m, FixUsage{Window: 7, Counts: map[string]int{"a": 3}}), ShouldEqual, Conflict)
		So(fix(m, FixUsage{Window: 6, Counts: map[string]int{"a": 3}}), ShouldEqual, Conflict)
		So(fix(m, FixUsage{Window: 9}), ShouldEqual, OK)
		snapshot, err := m.Snapshot()
		So(err, ShouldBeNil)
		restored := NewMachine()
		So(restored.Restore(snapshot), ShouldBeNil)
		latest, unreported := restored.UnreportedUsage()
		So(latest, ShouldEqual, 9)
		So(unreported, ShouldResemble, map[int64]map[string]int{7: {"a": 2}, 9: {}})
		So(versionOf(m), ShouldEqual, version)
	})
	Convey("acknowledged windows are not listed, and old ones are dropped", t, func() {
		m := NewMachine()
		So(fix(m, FixUsage{Window: 7, Counts: map[string]int{"a": 2}}), ShouldEqual, OK)
		So(fix(m, FixUsage{Window: 8, Done: []int64{7, 3}}), ShouldEqual, OK)
		_, unreported := m.UnreportedUsage()
		So(unreported, ShouldResemble, map[int64]map[string]int{8: {}})
		for window := int64(9); window < 200; window++ {
			So(fix(m, FixUsage{Window: window}), ShouldEqual, OK)
		}
		So(m.state.Usage.Windows, ShouldHaveLength, keptUsageWindows)
	})
	Convey("a command without window or with a negative count is invalid", t, func() {
		So((&Command{FixUsage: &FixUsage{}}).Check(), ShouldNotBeNil)
		So((&Command{FixUsage: &FixUsage{Window: 1, Counts: map[string]int{"a": -1}}}).Check(), ShouldNotBeNil)
	})
	Convey("a snapshot without usage is as it was before there was usage", t, func() {
		data, err := NewMachine().Snapshot()
		So(err, ShouldBeNil)
		var fields map[string]any
		So(cbor.Unmarshal(data, &fields), ShouldBeNil)
		So(fields, ShouldNotContainKey, "usage")
	})
}
