package main

import (
	"bufio"
	"bytes"
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

type (
	// serverOptions describes a server of a service.
	serverOptions struct {
		id, service, zone string
		// version is that of the server's software, v1 if it is empty.
		version string
		// address is the one to listen on; if it is empty, any free one is taken.
		address string
		// beatLate is how late the first heartbeat arrives.
		beatLate time.Duration
		// slots is the number of requests that the server runs at once, queue that of those that may wait; others are rejected as not run.
		slots, queue int
		// work returns the time that a request takes, or the time between two events of a stream.
		work func() time.Duration
		// events is the number of events of a stream; 0 makes the server a plain service.
		events int
		// crashOn is a part of a prompt on which the server crashes as it begins to answer; onCrash is called then.
		crashOn string
		onCrash func()
		// repeats reports whether a faulty server sends an answer once more, late: where the next answer on its connection is expected.
		repeats func() bool
	}

	// server is a stand-in for a server, as the platform's pages describe it.
	server struct {
		opt       serverOptions
		rec       *record
		listener  net.Listener
		born      int64
		slots     chan struct{}
		inside    atomic.Int64
		done      chan struct{}
		doneOnce  sync.Once
		crashOnce sync.Once
		// silentUntil is the time, in Unix nanoseconds, until which the server sends nothing.
		silentUntil atomic.Int64
		mu          sync.Mutex
		runs        map[string]int
		conns       map[net.Conn]bool
		acked       atomic.Bool
	}

	// serverConn is one connection to a server. late holds a second copy of its last answer; left is closed when the caller of the
	// request in progress has closed the connection.
	serverConn struct {
		net.Conn
		late []byte
		left chan struct{}
	}
)

// startServer starts a server and its heartbeats.
func (f *fleet) startServer(opt serverOptions) (*server, error) {
	if opt.version == "" {
		opt.version = "v1"
	}
	if opt.address == "" {
		opt.address = loopback(150+len(f.servers)) + ":0"
	}
	listener, err := net.Listen("tcp", opt.address)
	if err != nil {
		return nil, err
	}
	s := &server{
		opt: opt, rec: f.rec, listener: listener, born: time.Now().UnixMilli(), slots: make(chan struct{}, opt.slots),
		done: make(chan struct{}), runs: map[string]int{}, conns: map[net.Conn]bool{},
	}
	f.mu.Lock()
	f.servers = append(f.servers, s)
	f.mu.Unlock()
	go s.accept()
	go s.sendHeartbeats(f.controls())
	return s, nil
}

// stop ends the server at once, as a crash does.
func (s *server) stop() {
	s.doneOnce.Do(func() { close(s.done) })
	_ = s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		_ = c.Close()
	}
}

// crash ends the server and calls onCrash, once.
func (s *server) crash() {
	s.crashOnce.Do(func() {
		s.stop()
		if s.opt.onCrash != nil {
			go s.opt.onCrash()
		}
	})
}

// sendHeartbeats calls the control machines until the server stops.
func (s *server) sendHeartbeats(controls []string) {
	next, sequence := "", 0
	select {
	case <-s.done:
		return
	case <-time.After(s.opt.beatLate):
	}
	for n := 0; ; n++ {
		addr := next
		if addr == "" {
			addr = controls[n%len(controls)]
		}
		sequence++
		next = s.sendHeartbeat(addr, sequence)
		wait := heartbeat
		if next == "" {
			wait = 100 * time.Millisecond
		}
		select {
		case <-s.done:
			return
		case <-time.After(wait):
		}
	}
}

// sendHeartbeat returns the address for the next call, or nothing if this one was not acknowledged.
func (s *server) sendHeartbeat(addr string, sequence int) string {
	beat := map[string]any{
		"service": s.opt.service, "address": s.listener.Addr().String(), "zone": s.opt.zone, "version": s.opt.version, "slots": s.opt.slots,
		"state": "ready", "coldRemainingMs": 0, "sequence": sequence, "born": s.born,
	}
	if s.opt.events > 0 {
		beat["phase"], beat["models"] = "prefill_decode", []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}}
	}
	body, err := json.Marshal(beat)
	if err != nil {
		panic(err)
	}
	resp, err := (&http.Client{Timeout: callTimeout}).Post("http://"+addr+"/v1/instances/"+s.opt.id+"/heartbeat", "application/json", bytes.NewReader(body))
	if err != nil {
		return ""
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return ""
	}
	s.acked.Store(true)
	var answer struct {
		Address string `json:"heartbeatAddress"`
	}
	if json.NewDecoder(resp.Body).Decode(&answer) == nil && answer.Address != "" {
		return answer.Address
	}
	return addr
}

func (s *server) accept() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.conns[c] = true
		s.mu.Unlock()
		go s.serve(&serverConn{Conn: c})
	}
}

// serve answers the requests of one connection, one after the other.
func (s *server) serve(c *serverConn) {
	defer func() {
		_ = c.Close()
		s.mu.Lock()
		delete(s.conns, c.Conn)
		s.mu.Unlock()
	}()
	reader := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		if c.late != nil {
			s.rec.line("server %s: sends its last answer on this connection once more", s.opt.id)
			if _, err := c.Write(c.late); err != nil {
				return
			}
			c.late = nil
		}
		c.left = make(chan struct{})
		peeked := make(chan struct{})
		go func() {
			defer close(peeked)
			if _, err := reader.Peek(1); err != nil {
				close(c.left)
			}
		}()
		if err := s.handle(c, req, body); err != nil {
			return
		}
		<-peeked
	}
}

// awaitSilence waits until the server may send something.
func (s *server) awaitSilence() {
	time.Sleep(time.Until(time.Unix(0, s.silentUntil.Load())))
}

// silence makes the server send nothing for a time.
func (s *server) silence(length time.Duration) {
	s.silentUntil.Store(time.Now().Add(length).UnixNano())
}

// handle answers one request.
func (s *server) handle(c *serverConn, req *http.Request, body []byte) error {
	s.awaitSilence()
	switch req.URL.Path {
	case "/health":
		return s.answer(c, "", "200 OK", "", "Instance-Id: "+s.opt.id+"\r\n")
	case "/v1/report":
		return s.answer(c, "", "200 OK", fmt.Sprintf(`{"phase":"prefill_decode","models":[{"name":"m","version":1,"adapters":[]}],"busy":false,"sequence":0,"queued":0,"active":%d,"kvUsed":0,"kvTotal":394350,"kvHandles":0,"born":%d}`, s.inside.Load(), s.born), "Content-Type: application/json\r\n")
	case "/v1/kv-list":
		return s.answer(c, "", "200 OK", fmt.Sprintf(`{"epoch":%d,"next":1,"held":[],"born":%d}`, s.born, s.born), "Content-Type: application/json\r\n")
	}
	id := req.Header.Get("Attempt-Id")
	if expected := req.Header.Get("Expected-Instance"); expected != "" && expected != s.opt.id {
		return s.answer(c, id, "421 Misdirected Request", "", "Not-Executed: 1\r\n")
	}
	defer s.inside.Add(-1)
	if s.inside.Add(1) > int64(s.opt.slots+s.opt.queue) {
		s.rec.line("server %s: request %s is rejected as not run (full)", s.opt.id, id)
		return s.answer(c, id, "503 Service Unavailable", "", "Not-Executed: 1\r\n")
	}
	select {
	case s.slots <- struct{}{}:
	case <-c.left:
		s.rec.line("server %s: request %s is dropped while it waits, as its connection was closed", s.opt.id, id)
		return io.EOF
	}
	defer func() { <-s.slots }()
	s.mu.Lock()
	s.runs[id]++
	n := s.runs[id]
	s.mu.Unlock()
	s.rec.line("server %s: request %s runs, run %d here (%s %s, tenant %q, last event %q, body %d bytes)", s.opt.id, id, n, req.Method,
		req.URL.Path, req.Header.Get("Tenant"), req.Header.Get("Last-Event-Id"), len(body))
	if s.opt.events > 0 {
		return s.stream(c, req, id)
	}
	time.Sleep(s.opt.work())
	s.awaitSilence()
	return s.answer(c, id, "200 OK", "answer to "+id+"\n", "Server-Signature: "+s.signature(id)+"\r\n")
}

func (s *server) signature(id string) string {
	return "signed-by-" + s.opt.id + "-for-" + id
}

// answer writes a complete answer with a length.
func (s *server) answer(c *serverConn, id, status, body, header string) error {
	text := fmt.Sprintf("HTTP/1.1 %s\r\n", status)
	if id != "" {
		text += "Attempt-Id: " + id + "\r\n"
	}
	text += fmt.Sprintf("%sKeep-Alive: timeout=15\r\nContent-Length: %d\r\n\r\n%s", header, len(body), body)
	if id != "" && s.opt.repeats != nil && s.opt.repeats() {
		c.late = []byte(text)
	}
	_, err := io.WriteString(c, text)
	return err
}

// stream writes the events behind the one that the request names.
func (s *server) stream(c *serverConn, req *http.Request, id string) error {
	first := 1
	if after := req.Header.Get("Last-Event-Id"); after != "" {
		if _, err := fmt.Sscan(after, &first); err != nil {
			return err
		}
		first++
	}
	head := "HTTP/1.1 200 OK\r\nAttempt-Id: " + id + "\r\nServer-Signature: " + s.signature(id) +
		"\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
	if _, err := io.WriteString(c, head); err != nil {
		return err
	}
	for n := first; n <= s.opt.events; n++ {
		time.Sleep(s.opt.work())
		if s.opt.crashOn != "" && strings.Contains(req.Header.Get("Prompt-Prefix"), s.opt.crashOn) {
			s.rec.line("server %s: crashes under request %s", s.opt.id, id)
			s.crash()
		}
		s.awaitSilence()
		event := fmt.Sprintf("id: %d\ndata: piece %d of %s\n\n", n, n, s.opt.version)
		if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(event), event); err != nil {
			s.rec.line("server %s: the connection of request %s was closed before event %d", s.opt.id, id, n)
			return err
		}
	}
	s.rec.line("server %s: request %s has run to its end", s.opt.id, id)
	_, err := io.WriteString(c, "0\r\n\r\n")
	return err
}

// totalRuns returns how often each request has run on the servers.
func (f *fleet) totalRuns() map[string]int {
	total := map[string]int{}
	for _, s := range f.servers {
		s.mu.Lock()
		for id, n := range s.runs {
			total[id] += n
		}
		s.mu.Unlock()
	}
	return total
}

// awaitServers waits until all servers are acknowledged.
func (f *fleet) awaitServers() bool {
	for deadline := time.Now().Add(startTimeout); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		missing := 0
		for _, s := range f.servers {
			if !s.acked.Load() {
				missing++
			}
		}
		if missing == 0 {
			return true
		}
	}
	return false
}
