package main

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	versionServers = 7
	versionEvents  = 40
	versionPause   = 50 * time.Millisecond
	// lateBeat is how late the heartbeats of the restarted server arrive, downAfter how long it runs before it goes down again.
	lateBeat  = 4 * time.Second
	downAfter = 3 * time.Second
	downFor   = 300 * time.Millisecond
	// Streams begin every quietGap at first, and every busyGap after quietFor.
	quietGap = time.Second
	busyGap  = 50 * time.Millisecond
	quietFor = 12 * time.Second
	// No stream runs when the server goes down first.
	pauseFor = 2500 * time.Millisecond
	// mixedAllowed is the number of streams that the rule ORDER lets hold events of two versions.
	mixedAllowed = 2
)

// runVersions restarts a server of a plain service under its ID and address, with the next version of its software, while its heartbeats
// arrive late; it then goes down once more. Streams that may be resumed run all the while.
func runVersions(rec *recorder, trouble bool) (int, error) {
	const name, slots = "kancelar", 6
	f, err := newFleet(3, 2, 134)
	if err != nil {
		return notRun, err
	}
	defer f.close()
	if err := f.startAll(); err != nil {
		return notRun, err
	}
	var servers []*server
	newServer := func(i int, version string) *server {
		s := &server{
			id: fmt.Sprintf("i-server-%d", i), service: name, zone: "zone-a", version: version, slots: slots, engine: true,
			events: versionEvents, pause: versionPause, registries: f.registries(), rec: rec,
		}
		return s
	}
	for i := range versionServers {
		s := newServer(i, "v1")
		if err := s.start(f.edges[0].ip + ":0"); err != nil {
			return notRun, err
		}
		servers = append(servers, s)
	}
	defer func() {
		for _, s := range servers {
			s.end()
		}
	}()
	cfg := configuration(1, []map[string]any{
		route("r-s", "/s/", "streaming", name, 8000, 2000, map[string]any{
			"gapTargetMs": 800, "maxAttempts": 3, "streamResumption": true, "sessionAffinity": false,
		}),
	}, []map[string]any{plainService(name)})
	if err := f.configure(cfg); err != nil {
		return notRun, err
	}
	if err := f.awaitServing(http.MethodPost, "/s/a"); err != nil {
		return notRun, err
	}

	var wg sync.WaitGroup
	var complete, mixed, failed atomic.Int64
	var gap atomic.Int64
	var paused atomic.Bool
	gap.Store(int64(quietGap))
	stop := make(chan struct{})
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 100}}
	defer client.CloseIdleConnections()
	wg.Go(func() {
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-time.After(time.Duration(gap.Load())):
			}
			if paused.Load() {
				continue
			}
			wg.Go(func() {
				r := f.newRequest(f.edges[n%len(f.edges)], http.MethodPost, "/s/a", 8000, []byte("prompt"))
				id := r.Header.Get("Attempt-Id")
				status, header, body, whole, err := ask(client, r)
				v1, v2 := strings.Count(body, " v1\n"), strings.Count(body, " v2\n")
				rec.line("client %s: status %d, signature %q, whole %v, %d events of v1, %d of v2, %v", id, status,
					header.Get("Server-Signature"), whole, v1, v2, err)
				switch {
				case v1 > 0 && v2 > 0:
					mixed.Add(1)
				case status == http.StatusOK && whole:
					complete.Add(1)
				default:
					failed.Add(1)
				}
			})
		}
	})
	time.Sleep(quietFor)
	paused.Store(true)
	time.Sleep(pauseFor)
	if trouble {
		old := servers[0]
		rec.say("server %s goes down and starts again under its ID and address, with version v2; its heartbeats are %s late", old.id, lateBeat)
		old.end()
		time.Sleep(downFor)
		s := newServer(0, "v2")
		s.delay = lateBeat
		if err := s.startAt(old.addr); err != nil {
			return notRun, err
		}
		gap.Store(int64(busyGap))
		paused.Store(false)
		time.Sleep(downAfter)
		rec.say("server %s goes down again", s.id)
		s.end()
		time.Sleep(downFor)
		s = newServer(0, "v2")
		if err := s.startAt(old.addr); err != nil {
			return notRun, err
		}
		servers[0] = s
	}
	gap.Store(int64(busyGap))
	paused.Store(false)
	time.Sleep(5 * time.Second)
	close(stop)
	wg.Wait()
	rec.say("streams: %d whole from one version, %d not whole, %d with events of two versions (the rule allows %d)", complete.Load(),
		failed.Load(), mixed.Load(), mixedAllowed)
	switch {
	case mixed.Load() > mixedAllowed:
		return broken, nil
	case complete.Load() < 20:
		return notRun, nil
	}
	return held, nil
}

// startAt starts the server at an address that it had before.
func (s *server) startAt(addr string) error {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	for {
		err := s.start(addr)
		if err == nil || ctx.Err() != nil {
			return err
		}
		time.Sleep(20 * time.Millisecond)
	}
}
