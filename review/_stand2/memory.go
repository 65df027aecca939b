package main

import (
	"bytes"
	"fmt"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// edgeMemoryMB is the memory of an edge machine, streamsPerS the streams that clients begin at each.
	edgeMemoryMB = 134
	streamsPerS  = 16
	promptBytes  = 17000
	streamLimit  = 8000
	// soundPerS is the number of calls of the sound service at each edge machine, soundWork the time that one takes.
	soundPerS = 12
	soundWork = 220 * time.Millisecond
	// An engine in trouble writes endlessFirst bytes without a line end within a second, and then endlessSlow bytes every endlessPause.
	endlessFirst = 1_000_000
	endlessSlow  = 100
	endlessPause = 100 * time.Millisecond
	calmFor      = 3 * time.Second
	troubleFor   = 20 * time.Second
	// restartAfter is the delay after which the platform starts a process again.
	restartAfter = 300 * time.Millisecond
	// lostAllowed is the number of requests that the rule LOST lets a machine lose.
	lostAllowed = 3
)

// runMemory has all engines of one service answer streams with bytes that are no event, without end, while another service is sound. The
// platform ends a process that uses more than the memory of its machine.
func runMemory(rec *recorder, trouble bool) (int, error) {
	f, err := newFleet(3, 2, edgeMemoryMB)
	if err != nil {
		return notRun, err
	}
	defer f.close()
	if err := f.startAll(); err != nil {
		return notRun, err
	}
	var inTrouble atomic.Bool
	endless := func(w http.ResponseWriter, r *http.Request) bool {
		if !inTrouble.Load() {
			return false
		}
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = fmt.Fprint(w, "id: 0\ndata: ")
		piece := bytes.Repeat([]byte("x"), endlessFirst/10)
		for n := 0; ; n++ {
			if n == 10 {
				piece = piece[:endlessSlow]
			}
			if _, err := w.Write(piece); err != nil || http.NewResponseController(w).Flush() != nil {
				return true
			}
			select {
			case <-r.Context().Done():
				return true
			case <-time.After(endlessPause):
			}
		}
	}
	var sound []*server
	for i := range 9 {
		s := &server{
			id: fmt.Sprintf("i-engine-%d", i), service: "asistent", zone: "zone-a", version: "v1", slots: 48, engine: true, events: 20,
			pause: 80 * time.Millisecond, registries: f.registries(), rec: rec,
		}
		if i < 6 {
			s.answer = endless
		} else {
			s.service, s.engine, s.slots, s.work = "kancelar", false, 6, soundWork
			sound = append(sound, s)
		}
		if err := s.start(f.edges[0].ip + ":0"); err != nil {
			return notRun, err
		}
		defer s.end()
	}
	err = f.configure(configuration(1, []map[string]any{
		route("r-a", "/a/", "streaming", "asistent", streamLimit, 2000, map[string]any{"gapTargetMs": 800, "maxAttempts": 1}),
		route("r-b", "/b/", "non_idempotent", "kancelar", 3000, 300, nil),
	}, []map[string]any{engineService("asistent"), plainService("kancelar")}))
	if err != nil {
		return notRun, err
	}
	for _, path := range []string{"/a/x", "/b/x"} {
		if err := f.awaitServing(http.MethodPost, path); err != nil {
			return notRun, err
		}
	}

	var wg sync.WaitGroup
	var ended, served atomic.Int64
	lost := make([]atomic.Int64, len(f.edges))
	over := make(chan struct{})
	platform := make(chan struct{})
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
				if used > edgeMemoryMB {
					rec.say("%s uses %.0f MB of %d: the platform ends it", m.name, used, edgeMemoryMB)
					ended.Add(1)
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
	prompt := bytes.Repeat([]byte("b"), promptBytes)
	// Clients of each service keep connections of their own.
	clients := map[bool]*http.Client{}
	for _, isSound := range []bool{false, true} {
		clients[isSound] = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 300}}
	}
	send := func(i int, path string, isSound bool) {
		m := f.edges[i]
		r := f.newRequest(m, http.MethodPost, path, streamLimit, prompt)
		r.Header.Set("Token-Counts", "4250,120")
		id, kept := r.Header.Get("Attempt-Id"), false
		r = r.WithContext(httptrace.WithClientTrace(r.Context(), &httptrace.ClientTrace{
			GotConn: func(info httptrace.GotConnInfo) { kept = info.Reused },
		}))
		status, _, body, whole, err := ask(clients[isSound], r)
		ran := false
		for _, s := range sound {
			ran = ran || s.ran(id) > 0
		}
		rec.line("client %s at %s %s: status %d, %d bytes, whole %v, kept connection %v, ran at a sound server %v, %v", id, m.name, path, status,
			len(body), whole, kept, ran, err)
		switch {
		case !isSound:
		case status == http.StatusOK && whole:
			served.Add(1)
		case kept && ran && status == 0:
			lost[i].Add(1)
		}
	}
	generate := func(perS int, path string, isSound bool) {
		for i := range f.edges {
			wg.Go(func() {
				ticker := time.NewTicker(time.Second / time.Duration(perS))
				defer ticker.Stop()
				for {
					select {
					case <-over:
						return
					case <-ticker.C:
						wg.Go(func() { send(i, path, isSound) })
					}
				}
			})
		}
	}
	generate(streamsPerS, "/a/x", false)
	generate(soundPerS, "/b/x", true)
	time.Sleep(calmFor)
	inTrouble.Store(trouble)
	rec.line("engines of asistent in trouble: %v", trouble)
	time.Sleep(troubleFor)
	inTrouble.Store(false)
	close(over)
	<-platform
	wg.Wait()
	most := int64(0)
	for i := range lost {
		most = max(most, lost[i].Load())
	}
	rec.say("peaks %.0f MB of %d; processes ended for their memory: %d; calls of the sound service: %d answered; a machine lost %d (the rule allows %d)",
		peaks, edgeMemoryMB, ended.Load(), served.Load(), most, lostAllowed)
	switch {
	case ended.Load() > 0 && most > lostAllowed:
		return broken, nil
	case served.Load() < 50:
		return notRun, nil
	}
	return held, nil
}
