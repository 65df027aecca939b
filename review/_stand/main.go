// Command review-stand starts the system with the commands of its deploy file, with stand-ins for clients, servers and the platform,
// and plays one case of the review.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	held   = 0
	broken = 1
	notRun = 2
)

// timeLimit ends a case that takes too long.
const timeLimit = 115 * time.Second

// testCase plays a case, with the disruption if trouble is set, and returns how often its rule was broken.
type testCase struct {
	opt  options
	play func(f *fleet, trouble bool) (breaks int, err error)
}

// cases holds the cases by their names; the file of each case adds it.
var cases = map[string]testCase{}

func main() {
	os.Exit(run())
}

func run() int {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: review-stand CASE FOLDER")
		return notRun
	}
	c, ok := cases[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "review-stand: unknown case", os.Args[1])
		return notRun
	}
	rec, err := newRecord(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, "review-stand:", err)
		return notRun
	}
	defer rec.close()
	f, err := newFleet(rec, c.opt)
	if f != nil {
		defer f.close()
	}
	if err != nil {
		return fail(rec, err)
	}
	type outcome struct {
		breaks int
		err    error
	}
	done := make(chan outcome, 1)
	trouble := os.Getenv("TROUBLE") != "0"
	rec.line("case %s, disruption: %v", os.Args[1], trouble)
	go func() {
		breaks, err := c.play(f, trouble)
		done <- outcome{breaks, err}
	}()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	select {
	case o := <-done:
		if o.err != nil {
			return fail(rec, o.err)
		}
		rec.line("the rule was broken %d times", o.breaks)
		fmt.Printf("%s: the rule was broken %d times\n", os.Args[1], o.breaks)
		if o.breaks > 0 {
			return broken
		}
		return held
	case <-signals:
		return fail(rec, fmt.Errorf("ended by a signal"))
	case <-time.After(timeLimit):
		return fail(rec, fmt.Errorf("not done after %v", timeLimit))
	}
}

func fail(rec *record, err error) int {
	rec.line("the case could not run: %v", err)
	fmt.Fprintln(os.Stderr, "review-stand: the case could not run:", err)
	return notRun
}
