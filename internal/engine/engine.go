package engine

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sourcegraph/conc"

	"github.com/greengagewheel/greengagewheel/pkg/chat"
	"github.com/greengagewheel/greengagewheel/pkg/endpt"
)

// Markers in a prompt that make a stand-in engine fail.
const (
	// CrashMarker makes the engine crash when the run gets its first token.
	CrashMarker = "[[crash]]"
	// SilentMarker makes the first connection of the run go silent after three tokens.
	SilentMarker = "[[silent]]"
	// CutMarker makes the first connection of the run break after three tokens.
	CutMarker = "[[cut]]"
)

const (
	faultAfter = 3
	maxBody    = 8 << 20
)

type (
	// Options sets a stand-in engine's size, speed and way of failing.
	Options struct {
		Name        string
		Addr        netip.AddrPort
		Zone        string
		Models      []string
		Slots       int
		CacheBlocks int
		Step        time.Duration
		PerRun      time.Duration
		Prefill     int
		Fences      bool
		Seed        uint64
		OnCrash     func()
	}

	// Engine is a stand-in for a model engine with continuous batching.
	Engine struct {
		opt     Options
		boot    string
		mu      sync.Mutex
		batch   *batch
		orders  orders
		leaving bool
		slow    int
		rng     *rand.Rand
		faulted map[string]bool
		lagged  endpt.Load
		srv     *http.Server
		wg      conc.WaitGroup
		stop    context.CancelFunc
	}
)

// New returns an engine that Start makes ready; unset options get small defaults.
func New(opt Options) *Engine {
	if opt.Slots == 0 {
		opt.Slots = 8
	}
	if opt.CacheBlocks == 0 {
		opt.CacheBlocks = 4096
	}
	if opt.Step == 0 {
		opt.Step = 10 * time.Millisecond
	}
	if opt.Prefill == 0 {
		opt.Prefill = 512
	}
	return &Engine{
		opt:     opt,
		batch:   newBatch(opt.Slots, opt.CacheBlocks),
		rng:     rand.New(rand.NewPCG(opt.Seed, opt.Seed)),
		faulted: map[string]bool{},
		slow:    1,
	}
}

// Start listens and begins to generate; the boot ID is new at each start.
func (e *Engine) Start() error {
	l, err := net.Listen("tcp", e.opt.Addr.String())
	if err != nil {
		return err
	}
	e.opt.Addr = netip.MustParseAddrPort(l.Addr().String())
	e.boot = fmt.Sprintf("%s-%x", e.opt.Name, time.Now().UnixNano())
	ctx, stop := context.WithCancel(context.Background())
	e.stop = stop
	e.srv = &http.Server{Handler: e.routes(), ReadHeaderTimeout: 5 * time.Second}
	e.wg.Go(func() { _ = e.srv.Serve(l) })
	e.wg.Go(func() { e.loop(ctx) })
	return nil
}

// Addr returns the address that the engine listens on.
func (e *Engine) Addr() netip.AddrPort {
	return e.opt.Addr
}

// Crash ends the engine at once and cuts its connections.
func (e *Engine) Crash() {
	e.stop()
	_ = e.srv.Close()
}

// Leave makes the engine announce that it is leaving.
func (e *Engine) Leave() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = true
}

// Slow makes each step take factor times as long.
func (e *Engine) Slow(factor int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.slow = factor
}

// Stats returns the engine's counters.
func (e *Engine) Stats() Stats {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.batch.stats
}

// Busy reports whether any run is active or waiting.
func (e *Engine) Busy() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.batch.active)+len(e.batch.waiting) > 0
}

// Announce returns the engine's present announcement; its load is that of the call before.
func (e *Engine) Announce() endpt.Announcement {
	e.mu.Lock()
	defer e.mu.Unlock()
	load := e.lagged
	e.lagged = endpt.Load{Running: len(e.batch.active), Waiting: len(e.batch.waiting)}
	var events []endpt.CacheEvent
	for _, ev := range e.batch.cache.drain() {
		if e.rng.IntN(20) != 0 {
			events = append(events, ev)
		}
	}
	return endpt.Announcement{
		Name: e.opt.Name, Addr: e.opt.Addr, Boot: e.boot, Zone: e.opt.Zone, Kind: endpt.Engine,
		Models: e.opt.Models, Slots: e.opt.Slots, Load: load, Leaving: e.leaving, EnforcesFence: e.opt.Fences,
		Events: events,
	}
}

func (e *Engine) loop(ctx context.Context) {
	for {
		e.mu.Lock()
		pause := e.opt.Step + time.Duration(len(e.batch.active))*e.opt.PerRun
		pause *= time.Duration(e.slow)
		e.mu.Unlock()
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause):
		}
		if e.tick(time.Now()) {
			e.Crash()
			if e.opt.OnCrash != nil {
				e.opt.OnCrash()
			}
			return
		}
	}
}

// tick runs one step and reports whether a run with the crash marker reached its first token.
func (e *Engine) tick(now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.batch.admit()
	for _, r := range e.batch.active {
		if r.prefill == 0 && strings.Contains(r.prompt, CrashMarker) {
			return true
		}
	}
	e.batch.step(now, e.opt.Prefill)
	return false
}

func (e *Engine) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", func(w http.ResponseWriter, r *http.Request) { e.complete(w, r, true) })
	mux.HandleFunc("POST /v1/completions", func(w http.ResponseWriter, r *http.Request) { e.complete(w, r, false) })
	mux.HandleFunc("DELETE /v1/runs/{id}", e.cancelRun)
	mux.HandleFunc("POST /v1/orders", e.order)
	mux.HandleFunc("GET /v1/orders", e.orderState)
	mux.HandleFunc("GET /v1/kv", e.exportKV)
	mux.HandleFunc("POST /v1/kv", e.importKV)
	mux.HandleFunc("GET /stats", func(w http.ResponseWriter, _ *http.Request) { reply(w, http.StatusOK, e.Stats()) })
	mux.HandleFunc("POST /fault/slow/{factor}", func(_ http.ResponseWriter, r *http.Request) {
		if n, err := strconv.Atoi(r.PathValue("factor")); err == nil && n > 0 {
			e.Slow(n)
		}
	})
	mux.HandleFunc("POST /fault/leave", func(http.ResponseWriter, *http.Request) { e.Leave() })
	return mux
}

func reply(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

func refuse(w http.ResponseWriter, status int, err error) {
	reply(w, status, chat.ErrorBody{Error: chat.Error{Message: err.Error(), Type: "engine", Ran: chat.RanNo}})
}

func (e *Engine) complete(w http.ResponseWriter, q *http.Request, isChat bool) {
	body, err := io.ReadAll(http.MaxBytesReader(w, q.Body, maxBody))
	if err != nil {
		refuse(w, http.StatusRequestEntityTooLarge, err)
		return
	}
	req, err := chat.DecodeRequest(body, isChat)
	if err != nil {
		refuse(w, http.StatusBadRequest, err)
		return
	}
	offset, _ := strconv.Atoi(q.Header.Get("Last-Event-ID"))
	priority, _ := strconv.Atoi(q.Header.Get("X-Priority"))
	r, err := e.attach(q.Header.Get("X-Request-Id"), req, offset, priority)
	if err != nil {
		refuse(w, http.StatusConflict, err)
		return
	}
	defer e.detach(r)
	e.stream(w, q, r, req, isChat, offset)
}

// attach joins the run with the given ID, or begins one that goes on from the offset.
func (e *Engine) attach(id string, req chat.Request, offset, priority int) (*run, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	prompt := req.InputText()
	if r := e.batch.runs[id]; id != "" && r != nil && !r.canceled && offset >= r.start {
		if r.prompt != prompt {
			return nil, errors.New("run ID in use with another prompt")
		}
		r.readers++
		return r, nil
	}
	if id == "" {
		id = fmt.Sprintf("run-%d", e.batch.stats.Runs)
	}
	limit := min(Length(prompt), req.OutputLimit())
	r := &run{
		id: id, prompt: prompt, seed: xxhash.Sum64String(prompt), limit: limit, priority: priority,
		start: offset, made: offset, readers: 1, changed: make(chan struct{}),
	}
	e.batch.runs[id] = r
	e.batch.waiting = append(e.batch.waiting, r)
	e.batch.stats.Runs++
	return r, nil
}

func (e *Engine) detach(r *run) {
	e.mu.Lock()
	defer e.mu.Unlock()
	r.readers--
	r.idle = time.Now()
}

func (e *Engine) stream(w http.ResponseWriter, q *http.Request, r *run, req chat.Request, isChat bool, offset int) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	out := http.NewResponseController(w)
	_ = out.Flush()
	sent := offset
	for {
		e.mu.Lock()
		made, done, canceled, changed := r.made, r.done, r.canceled, r.changed
		e.mu.Unlock()
		for ; sent < made; sent++ {
			if e.fault(q, w, r, sent-offset) {
				return
			}
			writeEvent(w, sent+1, chunk(r, req, isChat, token(r.seed, sent)))
		}
		if canceled {
			return
		}
		if done {
			writeEvent(w, sent, last(r, req, isChat))
			_, _ = io.WriteString(w, "data: [DONE]\n\n")
			e.count(sent - offset)
			return
		}
		if out.Flush() != nil {
			e.count(sent - offset)
			return
		}
		select {
		case <-changed:
		case <-q.Context().Done():
			e.count(sent - offset)
			return
		}
	}
}

func (e *Engine) count(sent int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.batch.stats.Sent += sent
}

// fault breaks or silences the first connection of a run that asks for it.
func (e *Engine) fault(q *http.Request, w http.ResponseWriter, r *run, sent int) bool {
	silent := strings.Contains(r.prompt, SilentMarker)
	if sent != faultAfter || !silent && !strings.Contains(r.prompt, CutMarker) {
		return false
	}
	e.mu.Lock()
	seen := e.faulted[r.id]
	e.faulted[r.id] = true
	e.mu.Unlock()
	if seen {
		return false
	}
	_ = http.NewResponseController(w).Flush()
	if silent {
		<-q.Context().Done()
		return true
	}
	if c, _, err := http.NewResponseController(w).Hijack(); err == nil {
		_ = c.Close()
	}
	return true
}

func writeEvent(w io.Writer, id int, a chat.Completion) {
	data, _ := json.Marshal(a)
	_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", id, data)
}

func chunk(r *run, req chat.Request, isChat bool, text string) chat.Completion {
	if isChat {
		return chat.Completion{ID: r.id, Object: "chat.completion.chunk", Model: req.Model,
			Choices: []chat.Choice{{Delta: &chat.Message{Role: "assistant", Content: chat.Content(text)}}}}
	}
	return chat.Completion{ID: r.id, Object: "text_completion", Model: req.Model, Choices: []chat.Choice{{Text: &text}}}
}

func last(r *run, req chat.Request, isChat bool) chat.Completion {
	a := chunk(r, req, isChat, "")
	reason := chat.FinishStop
	if r.made >= req.OutputLimit() {
		reason = chat.FinishLength
	}
	a.Choices[0].FinishReason = &reason
	in := chat.EstimateTokens(r.prompt)
	a.Usage = &chat.Usage{PromptTokens: in, CompletionTokens: r.made, TotalTokens: in + r.made}
	return a
}

func (e *Engine) cancelRun(w http.ResponseWriter, q *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if r := e.batch.runs[q.PathValue("id")]; r != nil {
		e.batch.cancel(r)
	}
	w.WriteHeader(http.StatusNoContent)
}
