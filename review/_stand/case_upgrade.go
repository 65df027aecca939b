package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// upgradeDown is how long the server is down, returnAfter the time after which clients whose stream was broken off come back.
	upgradeDown = 500 * time.Millisecond
	returnAfter = 1500 * time.Millisecond
	// upgradeStreams is the number of streams that run on four servers of the same software version.
	upgradeStreams = 80
)

// The case "upgrade" sends streams to servers of one software version, one of which crashes and is back under its ID, with the disruption
// with another software version. Clients whose streams were broken off take them up some seconds later. These streams must go on about as
// often as new ones begin.
func init() {
	cases["upgrade"] = testCase{opt: options{cores: 5, edges: 3, memoryMB: 134}, play: playUpgrade}
}

func playUpgrade(f *fleet, trouble bool) (breaks int, err error) {
	const serverCount = 4
	if _, err := f.replace(strings.ReplaceAll(takeupDocument, `"maxAttempts":2`, `"maxAttempts":1`)); err != nil {
		return 0, err
	}
	start := func(i int, version, address string) (*server, error) {
		return f.startServer(serverOptions{
			id: fmt.Sprintf("i-%d", i), service: "asistent", zone: zones[i%len(zones)], slots: 48, queue: 144, events: longEvents, version: version,
			address: address, work: func() time.Duration { return eventGap },
		})
	}
	for i := range serverCount {
		if _, err := start(i, "v1", ""); err != nil {
			return 0, err
		}
	}
	chat := f.chat
	if err := f.awaitReady(func(m *machine) bool { return chat(m, 300*time.Millisecond).status == http.StatusOK }); err != nil {
		return 0, err
	}
	var wg sync.WaitGroup
	var mu sync.Mutex
	takenUp, wentOn, asked, begun := 0, 0, 0, 0
	for n := range upgradeStreams {
		wg.Add(1)
		go func() {
			defer wg.Done()
			start, m := time.Now(), f.edges[n%len(f.edges)]
			r := chat(m, 12*time.Second)
			f.rec.line("client: at %s: %v, %d events", m.name, r, events(r))
			if events(r) == longEvents {
				return
			}
			first, got, goesOn := r.id, events(r), false
			time.Sleep(returnAfter)
			for try := 0; try < 3 && !goesOn; try++ {
				r = chat(m, 12*time.Second-time.Since(start), "Resumes: "+first, fmt.Sprintf("Last-Event-Id: %d", got))
				f.rec.line("client: takes %s up behind event %d at %s: %v, %d events, %q", first, got, m.name, r, events(r), oneLine(r))
				goesOn = events(r) > 0
				if !goesOn {
					time.Sleep(400 * time.Millisecond)
				}
			}
			fresh := chat(m, time.Second)
			f.rec.line("client: new stream at %s: %v, %d events", m.name, fresh, events(fresh))
			mu.Lock()
			defer mu.Unlock()
			takenUp, asked = takenUp+1, asked+1
			if goesOn {
				wentOn++
			}
			if events(fresh) > 0 {
				begun++
			}
		}()
	}
	time.Sleep(time.Second)
	crashing := 0
	for i, s := range f.servers {
		if s.inside.Load() > f.servers[crashing].inside.Load() {
			crashing = i
		}
	}
	f.rec.line("server i-%d: crashes, while %d streams run there", crashing, f.servers[crashing].inside.Load())
	address := f.servers[crashing].listener.Addr().String()
	f.servers[crashing].stop()
	time.Sleep(upgradeDown)
	version := "v1"
	if trouble {
		version = "v2"
	}
	f.rec.line("server i-%d: starts again with the software version %s", crashing, version)
	if _, err := start(crashing, version, address); err != nil {
		return 0, err
	}
	wg.Wait()
	f.rec.line("%d of %d streams that were taken up went on; %d of %d new streams began", wentOn, takenUp, begun, asked)
	if takenUp < 12 {
		return 0, fmt.Errorf("only %d streams were taken up", takenUp)
	}
	if 2*wentOn < begun {
		f.rec.line("BROKEN (LOST): streams that are taken up go on less than half as often as new ones begin")
		breaks = begun - wentOn
	}
	return breaks, nil
}
