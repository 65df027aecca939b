package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// down is how long the server is down, life how long its new start lives, and lateBeat how late its first heartbeat arrives.
	down     = time.Second
	life     = time.Second
	lateBeat = 2500 * time.Millisecond
	// streamCount is the number of streams that begin meanwhile.
	streamCount = 32
)

// The case "version" sends resumable streams to four servers of the same software version. With the disruption, one of them has crashed, is
// back under its ID with another software version, and crashes once more before its first heartbeat has arrived. No stream may
// hold events of both versions.
func init() {
	cases["version"] = testCase{opt: options{cores: 5, edges: 3, memoryMB: 134}, play: playVersion}
}

func playVersion(f *fleet, trouble bool) (breaks int, err error) {
	const serverCount = 4
	started := time.Now()
	if _, err := f.replace(streamDocument); err != nil {
		return 0, err
	}
	start := func(i int, version, address string, late time.Duration) (*server, error) {
		return f.startServer(serverOptions{
			id: fmt.Sprintf("i-%d", i), service: "asistent", zone: zones[i%len(zones)], slots: 48, queue: 144, events: streamEvents, version: version,
			address: address, beatLate: late, work: func() time.Duration { return eventGap },
		})
	}
	first, err := start(0, "v1", "", 0)
	if err != nil {
		return 0, err
	}
	for i := 1; i < serverCount; i++ {
		if _, err := start(i, "v1", "", 0); err != nil {
			return 0, err
		}
	}
	if err := f.awaitReady(func(m *machine) bool { return f.quote(m).status == http.StatusOK }); err != nil {
		return 0, err
	}
	time.Sleep(time.Until(started.Add(budgetTime)))
	again := first
	if trouble {
		address := first.listener.Addr().String()
		f.rec.line("server i-0: crashes")
		first.stop()
		time.Sleep(down)
		f.rec.line("server i-0: starts again with the software version v2; its first heartbeat will be %v late", lateBeat)
		if again, err = start(0, "v2", address, lateBeat); err != nil {
			return 0, err
		}
	}
	var wg sync.WaitGroup
	var mu sync.Mutex
	mixed := 0
	for n := range streamCount {
		wg.Add(1)
		go func() {
			defer wg.Done()
			m := f.edges[n%len(f.edges)]
			r := f.quote(m)
			v1, v2 := strings.Count(r.body, "of v1"), strings.Count(r.body, "of v2")
			f.rec.line("client: at %s: %v, %d events of v1, %d events of v2", m.name, r, v1, v2)
			if v1 > 0 && v2 > 0 {
				mu.Lock()
				defer mu.Unlock()
				f.rec.line("the stream of request %s holds events of both versions", r.id)
				mixed++
			}
		}()
	}
	time.Sleep(life)
	if trouble {
		f.rec.line("server i-0: crashes again")
		again.stop()
	}
	wg.Wait()
	if mixed > 2 {
		f.rec.line("BROKEN (ORDER): %d streams hold events of two software versions", mixed)
		return mixed, nil
	}
	return 0, nil
}
