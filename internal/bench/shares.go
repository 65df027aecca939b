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

// decisions are the packages of routing, limits, retries, membership, state and recovery.
var decisions = []string{
	"route", "sched", "cell", "broker", "quota", "retry", "memb", "spread", "ctrl", "claim", "repl", "store", "group", "quorum", "order", "engctl",
}

// Shares counts the lines of Go below a folder and prints the share of tests, and of decisions in the rest.
func Shares(w io.Writer, root string) error {
	var all, tests, decided int
	err := filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || generated(path) {
			return err
		}
		data, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		n := bytes.Count(data, []byte("\n"))
		all += n
		switch {
		case strings.HasSuffix(path, "_test.go"):
			tests += n
		case decides(path):
			decided += n
		}
		return nil
	})
	if err != nil {
		return err
	}
	rest := all - tests
	_, err = fmt.Fprintf(w, "tests: %d of %d lines of Go (%.0f%%)\nrouting, limits, retries, membership, state and recovery: %d of the other %d (%.0f%%)\n",
		tests, all, 100*float64(tests)/float64(all), decided, rest, 100*float64(decided)/float64(rest))
	return err
}

func generated(path string) bool {
	return strings.HasSuffix(path, ".pb.go") || strings.HasSuffix(path, ".twirp.go")
}

func decides(path string) bool {
	for _, d := range decisions {
		if strings.Contains(filepath.ToSlash(path), "internal/"+d+"/") {
			return true
		}
	}
	return false
}
