package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// streamEvents is the number of events of a stream, eventPause the time between two of them.
	streamEvents = 40
	eventPause   = 100 * time.Millisecond
	// streamClients is the number of clients, each of which has one stream at a time.
	streamClients = 24
	// streamDeadline is how long a client waits for a stream, clientTries how often it sends one.
	streamDeadline = 12 * time.Second
	clientTries    = 4
	// serverDown is how long the servers are down; the first heartbeat of the new processes comes beatLate, one
	// interval, after their start.
	serverDown = 2500 * time.Millisecond
	beatLate   = 1200 * time.Millisecond
	// mostMixed is the number of streams with events of two versions that the rule allows.
	mostMixed = 2
)

// versions plays servers of a service without engines, which answer at once after their start.
func versions(rec *record, trouble bool) (bool, error) {
	return startWithVersion(rec, trouble, "", 0)
}

// silentEngines plays model servers that send nothing for a second or so after their start.
func silentEngines(rec *record, trouble bool) (bool, error) {
	return startWithVersion(rec, trouble, engine, beatLate)
}

// startWithVersion lets the servers of a service crash and start again in their place, under their IDs, with another version of their
// software. No more than two streams may hold events of both versions, over all tries of their clients. extra is added to the fields of
// the service, and the new processes send nothing for the time of silence.
func startWithVersion(rec *record, trouble bool, extra string, silence time.Duration) (bool, error) {
	d, err := newDeployment(rec, 3, 0, 2, 280, 134)
	if err != nil {
		return false, err
	}
	defer d.close()
	if err := d.startAll(); err != nil {
		return false, err
	}
	if _, err := d.replace(configuration(1, 10, 2, "p", extra), time.Second, 20*time.Second); err != nil {
		return false, err
	}
	var servers []*server
	for n := range 3 {
		s, err := startServer(rec, n, "p", string(rune('a'+n)), d.registries(), nil)
		if err != nil {
			return false, err
		}
		s.answer = s.stream
		servers = append(servers, s)
	}
	defer func() {
		for _, s := range servers {
			s.close()
		}
	}()
	for _, m := range d.edges {
		if err := d.awaitService(m); err != nil {
			return false, err
		}
	}
	rec.printf("the system serves")
	stop := make(chan struct{})
	var wg sync.WaitGroup
	var whole, partial, mixed atomic.Int64
	for c := range streamClients {
		wg.Go(func() {
			time.Sleep(time.Duration(c) * 150 * time.Millisecond)
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				default:
				}
				seen, complete := d.takeStream(fmt.Sprintf("c%d-%d", c, n), c)
				if complete {
					whole.Add(1)
				} else {
					partial.Add(1)
				}
				if len(seen) > 1 {
					mixed.Add(1)
					rec.printf("stream c%d-%d holds events of versions %v", c, n, seen)
				}
			}
		})
	}
	time.Sleep(8 * time.Second)
	if trouble {
		for _, s := range servers {
			s.close()
		}
		rec.printf("the servers are down")
		time.Sleep(serverDown)
		for _, s := range servers {
			s.version, s.silence = "v2", silence
			if err := s.start(d.registries(), beatLate); err != nil {
				return false, err
			}
		}
		rec.printf("the servers are back with version v2, their first heartbeats %v later", beatLate)
	}
	time.Sleep(15 * time.Second)
	close(stop)
	wg.Wait()
	rec.printf("streams whole %d, not whole %d, with events of two versions %d", whole.Load(), partial.Load(), mixed.Load())
	return mixed.Load() > mostMixed, nil
}

// stream writes the events after the one that the request names; each tells the version of the server.
func (s *server) stream(w http.ResponseWriter, req *http.Request) {
	if !strings.HasPrefix(req.URL.Path, "/s/") {
		_, _ = io.WriteString(w, "ok")
		return
	}
	after, _ := strconv.Atoi(req.Header.Get("Last-Event-Id"))
	version := s.version
	w.Header().Set("Content-Type", "text/event-stream")
	for id := after + 1; id <= streamEvents; id++ {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s text\n\n", id, version); err != nil {
			return
		}
		if http.NewResponseController(w).Flush() != nil {
			return
		}
		time.Sleep(eventPause)
	}
}

// takeStream takes a stream as a client: after a broken connection it goes on at the last event that it has, naming the attempt that
// brought the first one. It returns the versions in the events and whether the stream is whole.
func (d *deployment) takeStream(name string, client int) (seen []string, complete bool) {
	ctx, cancel := context.WithTimeout(context.Background(), streamDeadline)
	defer cancel()
	end := time.Now().Add(streamDeadline)
	first, last := "", 0
	for try := range clientTries {
		id := fmt.Sprintf("%s-%d", name, try)
		edge := d.edges[(client+try)%len(d.edges)]
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, fmt.Sprintf("http://%s:%d/s/x", edge.ip, d.front), strings.NewReader("prompt of "+name))
		if err != nil {
			return seen, false
		}
		req.Host = "h.example"
		req.Header.Set("Attempt-Id", id)
		req.Header.Set("Authorization", "Token k")
		req.Header.Set("Deadline-Ms", fmt.Sprint(time.Until(end).Milliseconds()))
		if last > 0 {
			req.Header.Set("Last-Event-Id", fmt.Sprint(last))
			req.Header.Set("Resumes", first)
		}
		wait := 200 * time.Millisecond
		resp, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(req)
		switch {
		case err != nil:
			d.rec.quiet("client %s after event %d: %v", id, last, err)
		case resp.StatusCode != http.StatusOK:
			_ = resp.Body.Close()
			d.rec.quiet("client %s after event %d: status %d, Retry-After %s", id, last, resp.StatusCode, resp.Header.Get("Retry-After"))
			if seconds, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil {
				wait = min(time.Duration(seconds*float64(time.Second)), time.Until(end)/3)
			}
		default:
			before := last
			var inAnswer []string
			last, inAnswer = readEvents(resp.Body, last)
			_ = resp.Body.Close()
			d.rec.quiet("client %s after event %d: events to %d, of %v", id, before, last, inAnswer)
			if first == "" && last > 0 {
				first = id
			}
			for _, v := range inAnswer {
				if !slices.Contains(seen, v) {
					seen = append(seen, v)
				}
			}
			if last == streamEvents {
				return seen, true
			}
		}
		time.Sleep(wait)
	}
	return seen, false
}

// readEvents reads the events of an answer and returns the ID of the last whole one, and the versions in them.
func readEvents(body io.Reader, last int) (int, []string) {
	var seen []string
	id, version := 0, ""
	scanner := bufio.NewScanner(body)
	for scanner.Scan() {
		line := scanner.Text()
		switch {
		case strings.HasPrefix(line, "id: "):
			id, _ = strconv.Atoi(line[len("id: "):])
		case strings.HasPrefix(line, "data: "):
			version, _, _ = strings.Cut(line[len("data: "):], " ")
		case line == "" && id > 0:
			if last = id; !slices.Contains(seen, version) {
				seen = append(seen, version)
			}
			id = 0
		}
	}
	return last, seen
}
