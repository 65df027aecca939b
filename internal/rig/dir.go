package rig

import (
	"os"
	"syscall"

	"github.com/greengagewheel/greengagewheel/internal/fault"
)

const (
	// dataVariable is the environment variable that names the folder for the data of rigs.
	dataVariable = "GREENGAGEWHEEL_TEST_DATA"
	// minFreeBytes is the space that the data of some rigs may need, in bytes.
	minFreeBytes = 32 << 20
)

// TempDir creates a folder for the settings and data of instances, which the caller removes. It is in the folder that the environment
// variable GREENGAGEWHEEL_TEST_DATA names, if that has space; the test command names one in memory. Instances wait until the disk has synced
// what they acknowledge, for many seconds if other processes write much.
func TempDir() (string, error) {
	dir, err := os.MkdirTemp(tempRoot(os.Getenv(dataVariable)), "rig")
	return dir, fault.Wrap("create folder", "rig", err)
}

// tempRoot returns a folder if it has enough space, or the empty string for the default one.
func tempRoot(dir string) string {
	var stat syscall.Statfs_t
	if err := syscall.Statfs(dir, &stat); err != nil || stat.Bavail*uint64(stat.Bsize) < minFreeBytes {
		return ""
	}
	return dir
}
