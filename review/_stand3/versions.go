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
	// takeUpWait is the time after which clients take up a stream whose server starts again at once, and leastTakeUps the number of streams
	// from which on the rule counts.
	takeUpWait   = time.Second
	leastTakeUps = 12
	// mostMixed is the number of streams with events of two versions that the rule allows.
	mostMixed = 2
)

// restartPlan is how servers of a service crash and start again in their place, under their IDs, with another version of their software.
type restartPlan struct {
	// extra is added to the fields of the service, attempts is maxAttempts of the route.
	extra    string
	attempts int
	// servers is the number of servers, restarted how many of them crash.
	servers, restarted int
	// down is how long they are down, beatDelay the time from their start to their first heartbeat, silence the time after their start for
	// which they send nothing.
	down, beatDelay, silence time.Duration
	// clients is the number of clients, wait the time after which they take up a broken stream.
	clients int
	wait    time.Duration
}

// streamCounts counts streams.
type streamCounts struct {
	whole, partial, mixed atomic.Int64
	// begun and notBegun count the streams that clients began since the servers are back, wentOn and refused those that they took up then.
	begun, notBegun, wentOn, refused atomic.Int64
}

// silentEngines plays model servers that send nothing for a second or so after their start. No more than two streams may hold events of
// both versions, over all tries of their clients.
func silentEngines(rec *record, trouble bool) (bool, error) {
	counts, err := restart(rec, trouble, restartPlan{
		extra: engine, attempts: 2, servers: 3, restarted: 3, down: serverDown, beatDelay: beatLate, silence: beatLate, clients: streamClients,
		wait: 200 * time.Millisecond,
	})
	return counts.mixed.Load() > mostMixed, err
}

// takeUps plays one of four servers of a service without engines. Streams that clients take up while three servers of their version serve
// must go on half as often as new streams begin, at least.
func takeUps(rec *record, trouble bool) (bool, error) {
	counts, err := restart(rec, trouble, restartPlan{
		attempts: 1, servers: 4, restarted: 1, down: 300 * time.Millisecond, clients: 3 * streamClients, wait: takeUpWait,
	})
	if err != nil || !trouble {
		return false, err
	}
	begun, all := counts.begun.Load(), counts.begun.Load()+counts.notBegun.Load()
	wentOn, takenUp := counts.wentOn.Load(), counts.wentOn.Load()+counts.refused.Load()
	rec.printf("since the server is back: %d of %d new streams begin, %d of %d streams taken up go on", begun, all, wentOn, takenUp)
	if takenUp < leastTakeUps || all == 0 {
		return false, errNotRun
	}
	return float64(wentOn)/float64(takenUp) < float64(begun)/float64(all)/2, nil
}

// restart plays a plan and counts the streams.
func restart(rec *record, trouble bool, plan restartPlan) (*streamCounts, error) {
	counts := &streamCounts{}
	d, err := newDeployment(rec, 3, 0, 2, 280, 134)
	if err != nil {
		return counts, err
	}
	defer d.close()
	if err := d.startAll(); err != nil {
		return counts, err
	}
	conf := strings.Replace(string(configuration(1, 10, 2, "p", plan.extra)), streamAttempts, fmt.Sprintf(`"maxAttempts":%d,"streamResumption"`, plan.attempts), 1)
	if _, err := d.replace([]byte(conf), time.Second, 20*time.Second); err != nil {
		return counts, err
	}
	var servers []*server
	for n := range plan.servers {
		s, err := startServer(rec, n, "p", string(rune('a'+n%3)), d.registries(), nil)
		if err != nil {
			return counts, err
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
			return counts, err
		}
	}
	rec.printf("the system serves")
	stop := make(chan struct{})
	var wg sync.WaitGroup
	var back atomic.Bool
	for c := range plan.clients {
		wg.Go(func() {
			time.Sleep(time.Duration(c) * streamEvents * eventPause / time.Duration(plan.clients))
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				default:
				}
				d.countStream(fmt.Sprintf("c%d-%d", c, n), c, plan.wait, counts, &back)
			}
		})
	}
	time.Sleep(8 * time.Second)
	if trouble {
		for _, s := range servers[:plan.restarted] {
			s.close()
		}
		rec.printf("%d of %d servers are down", plan.restarted, plan.servers)
		time.Sleep(plan.down)
		for _, s := range servers[:plan.restarted] {
			s.version, s.silence = "v2", plan.silence
			if err := s.start(d.registries(), plan.beatDelay); err != nil {
				return counts, err
			}
		}
		back.Store(true)
		rec.printf("they are back with version v2, their first heartbeats %v later", plan.beatDelay)
	}
	time.Sleep(15 * time.Second)
	close(stop)
	wg.Wait()
	rec.printf("streams whole %d, not whole %d, with events of two versions %d", counts.whole.Load(), counts.partial.Load(), counts.mixed.Load())
	return counts, nil
}

// countStream takes one stream and counts it.
func (d *deployment) countStream(name string, client int, wait time.Duration, counts *streamCounts, back *atomic.Bool) {
	beganAfter := back.Load()
	taken := d.takeStream(name, client, wait)
	if taken.complete {
		counts.whole.Add(1)
	} else {
		counts.partial.Add(1)
	}
	if len(taken.seen) > 1 {
		counts.mixed.Add(1)
		d.rec.printf("stream %s holds events of versions %v", name, taken.seen)
	}
	if beganAfter {
		if taken.firstLast > 0 {
			counts.begun.Add(1)
		} else {
			counts.notBegun.Add(1)
		}
	}
	if back.Load() && taken.firstLast > 0 && taken.firstLast < streamEvents {
		if taken.last > taken.firstLast {
			counts.wentOn.Add(1)
		} else {
			counts.refused.Add(1)
		}
	}
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

// takenStream is what a client got of a stream. seen lists the versions in its events, last is the last event, firstLast the last one of
// the answer that brought the first.
type takenStream struct {
	seen            []string
	last, firstLast int
	complete        bool
}

// takeStream takes a stream as a client: after a broken connection it goes on at the last event that it has, naming the attempt that
// brought the first one. It waits before it takes the stream up.
func (d *deployment) takeStream(name string, client int, wait time.Duration) (taken takenStream) {
	ctx, cancel := context.WithTimeout(context.Background(), streamDeadline)
	defer cancel()
	end := time.Now().Add(streamDeadline)
	first := ""
	for try := range clientTries {
		id := fmt.Sprintf("%s-%d", name, try)
		edge := d.edges[(client+try)%len(d.edges)]
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, fmt.Sprintf("http://%s:%d/s/x", edge.ip, d.front), strings.NewReader("prompt of "+name))
		if err != nil {
			return taken
		}
		req.Host = "h.example"
		req.Header.Set("Attempt-Id", id)
		req.Header.Set("Authorization", "Token k")
		req.Header.Set("Deadline-Ms", fmt.Sprint(time.Until(end).Milliseconds()))
		if taken.last > 0 {
			req.Header.Set("Last-Event-Id", fmt.Sprint(taken.last))
			req.Header.Set("Resumes", first)
		}
		pause := wait
		resp, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(req)
		switch {
		case err != nil:
			d.rec.quiet("client %s after event %d: %v", id, taken.last, err)
		case resp.StatusCode != http.StatusOK:
			_ = resp.Body.Close()
			d.rec.quiet("client %s after event %d: status %d, Retry-After %s", id, taken.last, resp.StatusCode, resp.Header.Get("Retry-After"))
			if seconds, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil {
				pause = min(time.Duration(seconds*float64(time.Second)), time.Until(end)/3)
			}
		default:
			before := taken.last
			var inAnswer []string
			taken.last, inAnswer = readEvents(resp.Body, taken.last)
			_ = resp.Body.Close()
			d.rec.quiet("client %s after event %d: events to %d, of %v", id, before, taken.last, inAnswer)
			if first == "" && taken.last > 0 {
				first, taken.firstLast = id, taken.last
			}
			for _, v := range inAnswer {
				if !slices.Contains(taken.seen, v) {
					taken.seen = append(taken.seen, v)
				}
			}
			if taken.last == streamEvents {
				taken.complete = true
				return taken
			}
		}
		time.Sleep(pause)
	}
	return taken
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
