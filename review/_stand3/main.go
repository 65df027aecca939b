// Command stand3 plays the scripted cases of a review. It starts the system's own program as separate processes on loopback addresses,
// with servers, clients and an operator of its own, and writes what it saw to a record.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// Results of a case, which are its exit codes.
const (
	held = iota
	broken
	notRun
)

// errNotRun means that a case could not run.
var errNotRun = errors.New("the case could not run")

func main() {
	cases := map[string]func(rec *record, trouble bool) (bool, error){"replace": replaceCores, "bigconfig": bigConfig, "crowd": crowd, "silent": silentEngines, "takeups": takeUps}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand3 CASE RECORD")
		os.Exit(notRun)
	}
	rec, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(notRun)
	}
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-interrupted
		killStarted()
		os.Exit(notRun)
	}()
	trouble := os.Getenv("TROUBLE") != "0"
	rec.printf("case %s, with the disruption: %v", os.Args[1], trouble)
	isBroken, err := cases[os.Args[1]](rec, trouble)
	switch {
	case err != nil:
		rec.printf("not run: %v", err)
		os.Exit(notRun)
	case isBroken:
		rec.printf("the rule was broken")
		os.Exit(broken)
	}
	rec.printf("the rule held")
	os.Exit(held)
}
