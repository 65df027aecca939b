package rig

import (
	"os"
	"syscall"

	"github.com/greengagewheel/greengagewheel/internal/fault"
)

const (
	// memoryDir is where Linux has a file system in memory.
	memoryDir = "/dev/shm"
	// minFreeBytes is the space that a rig's data may need, in bytes.
	minFreeBytes = 1 << 30
)

// TempDir creates a folder for the settings and data of instances, which the caller removes. It is in memory if there is a file system for
// that, as instances wait until the disk has synced what they acknowledge, for many seconds if other processes write much.
func TempDir() (string, error) {
	dir, err := os.MkdirTemp(tempRoot(memoryDir), "rig")
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
