// Command review-stand-2 starts a small deployment of the system with stand-ins around it and plays one case of the review.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
)

// Exit codes of a case.
const (
	held   = 0
	broken = 1
	notRun = 2
)

var (
	cases = map[string]func(rec *recorder, trouble bool) (int, error){
		"memory": runMemory, "versions": runVersions, "routes": runRoutes,
	}
	// running is the fleet that was started, or nil.
	running   *fleet
	runningMu sync.Mutex
)

func main() {
	if len(os.Args) != 3 {
		fmt.Println("usage: review-stand-2 CASE FOLDER")
		os.Exit(notRun)
	}
	run, ok := cases[os.Args[1]]
	rec, err := newRecorder(filepath.Join(os.Args[2], "record.txt"))
	if !ok || err != nil {
		fmt.Println("unknown case, or no record:", err)
		os.Exit(notRun)
	}
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	go func() {
		<-stop
		runningMu.Lock()
		defer runningMu.Unlock()
		if running != nil {
			running.close()
		}
		os.Exit(notRun)
	}()
	code, err := run(rec, os.Getenv("TROUBLE") != "0")
	if err != nil {
		rec.say("not run: %v", err)
	}
	os.Exit(code)
}
