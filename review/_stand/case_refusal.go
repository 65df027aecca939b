package main

import (
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// bookers is the number of clients that book, one visit after the other. The server has room for 30 requests.
	bookers = 34
	// repeatedShare is the share of its answers that the faulty server sends once more, late.
	repeatedShare = 0.03
	// The server is faulty for faultyFor, again and again with pauses of soundFor.
	faultyFor, soundFor = 5 * time.Second, time.Second
	faultyTimes         = 13
)

// The case "refusal" lets a few more clients book than the server has room for, so that some requests are rejected as not run and sent again.
// With the disruption, this server, one of three, sends some of its answers a second time, late. No booking may run twice, and none may
// run that is answered as not run.
func init() {
	cases["refusal"] = testCase{opt: options{cores: 5, edges: 3, memoryMB: 134}, play: playRefusal}
}

const refusalDocument = `{"version":7,"routes":[{"name":"r-book","host":"ficu95.example","pathPrefix":"/book/","kind":"non_idempotent",` +
	`"timeoutMs":800,"targetLatencyMs":150,"priority":2,"service":"kancelar","maxAttempts":1,"public":false},` +
	`{"name":"r-quote","host":"ficu95.example","pathPrefix":"/quote/","kind":"streaming","timeoutMs":4000,"targetLatencyMs":600,` +
	`"priority":1,"service":"asistent","maxAttempts":2,"public":false,"sessionAffinity":true,"streamResumption":true,"gapTargetMs":300}],` +
	`"services":[{"name":"kancelar","healthPath":"/health","connectionLimit":110,"protocol":"h1","tls":false},` +
	engineService + `],` + configLimits + `,"tenants":[{"name":"hule930","apiKeys":["n2ctnfzs989anu6wsjnb"],"priority":1}]}`

func playRefusal(f *fleet, trouble bool) (breaks int, err error) {
	const key = "n2ctnfzs989anu6wsjnb"
	if _, err := f.replace(refusalDocument); err != nil {
		return 0, err
	}
	var faulty atomic.Bool
	options := []serverOptions{
		{
			id: "i-a", service: "kancelar", zone: zones[0], slots: 6, queue: 24,
			work:    func() time.Duration { return time.Duration(15+rand.IntN(30)) * time.Millisecond },
			repeats: func() bool { return faulty.Load() && rand.Float64() < repeatedShare },
		},
		{id: "i-b", service: "asistent", zone: zones[1], slots: 48, queue: 144, events: streamEvents, work: func() time.Duration { return eventGap }},
		{id: "i-c", service: "asistent", zone: zones[2], slots: 48, queue: 144, events: streamEvents, work: func() time.Duration { return eventGap }},
	}
	for _, opt := range options {
		if _, err := f.startServer(opt); err != nil {
			return 0, err
		}
	}
	booking := call{method: http.MethodPost, path: "/book/2f", key: key, body: []byte("a visit"), deadline: 1500 * time.Millisecond}
	if err := f.awaitReady(func(m *machine) bool { return once(f.frontOf(m), booking).status == http.StatusOK }); err != nil {
		return 0, err
	}
	var mu sync.Mutex
	var results []result
	var wg sync.WaitGroup
	var stop atomic.Bool
	for n := range bookers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for !stop.Load() {
				r := once(f.frontOf(f.edges[n%len(f.edges)]), booking)
				f.rec.line("client: booking: %v", r)
				mu.Lock()
				results = append(results, r)
				mu.Unlock()
				if r.status != http.StatusOK {
					time.Sleep(50 * time.Millisecond)
				}
			}
		}()
	}
	for range faultyTimes {
		time.Sleep(soundFor)
		faulty.Store(trouble)
		time.Sleep(faultyFor)
		faulty.Store(false)
	}
	stop.Store(true)
	wg.Wait()
	time.Sleep(time.Second)
	total := f.totalRuns()
	answered := map[int]int{}
	for _, r := range results {
		answered[r.status]++
		runs := total[r.id]
		if runs > 1 {
			f.rec.line("BROKEN (TWICE): request %s, which may run once, ran %d times; answered with %d", r.id, runs, r.status)
			breaks++
		}
		if runs > 0 && (r.status == http.StatusServiceUnavailable || r.status == http.StatusTooManyRequests) {
			f.rec.line("BROKEN (REFUSED): request %s ran %d times and is answered with %d", r.id, runs, r.status)
			breaks++
		}
	}
	f.rec.line("bookings by the status of their answer: %v", answered)
	return breaks, nil
}
