package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

type (
	// server is a server of a service: it registers, serves one request at a time on a connection, and counts runs.
	server struct {
		id, service, zone, version, addr string
		slots                            int
		engine                           bool
		born                             int64
		registries                       []string
		http                             *http.Server
		stop                             chan struct{}
		// answer, if set, may answer a request itself; it reports whether it did.
		answer func(w http.ResponseWriter, r *http.Request) bool
		// events and pause shape the streams of an engine, work is the time of a plain call.
		events      int
		pause, work time.Duration
		rec         *recorder
		// delay is how late the server's heartbeats arrive.
		delay time.Duration

		mu   sync.Mutex
		runs map[string]int
	}
)

func (s *server) start(listen string) error {
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return err
	}
	s.addr, s.born, s.stop, s.runs = l.Addr().String(), time.Now().UnixMilli(), make(chan struct{}), map[string]int{}
	s.http = &http.Server{Handler: s, IdleTimeout: 15 * time.Second}
	go func() { _ = s.http.Serve(l) }()
	go s.beat()
	return nil
}

func (s *server) end() {
	close(s.stop)
	_ = s.http.Close()
}

// beat registers the server and keeps it registered.
func (s *server) beat() {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	select {
	case <-s.stop:
		return
	case <-time.After(s.delay):
	}
	for n := 1; ; n++ {
		body, _ := json.Marshal(map[string]any{
			"service": s.service, "address": s.addr, "zone": s.zone, "version": s.version, "slots": s.slots, "state": "ready",
			"coldRemainingMs": 0, "phase": "prefill_decode", "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}},
			"sequence": n, "born": s.born,
		})
		for try := range s.registries {
			to := s.registries[(n+try)%len(s.registries)]
			resp, err := client.Post("http://"+to+"/v1/instances/"+s.id+"/heartbeat", "application/json", strings.NewReader(string(body)))
			if err != nil {
				continue
			}
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				break
			}
		}
		select {
		case <-s.stop:
			return
		case <-time.After(time.Second):
		}
	}
}

func (s *server) ran(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[id]
}

// ServeHTTP serves health checks, reports and requests.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/health":
		w.Header().Set("Instance-Id", s.id)
		return
	case "/v1/report":
		_ = json.NewEncoder(w).Encode(map[string]any{
			"phase": "prefill_decode", "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}}, "busy": false, "sequence": 0,
			"queued": 0, "active": 0, "kvUsed": 0, "kvTotal": 400000, "kvHandles": 0, "born": s.born,
		})
		return
	case "/v1/kv-list":
		_, _ = fmt.Fprint(w, `{"epoch":1,"next":1,"held":[]}`)
		return
	case "/v1/kv-events":
		_, _ = fmt.Fprint(w, `{"epoch":1,"next":1,"lost":false,"events":[]}`)
		return
	}
	id := r.Header.Get("Attempt-Id")
	w.Header().Set("Attempt-Id", id)
	if want := r.Header.Get("Expected-Instance"); want != "" && want != s.id {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	s.mu.Lock()
	s.runs[id]++
	s.mu.Unlock()
	s.rec.line("server %s runs %s %s %s", s.id, id, r.Method, r.URL.Path)
	w.Header().Set("Server-Signature", s.id+"."+id)
	if s.answer != nil && s.answer(w, r) {
		return
	}
	if !s.engine {
		select {
		case <-time.After(s.work):
		case <-r.Context().Done():
			return
		}
		_, _ = fmt.Fprintf(w, "answer of %s to %s", s.id, id)
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	after, err := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	if err != nil {
		after = -1
	}
	for i := after + 1; i < s.events; i++ {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s token %d %s\n\n", i, id, i, s.version); err != nil {
			return
		}
		_ = http.NewResponseController(w).Flush()
		select {
		case <-time.After(s.pause):
		case <-r.Context().Done():
			return
		}
	}
}
