package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// silenceLength is how long one server sends nothing, after which it goes on.
	silenceLength = 1400 * time.Millisecond
)

// The case "silence" gives the machines at which clients arrive a SIGHUP and then sends as many streams as the servers have room for. With the
// disruption, one server is silent for a moment. All streams must come to their end.
func init() {
	cases["silence"] = testCase{opt: options{cores: 5, edges: 3, memoryMB: 134}, play: playSilence}
}

func playSilence(f *fleet, trouble bool) (breaks int, err error) {
	started := time.Now()
	if _, err := f.replace(strings.Replace(streamDocument, `"slots":48`, `"slots":6`, 1)); err != nil {
		return 0, err
	}
	const serverCount, slots = 2, 6
	for i := range serverCount {
		opt := serverOptions{
			id: fmt.Sprintf("i-%d", i), service: "asistent", zone: zones[i], slots: slots, events: streamEvents,
			work: func() time.Duration { return eventGap },
		}
		if _, err := f.startServer(opt); err != nil {
			return 0, err
		}
	}
	if err := f.awaitReady(func(m *machine) bool { return f.quote(m).status == http.StatusOK }); err != nil {
		return 0, err
	}
	time.Sleep(time.Until(started.Add(budgetTime)))
	for _, m := range f.edges {
		m.signal(syscall.SIGHUP)
		f.rec.line("platform: SIGHUP to %s", m.name)
	}
	var wg sync.WaitGroup
	var mu sync.Mutex
	for n := range serverCount * slots {
		wg.Add(1)
		go func() {
			defer wg.Done()
			m := f.edges[n%len(f.edges)]
			f.rec.line("client: sends a request to %s", m.name)
			r := f.quote(m)
			f.rec.line("client: at %s: %v, %d events", m.name, r, strings.Count(r.body, "data:"))
			mu.Lock()
			defer mu.Unlock()
			if r.status == 0 || r.status == http.StatusOK && !r.complete {
				f.rec.line("BROKEN (LOST): the connection of request %s ended without a complete answer", r.id)
				breaks++
			}
		}()
		time.Sleep(5 * time.Millisecond)
	}
	time.Sleep(500 * time.Millisecond)
	if trouble {
		f.rec.line("server %s: is silent for %v and then goes on", f.servers[0].opt.id, silenceLength)
		f.servers[0].silence(silenceLength)
	}
	wg.Wait()
	return breaks, nil
}
