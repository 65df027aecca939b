// Command review-stand-2 starts a small deployment of the system with stand-ins around it and plays one case of the review.
package main

import (
	"fmt"
	"os"
	"path/filepath"
)

var cases = map[string]func(rec *recorder, trouble bool) (int, error){
	"memory": runMemory, "versions": runVersions, "lostconfig": runLostConfig,
}

func main() {
	if len(os.Args) != 3 {
		fmt.Println("usage: review-stand-2 CASE FOLDER")
		os.Exit(2)
	}
	run, ok := cases[os.Args[1]]
	rec, err := newRecorder(filepath.Join(os.Args[2], "record.txt"))
	if !ok || err != nil {
		fmt.Println("unknown case, or no record:", err)
		os.Exit(2)
	}
	code, err := run(rec, os.Getenv("TROUBLE") != "0")
	if err != nil {
		rec.say("not run: %v", err)
	}
	os.Exit(code)
}
