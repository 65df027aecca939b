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

// DropMarker makes the stand-in service run the call and cut the connection without an answer.
const DropMarker = "[[drop]]"

type (
	// ServiceOptions sets a stand-in service's name and address.
	ServiceOptions struct {
		Name   string
		Addr   netip.AddrPort
		Zone   string
		Serves []string
		Slots  int
		Lookup bool
	}

	// Service is a stand-in for a plain service that counts the runs of each idempotency key.
	Service struct {
		opt     ServiceOptions
		boot    string
		mu      sync.Mutex
		runs    map[string]int
		answers map[string]string
		leaving bool
		srv     *http.Server
		wg      conc.WaitGroup
	}

	// Outcome tells what a service knows of a key.
	Outcome struct {
		Runs   int    `json:"runs"`
		Answer string `json:"answer,omitempty"`
	}
)

// NewService returns a service that Start makes ready.
func NewService(opt ServiceOptions) *Service {
	if opt.Slots == 0 {
		opt.Slots = 32
	}
	return &Service{opt: opt, runs: map[string]int{}, answers: map[string]string{}}
}

// Start listens and serves.
func (s *Service) Start() error {
	l, err := net.Listen("tcp", s.opt.Addr.String())
	if err != nil {
		return err
	}
	s.opt.Addr = netip.MustParseAddrPort(l.Addr().String())
	s.boot = fmt.Sprintf("%s-%x", s.opt.Name, time.Now().UnixNano())
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/outcomes/{key}", s.outcome)
	mux.HandleFunc("GET /runs", func(w http.ResponseWriter, _ *http.Request) { reply(w, http.StatusOK, s.Runs()) })
	mux.HandleFunc("/", s.call)
	s.srv = &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second}
	s.wg.Go(func() { _ = s.srv.Serve(l) })
	return nil
}

// Addr returns the address that the service listens on.
func (s *Service) Addr() netip.AddrPort {
	return s.opt.Addr
}

// Runs returns how often each key ran.
func (s *Service) Runs() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[string]int, len(s.runs))
	for k, n := range s.runs {
		out[k] = n
	}
	return out
}

// Stop ends the service after its calls.
func (s *Service) Stop(ctx context.Context) error {
	return s.srv.Shutdown(ctx)
}

// Announce returns the service's present announcement.
func (s *Service) Announce() endpt.Announcement {
	s.mu.Lock()
	defer s.mu.Unlock()
	return endpt.Announcement{
		Name: s.opt.Name, Addr: s.opt.Addr, Boot: s.boot, Zone: s.opt.Zone, Kind: endpt.Service,
		Models: s.opt.Serves, Slots: s.opt.Slots, Leaving: s.leaving, Lookup: s.opt.Lookup,
	}
}

func (s *Service) call(w http.ResponseWriter, q *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, q.Body, maxBody))
	if err != nil {
		refuse(w, http.StatusRequestEntityTooLarge, err)
		return
	}
	key := q.Header.Get("Idempotency-Key")
	text := string(body)
	s.mu.Lock()
	s.runs[key]++
	answer := fmt.Sprintf(`{"service":%q,"path":%q,"run":%d,"key":%q}`, s.opt.Name, q.URL.Path, s.runs[key], key)
	s.answers[key] = answer
	s.mu.Unlock()
	if d := delay(text); d > 0 {
		time.Sleep(d)
	}
	if strings.Contains(text, DropMarker) {
		if c, _, err := http.NewResponseController(w).Hijack(); err == nil {
			_ = c.Close()
			return
		}
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = io.WriteString(w, answer)
}

func (s *Service) outcome(w http.ResponseWriter, q *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	key := q.PathValue("key")
	reply(w, http.StatusOK, Outcome{Runs: s.runs[key], Answer: s.answers[key]})
}
