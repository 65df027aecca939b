package bench

import (
	"bytes"
	"fmt"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
)

// controlPackages are the packages that implement routing, limits, retries, membership, state and recovery.
var controlPackages = []string{
	"route", "sched", "cell", "broker", "quota", "retry", "memb", "spread",
	"ctrl", "claim", "repl", "store", "group", "quorum", "order", "engctl",
}

// PrintShares counts the lines of Go below root, without generated files, and prints the share of tests and the share of the
// control packages in the rest.
func PrintShares(w io.Writer, root string) error {
	var all, tests, control int
	err := filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || isGenerated(path) {
			return err
		}
		data, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		lines := bytes.Count(data, []byte("\n"))
		all += lines
		switch {
		case strings.HasSuffix(path, "_test.go"):
			tests += lines
		case isControl(path):
			control += lines
		}
		return nil
	})
	if err != nil {
		return err
	}
	nonTest := all - tests
	_, err = fmt.Fprintf(w,
		"tests: %d of %d lines of Go (%.0f%%)\nrouting, limits, retries, membership, state and recovery: %d of the other %d (%.0f%%)\n",
		tests, all, 100*float64(tests)/float64(all), control, nonTest, 100*float64(control)/float64(nonTest))
	return err
}

func isGenerated(path string) bool {
	return strings.HasSuffix(path, ".pb.go") || strings.HasSuffix(path, ".twirp.go")
}

func isControl(path string) bool {
	for _, name := range controlPackages {
		if strings.Contains(filepath.ToSlash(path), "internal/"+name+"/") {
			return true
		}
	}
	return false
}
