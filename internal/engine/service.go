package engine

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/greengagewheel/greengagewheel/pkg/endpt"
)

// DropMarker in a request body makes the service run the call and close the connection without an answer.
const DropMarker = "[[drop]]"

type (
	// ServiceOptions configures a Service.
	ServiceOptions struct {
		Name     string
		Addr     netip.AddrPort
		Zone     string
		Services []string // names of the services that it offers
		Slots    int      // concurrency that it announces; 32 if 0
		Lookup   bool     // announce that the outcome of a call can be looked up by its idempotency key
	}

	// Service simulates a plain service and counts the runs of each idempotency key.
	Service struct {
		opt     ServiceOptions
		bootID  string
		mu      sync.Mutex
		runs    map[string]int
		answers map[string]string
		leaving bool
		server  *http.Server
		wg      conc.WaitGroup
	}

	// Outcome is the number of runs under an idempotency key and the last answer, empty if there was no run.
	Outcome struct {
		Runs   int    `json:"runs"`
		Answer string `json:"answer,omitempty"`
	}
)

// NewService returns a service that has not been started.
func NewService(opt ServiceOptions) *Service {
	if opt.Slots == 0 {
		opt.Slots = 32
	}
	return &Service{opt: opt, runs: map[string]int{}, answers: map[string]string{}}
}

// Start listens on the service's address and starts serving. Each start has a new boot ID.
func (s *Service) Start() error {
	listener, err := net.Listen("tcp", s.opt.Addr.String())
	if err != nil {
		return err
	}
	s.opt.Addr = netip.MustParseAddrPort(listener.Addr().String())
	s.bootID = fmt.Sprintf("%s-%x", s.opt.Name, time.Now().UnixNano())
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/outcomes/{key}", s.handleOutcome)
	mux.HandleFunc("GET /runs", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, s.Runs()) })
	mux.HandleFunc("/", s.handleCall)
	s.server = &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second}
	s.wg.Go(func() { _ = s.server.Serve(listener) })
	return nil
}

// Addr returns the address that the service listens on.
func (s *Service) Addr() netip.AddrPort {
	return s.opt.Addr
}

// Runs returns the number of runs of each idempotency key.
func (s *Service) Runs() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	counts := make(map[string]int, len(s.runs))
	for k, n := range s.runs {
		counts[k] = n
	}
	return counts
}

// Stop shuts the service down after the calls in progress, or returns the error of ctx if it is done first.
func (s *Service) Stop(ctx context.Context) error {
	return s.server.Shutdown(ctx)
}

// NextAnnouncement returns the announcement to send now.
func (s *Service) NextAnnouncement() endpt.Announcement {
	s.mu.Lock()
	defer s.mu.Unlock()
	return endpt.Announcement{
		Name: s.opt.Name, Addr: s.opt.Addr, Boot: s.bootID, Zone: s.opt.Zone, Kind: endpt.Service,
		Models: s.opt.Services, Slots: s.opt.Slots, Leaving: s.leaving, Lookup: s.opt.Lookup,
	}
}

// handleCall counts a run under the request's idempotency key, waits for the delay that the body asks for, and answers.
func (s *Service) handleCall(w http.ResponseWriter, req *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, req.Body, maxBodyBytes))
	if err != nil {
		writeError(w, http.StatusRequestEntityTooLarge, err)
		return
	}
	key := req.Header.Get("Idempotency-Key")
	text := string(body)
	s.mu.Lock()
	s.runs[key]++
	answer := fmt.Sprintf(`{"service":%q,"path":%q,"run":%d,"key":%q}`, s.opt.Name, req.URL.Path, s.runs[key], key)
	s.answers[key] = answer
	s.mu.Unlock()
	if pause := delay(text); pause > 0 {
		time.Sleep(pause)
	}
	if strings.Contains(text, DropMarker) {
		if conn, _, err := http.NewResponseController(w).Hijack(); err == nil {
			_ = conn.Close()
			return
		}
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = io.WriteString(w, answer)
}

func (s *Service) handleOutcome(w http.ResponseWriter, req *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	key := req.PathValue("key")
	writeJSON(w, http.StatusOK, Outcome{Runs: s.runs[key], Answer: s.answers[key]})
}
