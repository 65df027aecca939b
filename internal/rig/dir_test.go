package rig

import (
	"os"
	"path/filepath"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// TestDataIsOnSlowDisk guards against tests that fail because other processes keep the disk busy, which instances wait for.
func TestDataIsOnSlowDisk(t *testing.T) {
	Convey("folders are in memory where there is space", t, func() {
		So(tempRoot(t.TempDir()), ShouldNotBeEmpty)
		So(tempRoot(filepath.Join(t.TempDir(), "missing")), ShouldBeEmpty)
		dir, err := TempDir()
		So(err, ShouldBeNil)
		defer func() { _ = os.RemoveAll(dir) }()
		if root := tempRoot(memoryDir); root != "" {
			So(filepath.Dir(dir), ShouldEqual, root)
		}
		So(os.WriteFile(filepath.Join(dir, "x"), nil, fileMode), ShouldBeNil)
	})
}
