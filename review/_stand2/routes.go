package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// smallEdgeMB is the memory of an edge machine, routesEach the number of routes of a configuration, changes that of the changes, which
	// begin at least changeGap apart, for changeFor at most.
	smallEdgeMB = 112
	routesEach  = 1428
	changes     = 450
	changeGap   = 60 * time.Millisecond
	changeFor   = 75 * time.Second
	// Clients begin bookingsPerS calls, which take bookingWork, and promptsPerS streams, whose first event comes after promptWork, at
	// each edge machine.
	bookingsPerS = 12
	bookingWork  = 220 * time.Millisecond
	promptsPerS  = 6
	promptWork   = 800 * time.Millisecond
)

// manyRoutes returns a configuration with two routes that stay and routesEach others. With renewed set, these are other routes in each
// version; else they only get another time-out.
func manyRoutes(version int, renewed bool) ([]byte, error) {
	routes := []map[string]any{
		route("r-b", "/b/", "non_idempotent", "kancelar", 3000, 300, nil),
		route("r-a", "/a/", "streaming", "asistent", 8000, 2000, map[string]any{"gapTargetMs": 800, "maxAttempts": 1}),
	}
	for i := range routesEach {
		prefix, timeout := fmt.Sprintf("/lohu%d/", i), 1500+version
		if renewed {
			prefix, timeout = fmt.Sprintf("/lohu%d/%d/", i, version), 1500
		}
		routes = append(routes, route(fmt.Sprintf("r-%d", i), prefix, "idempotent", "kancelar", timeout, 150, nil))
	}
	return json.Marshal(configuration(version, routes, []map[string]any{plainService("kancelar"), engineService("asistent")}))
}

// runRoutes has an operator replace many routes by others in each of some hundred changes. The platform ends a process that uses more than
// the memory of its machine.
func runRoutes(rec *recorder, trouble bool) (int, error) {
	f, err := newFleet(3, 2, smallEdgeMB)
	if err != nil {
		return notRun, err
	}
	defer f.close()
	if err := f.startAll(); err != nil {
		return notRun, err
	}
	var servers []*server
	for i := range 5 {
		s := &server{
			id: fmt.Sprintf("i-server-%d", i), service: "kancelar", zone: "zone-a", version: "v1", slots: 6, work: bookingWork,
			registries: f.registries(), rec: rec,
		}
		if i > 2 {
			s.service, s.engine, s.slots, s.events, s.pause = "asistent", true, 48, 20, 20*time.Millisecond
			s.answer = func(_ http.ResponseWriter, r *http.Request) bool {
				select {
				case <-time.After(promptWork):
				case <-r.Context().Done():
				}
				return false
			}
		}
		if err := s.start(f.edges[0].ip + ":0"); err != nil {
			return notRun, err
		}
		defer s.end()
		servers = append(servers, s)
	}
	body, err := manyRoutes(1, trouble)
	if err != nil {
		return notRun, err
	}
	if status, answer, err := f.operate(http.MethodPost, "/v1/configuration/replace", body); err != nil || status != http.StatusOK {
		return notRun, fmt.Errorf("first configuration: status %d, %s, %w", status, answer, err)
	}
	for _, path := range []string{"/a/x", "/b/x"} {
		if err := f.awaitServing(http.MethodPost, path); err != nil {
			return notRun, err
		}
	}

	var wg sync.WaitGroup
	var ended, served atomic.Int64
	lost, endedAt := make([]atomic.Int64, len(f.edges)), make([]atomic.Int64, len(f.edges))
	over, platform := make(chan struct{}), make(chan struct{})
	peaks := make([]float64, len(f.edges))
	go func() {
		defer close(platform)
		for n := 0; ; n++ {
			for i, m := range f.edges {
				used := memoryMB(m.cmd.Process.Pid, "VmRSS")
				peaks[i] = max(peaks[i], used)
				if n%50 == 0 {
					rec.line("%s uses %.0f MB", m.name, used)
				}
				if used > smallEdgeMB {
					rec.say("%s uses %.0f MB of %d: the platform ends it", m.name, used, smallEdgeMB)
					ended.Add(1)
					endedAt[i].Add(1)
					_ = m.cmd.Process.Kill()
					<-m.exited
					time.Sleep(restartAfter)
					if err := f.start(m); err != nil {
						rec.say("%s not started again: %v", m.name, err)
					}
				}
			}
			select {
			case <-over:
				return
			case <-time.After(20 * time.Millisecond):
			}
		}
	}()
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 300}}
	send := func(i int, path string) {
		m := f.edges[i]
		r := f.newRequest(m, http.MethodPost, path, 3000, []byte("booking"))
		id, kept := r.Header.Get("Attempt-Id"), false
		r = r.WithContext(httptrace.WithClientTrace(r.Context(), &httptrace.ClientTrace{
			GotConn: func(info httptrace.GotConnInfo) { kept = info.Reused },
		}))
		status, _, body, whole, err := ask(client, r)
		ran := false
		for _, s := range servers {
			ran = ran || s.ran(id) > 0
		}
		rec.line("client %s at %s %s: status %d, %d bytes, whole %v, kept connection %v, ran %v, %v", id, m.name, path, status, len(body), whole,
			kept, ran, err)
		switch {
		case status == http.StatusOK && whole:
			served.Add(1)
		case kept && ran && status == 0:
			lost[i].Add(1)
		}
	}
	for i := range f.edges {
		for path, perS := range map[string]int{"/b/x": bookingsPerS, "/a/x": promptsPerS} {
			wg.Go(func() {
				ticker := time.NewTicker(time.Second / time.Duration(perS))
				defer ticker.Stop()
				for {
					select {
					case <-over:
						return
					case <-ticker.C:
						wg.Go(func() { send(i, path) })
					}
				}
			})
		}
	}
	time.Sleep(2 * time.Second)
	begin, acknowledged := time.Now(), 0
	for version := 2; version < 2+changes && time.Since(begin) < changeFor && (endedAt[0].Load() == 0 || endedAt[1].Load() == 0); version++ {
		next := time.After(changeGap)
		if body, err = manyRoutes(version, trouble); err != nil {
			return notRun, err
		}
		status, answer, err := f.operate(http.MethodPost, "/v1/configuration/replace", body)
		rec.line("operator: version %d, %d bytes: status %d %s %v", version, len(body), status, answer, err)
		if err == nil && status == http.StatusOK {
			acknowledged++
		}
		<-next
	}
	rec.say("%d changes acknowledged in %s", acknowledged, time.Since(begin).Round(time.Second))
	time.Sleep(2 * time.Second)
	close(over)
	<-platform
	wg.Wait()
	most := int64(0)
	for i := range lost {
		most = max(most, lost[i].Load())
	}
	rec.say("peaks %.0f MB of %d; processes ended for their memory: %d; %d requests answered; a machine lost %d (the rule allows %d)",
		peaks, smallEdgeMB, ended.Load(), served.Load(), most, lostAllowed)
	switch {
	case ended.Load() > 0 && most > lostAllowed:
		return broken, nil
	case served.Load() < 50 || acknowledged < 100:
		return notRun, nil
	}
	return held, nil
}
