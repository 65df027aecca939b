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
	// streamDeadline is the clients' deadline and the route's timeout. An answer that is not complete by then does not count.
	streamDeadline = 8 * time.Second
	// Requests arrive every arrivalGap.
	arrivalGap = 10 * time.Millisecond
)

// The case "silence" gives the machines at which clients arrive a SIGHUP and then sends as many requests as the servers have room for: streams
// that may be resumed, which run, and others that wait at the servers. With the disruption, one server is silent for a moment. All streams must
// come to their end.
func init() {
	cases["silence"] = testCase{opt: options{cores: 5, edges: 3, memoryMB: 134}, play: playSilence}
}

// silenceDocument has a second route, whose streams may not be resumed.
var silenceDocument = strings.NewReplacer(`"slots":48`, `"slots":6`, `"timeoutMs":4000`, `"timeoutMs":8000`, `"routes":[`,
	`"routes":[{"name":"r-reply","host":"ficu95.example","pathPrefix":"/reply/","kind":"streaming","timeoutMs":8000,"targetLatencyMs":300,`+
		`"priority":1,"service":"asistent","maxAttempts":1,"public":false,"sessionAffinity":true,"streamResumption":false,"gapTargetMs":200},`,
).Replace(streamDocument)

func playSilence(f *fleet, trouble bool) (breaks int, err error) {
	started := time.Now()
	if _, err := f.replace(silenceDocument); err != nil {
		return 0, err
	}
	const serverCount, slots, queue = 2, 6, 3
	for i := range serverCount {
		opt := serverOptions{
			id: fmt.Sprintf("i-%d", i), service: "asistent", zone: zones[i], slots: slots, queue: queue, events: streamEvents,
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
	send := func(n int, path string) {
		defer wg.Done()
		m := f.edges[n%len(f.edges)]
		r := f.stream(m, path, streamDeadline)
		f.rec.line("client: %s at %s: %v, %d events", path, m.name, r, events(r))
		mu.Lock()
		defer mu.Unlock()
		if (r.status == 0 || r.status == http.StatusOK && !r.complete) && r.took < streamDeadline {
			f.rec.line("BROKEN (LOST): the connection of request %s ended without a complete answer", r.id)
			breaks++
		}
	}
	for n := range serverCount * (slots + queue) {
		path := "/quote/2f"
		if n >= serverCount*slots {
			path = "/reply/2f"
		}
		wg.Add(1)
		go send(n, path)
		time.Sleep(arrivalGap)
	}
	time.Sleep(500 * time.Millisecond)
	if trouble {
		f.rec.line("server %s: is silent for %v and then goes on", f.servers[0].opt.id, silenceLength)
		f.servers[0].silence(silenceLength)
	}
	wg.Wait()
	return breaks, nil
}
