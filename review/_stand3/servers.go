package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// beatInterval is the time between two heartbeats of a server.
	beatInterval = 1200 * time.Millisecond
	// serverSlots is the number of requests that a server runs at once.
	serverSlots = 48
)

type (
	// server is a server of a service. It runs what names it as the expected instance, and tells the platform's registries of itself.
	server struct {
		id, service, zone, addr, version string
		born                             int64
		rec                              *record
		runs                             atomic.Int64
		// silence is the time after its start for which the server sends nothing.
		silence time.Duration
		// answer writes the answer to a request; nil stands for a short one.
		answer func(w http.ResponseWriter, req *http.Request)
		http   *http.Server
		stop   chan struct{}
		mu     sync.Mutex
		ran    map[string]int
	}
)

// startServer starts a server at a loopback address.
func startServer(rec *record, n int, service, zone string, registries []string, answer func(http.ResponseWriter, *http.Request)) (*server, error) {
	s := &server{
		id: fmt.Sprintf("i-%08x", 0x7f3a9100+n), service: service, zone: zone, addr: ipOf(100+n) + ":0", version: "v1", rec: rec, answer: answer,
		ran: map[string]int{},
	}
	return s, s.start(registries, 0)
}

// start makes a server listen, as a new process. Its first heartbeat is sent after beatDelay.
func (s *server) start(registries []string, beatDelay time.Duration) error {
	l, err := net.Listen("tcp", s.addr)
	if err != nil {
		return err
	}
	s.addr, s.born, s.stop = l.Addr().String(), time.Now().UnixMilli(), make(chan struct{})
	s.http = &http.Server{Handler: s, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = s.http.Serve(l) }()
	go s.beat(registries, beatDelay, s.stop)
	s.rec.quiet("server %s of %s, version %s, born %d, listens at %s", s.id, s.service, s.version, s.born, s.addr)
	return nil
}

func (s *server) close() {
	close(s.stop)
	_ = s.http.Close()
}

// beat sends heartbeats: to the address that the last acknowledgement named, or to the next registry.
func (s *server) beat(registries []string, delay time.Duration, stop <-chan struct{}) {
	select {
	case <-stop:
		return
	case <-time.After(delay):
	}
	next := ""
	for n := 0; ; n++ {
		addr := next
		if addr == "" {
			addr = registries[n%len(registries)]
		}
		next = s.sendBeat(addr, n)
		wait := beatInterval
		if next == "" {
			wait = 100 * time.Millisecond
		}
		select {
		case <-stop:
			return
		case <-time.After(wait):
		}
	}
}

func (s *server) sendBeat(addr string, sequence int) (next string) {
	body, _ := json.Marshal(map[string]any{
		"service": s.service, "address": s.addr, "zone": s.zone, "version": s.version, "slots": serverSlots, "state": "ready",
		"coldRemainingMs": 0, "sequence": sequence, "born": s.born,
	})
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+"/v1/instances/"+s.id+"/heartbeat", bytes.NewReader(body))
	if err != nil {
		return ""
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(req)
	if err != nil {
		return ""
	}
	defer func() { _ = resp.Body.Close() }()
	var ack struct {
		Address string `json:"heartbeatAddress"`
	}
	if resp.StatusCode != http.StatusOK || json.NewDecoder(resp.Body).Decode(&ack) != nil {
		return ""
	}
	return ack.Address
}

// ServeHTTP answers a request.
func (s *server) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	id := req.Header.Get("Attempt-Id")
	time.Sleep(time.Until(time.UnixMilli(s.born).Add(s.silence)))
	switch {
	case req.URL.Path == "/v1/report":
		_, _ = fmt.Fprintf(w, `{"phase":"prefill_decode","models":[],"born":%d}`, s.born)
		return
	case req.URL.Path == "/health":
		w.Header().Set("Instance-Id", s.id)
		return
	case req.Header.Get("Expected-Instance") != s.id:
		w.Header().Set("Attempt-Id", id)
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(req.Body)
	if err != nil {
		return
	}
	s.runs.Add(1)
	s.mu.Lock()
	s.ran[id]++
	s.mu.Unlock()
	s.rec.quiet("%s runs %s %s, %d bytes", s.id, id, req.URL.Path, len(body))
	w.Header().Set("Attempt-Id", id)
	w.Header().Set("Server-Signature", "3e1b.07."+s.id)
	if s.answer != nil {
		s.answer(w, req)
		return
	}
	time.Sleep(20 * time.Millisecond)
	_, _ = io.WriteString(w, "answer to "+id)
}

// send sends one request of an ordinary client to an edge, over a connection of its own, and returns its status, or 0 with the reason
// if there was no complete answer in time.
func (d *deployment) send(m *machine, id, method, path string, body string, timeout time.Duration) (status int, answer string, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, fmt.Sprintf("http://%s:%d%s", m.ip, d.front, path), strings.NewReader(body))
	if err != nil {
		return 0, "", err
	}
	req.Host = "h.example"
	req.Header.Set("Attempt-Id", id)
	req.Header.Set("Authorization", "Token k")
	req.Header.Set("Deadline-Ms", fmt.Sprint(timeout.Milliseconds()))
	resp, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(req)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, string(data), err
	}
	return resp.StatusCode, string(data), nil
}

// awaitService waits until an edge answers ordinary requests.
func (d *deployment) awaitService(m *machine) error {
	for n, end := 0, time.Now().Add(20*time.Second); time.Now().Before(end); n++ {
		if status, _, _ := d.send(m, fmt.Sprintf("w%d-%s", n, m.name), http.MethodPost, "/i/x", "hello", time.Second); status == http.StatusOK {
			return nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return fmt.Errorf("%s does not serve", m.name)
}
