package rig

import (
	"os"
	"path/filepath"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// TestDataIsOnSlowDisk guards against tests that fail because other processes keep the disk busy, which instances wait for.
func TestDataIsOnSlowDisk(t *testing.T) {
	create := func() string {
		dir, err := TempDir()
		So(err, ShouldBeNil)
		t.Cleanup(func() { _ = os.RemoveAll(dir) })
		So(os.WriteFile(filepath.Join(dir, "x"), nil, fileMode), ShouldBeNil)
		return filepath.Dir(dir)
	}
	Convey("data is in the folder that the environment names", t, func() {
		root := t.TempDir()
		t.Setenv(dataVariable, root)
		So(create(), ShouldEqual, root)
	})
	Convey("it is in the default folder if that one is missing, or none is named", t, func() {
		t.Setenv(dataVariable, filepath.Join(t.TempDir(), "missing"))
		So(create(), ShouldEqual, filepath.Clean(os.TempDir()))
		t.Setenv(dataVariable, "")
		So(create(), ShouldEqual, filepath.Clean(os.TempDir()))
	})
}
