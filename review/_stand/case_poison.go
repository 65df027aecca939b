package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	// poisonPart is the part of a prompt that crashes each server that begins to write an answer on it, backAfter the time after which the
	// server is back.
	poisonPart = "dead0001"
	backAfter  = 3 * time.Second
	// soundGap is the time between two sound requests, poisonGap that between two with the part.
	soundGap  = 250 * time.Millisecond
	poisonGap = 600 * time.Millisecond
	// Sound requests come for soundBefore, then none for pause, and none for poisonAlone, in which those with the part begin to come.
	soundBefore = 10 * time.Second
	pause       = 6 * time.Second
	poisonAlone = 4 * time.Second
	// settle is the time behind that in which sound requests do not count yet: over twice contactMs. They then count for soundAfter.
	settle     = 10 * time.Second
	soundAfter = 15 * time.Second
)

// The case "poison" sends requests of one caller whose prompts share their leading parts. With the disruption, some of them hold
// a part that crashes each server which begins to answer on it. Some time after the fifth crash, or the last if there are fewer, sound
// requests must begin at least half as often as before.
func init() {
	cases["poison"] = testCase{opt: options{cores: 5, edges: 9, memoryMB: 134}, play: playPoison}
}

func playPoison(f *fleet, trouble bool) (breaks int, err error) {
	if _, err := f.replace(streamDocument); err != nil {
		return 0, err
	}
	var mu sync.Mutex
	crashes := []time.Time{}
	var start func(i, life int, address string) error
	start = func(i, life int, address string) error {
		s, err := f.startServer(serverOptions{
			id: fmt.Sprintf("i-%d-%d", i, life), service: "asistent", zone: zones[i%len(zones)], slots: 48, queue: 144, events: streamEvents,
			address: address, work: func() time.Duration { return eventGap },
		})
		if err != nil {
			return err
		}
		s.opt.crashOn = poisonPart
		s.opt.onCrash = func() {
			mu.Lock()
			crashes = append(crashes, time.Now())
			mu.Unlock()
			time.Sleep(backAfter)
			if err := start(i, life+1, s.listener.Addr().String()); err != nil {
				f.rec.line("server i-%d: not back: %v", i, err)
			}
		}
		return nil
	}
	for i := range 6 {
		if err := start(i, 0, ""); err != nil {
			return 0, err
		}
	}
	ask := func(m *machine, parts string) result {
		return once(f.frontOf(m), call{
			method: http.MethodPost, path: "/quote/2f", key: "n2ctnfzs989anu6wsjnb", body: []byte(newID()), deadline: 4 * time.Second,
			header: []string{"Model-Name: m", "Token-Counts: 1460,150", "Prompt-Prefix: " + parts + fmt.Sprintf(",%x:10", 0x10000+lastAttempt.Load())},
		})
	}
	sound := func(m *machine) result { return ask(m, "5c1e07a2:800,91bd3f06:410,77aa0001:240") }
	try := call{method: http.MethodPost, path: "/quote/2f", key: "n2ctnfzs989anu6wsjnb", deadline: 300 * time.Millisecond, header: []string{"Model-Name: m"}}
	if err := f.awaitReady(func(m *machine) bool { return once(f.frontOf(m), try).status == http.StatusOK }); err != nil {
		return 0, err
	}
	begun, asked := [2]int{}, [2]int{}
	var wg sync.WaitGroup
	sendSound := func(phase int, length time.Duration) {
		for n, end := 0, time.Now().Add(length); time.Now().Before(end); n++ {
			wg.Add(1)
			go func() {
				defer wg.Done()
				m := f.edges[n%len(f.edges)]
				r := sound(m)
				f.rec.line("client: sound request at %s: %v, %d events %q", m.name, r, events(r), oneLine(r))
				mu.Lock()
				defer mu.Unlock()
				if phase >= 0 {
					asked[phase]++
					if events(r) > 0 {
						begun[phase]++
					}
				}
			}()
			time.Sleep(soundGap)
		}
	}
	sendSound(0, soundBefore)
	time.Sleep(pause)
	stop := make(chan struct{})
	wg.Add(1)
	go func() {
		defer wg.Done()
		for n := 0; trouble; n++ {
			select {
			case <-stop:
				return
			case <-time.After(poisonGap):
			}
			m := f.edges[(2*n)%len(f.edges)]
			r := ask(m, "5c1e07a2:800,91bd3f06:410,"+poisonPart+":240")
			f.rec.line("client: request with the part at %s: %v %q", m.name, r, oneLine(r))
		}
	}()
	time.Sleep(poisonAlone)
	sendSound(-1, settle)
	countFrom := time.Now()
	sendSound(1, soundAfter)
	close(stop)
	wg.Wait()
	f.rec.line("%d crashes; sound requests: %d of %d began before, %d of %d later", len(crashes), begun[0], asked[0], begun[1], asked[1])
	if n := len(crashes); n > 0 && countFrom.Sub(crashes[min(n, 5)-1]) < 6*time.Second {
		return 0, fmt.Errorf("the crash that counts was less than 6 s before")
	}
	if 2*begun[1]*asked[0] < begun[0]*asked[1] {
		f.rec.line("BROKEN (LOST): sound requests begin less than half as often")
		return 1, nil
	}
	return 0, nil
}
