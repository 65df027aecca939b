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

// Markers in a prompt that make the simulated engine fail.
const (
	// CrashMarker crashes the engine at the step in which the run would generate its first token.
	CrashMarker = "[[crash]]"
	// SilentMarker makes the engine send nothing after three tokens on the run's first connection, which stays open.
	SilentMarker = "[[silent]]"
	// CutMarker makes the engine close the run's first connection after three tokens.
	CutMarker = "[[cut]]"
)

const (
	// faultAfterTokens is the number of tokens sent on a connection before SilentMarker or CutMarker takes effect.
	faultAfterTokens = 3
	maxBodyBytes     = 8 << 20
)

type (
	// Options configures an Engine. A step takes StepTime plus StepTimePerRun for each active run.
	Options struct {
		Name           string
		Addr           netip.AddrPort
		Zone           string
		Models         []string
		Slots          int // largest number of active runs
		CacheBlocks    int // size of the prefix cache in blocks
		StepTime       time.Duration
		StepTimePerRun time.Duration
		PrefillPerStep int    // number of prompt tokens that one step can process
		EnforcesFence  bool   // refuse orders with an old fencing token
		Build          string // version of the software
		Seed           uint64 // determines which cache events are dropped
		OnCrash        func() // called, if set, after a crash by CrashMarker
	}

	// Engine simulates a model engine with continuous batching.
	Engine struct {
		opt          Options
		bootID       string
		mu           sync.Mutex
		batch        *batch
		orders       appliedOrders
		leaving      bool
		slowFactor   int
		rng          *rand.Rand
		faultedRuns  map[string]bool
		previousLoad endpt.Load
		server       *http.Server
		wg           conc.WaitGroup
		stopLoop     context.CancelFunc
	}
)

// New returns an engine that has not been started. Unset sizes and times in opt get small defaults.
func New(opt Options) *Engine {
	if opt.Slots == 0 {
		opt.Slots = 8
	}
	if opt.CacheBlocks == 0 {
		opt.CacheBlocks = 4096
	}
	if opt.StepTime == 0 {
		opt.StepTime = 10 * time.Millisecond
	}
	if opt.PrefillPerStep == 0 {
		opt.PrefillPerStep = 512
	}
	return &Engine{
		opt:         opt,
		batch:       newBatch(opt.Slots, opt.CacheBlocks),
		rng:         rand.New(rand.NewPCG(opt.Seed, opt.Seed)),
		faultedRuns: map[string]bool{},
		slowFactor:  1,
	}
}

// Start listens on the engine's address and starts serving and generating. Each start has a new boot ID.
func (e *Engine) Start() error {
	listener, err := net.Listen("tcp", e.opt.Addr.String())
	if err != nil {
		return err
	}
	e.opt.Addr = netip.MustParseAddrPort(listener.Addr().String())
	e.bootID = fmt.Sprintf("%s-%x", e.opt.Name, time.Now().UnixNano())
	ctx, stop := context.WithCancel(context.Background())
	e.stopLoop = stop
	e.server = &http.Server{Handler: e.routes(), ReadHeaderTimeout: 5 * time.Second}
	e.wg.Go(func() { _ = e.server.Serve(listener) })
	e.wg.Go(func() { e.loop(ctx) })
	return nil
}

// Addr returns the address that the engine listens on.
func (e *Engine) Addr() netip.AddrPort {
	return e.opt.Addr
}

// Crash stops the engine at once and closes its connections.
func (e *Engine) Crash() {
	e.stopLoop()
	_ = e.server.Close()
}

// Leave marks the engine as leaving in its further announcements.
func (e *Engine) Leave() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = true
}

// SetSlowFactor multiplies the duration of each step by factor.
func (e *Engine) SetSlowFactor(factor int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.slowFactor = factor
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

// NextAnnouncement returns the announcement to send now. To simulate lagging and lost reports, its load is the one at the previous
// call, and one cache event in 20 is dropped at random.
func (e *Engine) NextAnnouncement() endpt.Announcement {
	e.mu.Lock()
	defer e.mu.Unlock()
	load := e.previousLoad
	e.previousLoad = endpt.Load{Running: len(e.batch.active), Waiting: len(e.batch.waiting)}
	var events []endpt.CacheEvent
	for _, ev := range e.batch.cache.takeEvents() {
		if e.rng.IntN(20) != 0 {
			events = append(events, ev)
		}
	}
	return endpt.Announcement{
		Name: e.opt.Name, Addr: e.opt.Addr, Boot: e.bootID, Zone: e.opt.Zone, Kind: endpt.Engine,
		Models: e.opt.Models, Slots: e.opt.Slots, Load: load, Leaving: e.leaving, EnforcesFence: e.opt.EnforcesFence,
		Build: e.opt.Build, Events: events,
	}
}

// loop runs one step after another until ctx is done or the engine crashes.
func (e *Engine) loop(ctx context.Context) {
	for {
		e.mu.Lock()
		stepTime := e.opt.StepTime + time.Duration(len(e.batch.active))*e.opt.StepTimePerRun
		stepTime *= time.Duration(e.slowFactor)
		e.mu.Unlock()
		select {
		case <-ctx.Done():
			return
		case <-time.After(stepTime):
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

// tick runs one step, unless a run with CrashMarker is due for its first token: then it reports true.
func (e *Engine) tick(now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.batch.admit()
	for _, r := range e.batch.active {
		if r.prefillLeft == 0 && strings.Contains(r.prompt, CrashMarker) {
			return true
		}
	}
	e.batch.step(now, e.opt.PrefillPerStep)
	return false
}

func (e *Engine) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", func(w http.ResponseWriter, r *http.Request) { e.handleCompletion(w, r, true) })
	mux.HandleFunc("POST /v1/completions", func(w http.ResponseWriter, r *http.Request) { e.handleCompletion(w, r, false) })
	mux.HandleFunc("DELETE /v1/runs/{id}", e.handleCancel)
	mux.HandleFunc("POST /v1/orders", e.handleOrder)
	mux.HandleFunc("GET /v1/orders", e.handleOrderState)
	mux.HandleFunc("GET /v1/kv", e.handleExportKV)
	mux.HandleFunc("POST /v1/kv", e.handleImportKV)
	mux.HandleFunc("GET /stats", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, e.Stats()) })
	mux.HandleFunc("POST /fault/slow/{factor}", func(_ http.ResponseWriter, r *http.Request) {
		if n, err := strconv.Atoi(r.PathValue("factor")); err == nil && n > 0 {
			e.SetSlowFactor(n)
		}
	})
	mux.HandleFunc("POST /fault/leave", func(http.ResponseWriter, *http.Request) { e.Leave() })
	return mux
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

func writeError(w http.ResponseWriter, status int, err error) {
	writeJSON(w, status, chat.ErrorBody{Error: chat.Error{Message: err.Error(), Type: "engine", Ran: chat.RanNo}})
}

func (e *Engine) handleCompletion(w http.ResponseWriter, httpReq *http.Request, isChat bool) {
	body, err := io.ReadAll(http.MaxBytesReader(w, httpReq.Body, maxBodyBytes))
	if err != nil {
		writeError(w, http.StatusRequestEntityTooLarge, err)
		return
	}
	req, err := chat.DecodeRequest(body, isChat)
	if err != nil {
		writeError(w, http.StatusBadRequest, err)
		return
	}
	offset, _ := strconv.Atoi(httpReq.Header.Get("Last-Event-ID"))
	priority, _ := strconv.Atoi(httpReq.Header.Get("X-Priority"))
	r, err := e.attach(httpReq.Header.Get("X-Request-Id"), req, offset, priority)
	if err != nil {
		writeError(w, http.StatusConflict, err)
		return
	}
	defer e.detach(r)
	e.streamRun(w, httpReq, r, req, isChat, offset)
}

// attach returns the run with the given ID, or starts one that continues from the offset, in tokens. A canceled run, or one that
// started beyond the offset, is not reused. It returns an error if the run with that ID has another prompt.
func (e *Engine) attach(id string, req chat.Request, offset, priority int) (*run, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	prompt := req.InputText()
	if r := e.batch.runs[id]; id != "" && r != nil && !r.canceled && offset >= r.startOffset {
		if r.prompt != prompt {
			return nil, errors.New("run ID in use with another prompt")
		}
		r.readers++
		return r, nil
	}
	if id == "" {
		id = fmt.Sprintf("run-%d", e.batch.stats.Runs)
	}
	maxTokens := min(OutputLength(prompt), req.OutputLimit())
	r := &run{
		id: id, prompt: prompt, seed: xxhash.Sum64String(prompt), maxTokens: maxTokens, priority: priority,
		startOffset: offset, generated: offset, readers: 1, changed: make(chan struct{}),
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
	r.idleSince = time.Now()
}

// streamRun sends the tokens of a run from the offset on as server-sent events, each with its position in the run as event ID.
func (e *Engine) streamRun(w http.ResponseWriter, httpReq *http.Request, r *run, req chat.Request, isChat bool, offset int) {
	w.Header().Set("Content-Type", "text/event-stream")
	if e.opt.Build != "" {
		w.Header().Set("X-Build", e.opt.Build)
	}
	w.WriteHeader(http.StatusOK)
	controller := http.NewResponseController(w)
	_ = controller.Flush()
	sent := offset
	for {
		e.mu.Lock()
		generated, done, canceled, changed := r.generated, r.done, r.canceled, r.changed
		e.mu.Unlock()
		for ; sent < generated; sent++ {
			if e.injectFault(httpReq, w, r, sent-offset) {
				return
			}
			writeEvent(w, sent+1, chunk(r, req, isChat, token(r.seed, sent)))
		}
		if canceled {
			return
		}
		if done {
			writeEvent(w, sent, finalChunk(r, req, isChat))
			_, _ = io.WriteString(w, "data: "+chat.EndOfStream+"\n\n")
			e.countSent(sent - offset)
			return
		}
		if controller.Flush() != nil {
			e.countSent(sent - offset)
			return
		}
		select {
		case <-changed:
		case <-httpReq.Context().Done():
			e.countSent(sent - offset)
			return
		}
	}
}

func (e *Engine) countSent(sent int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.batch.stats.Sent += sent
}

// injectFault closes or silences the first connection of a run whose prompt holds the marker for that, once enough tokens were sent
// on it. It reports whether the connection ends.
func (e *Engine) injectFault(httpReq *http.Request, w http.ResponseWriter, r *run, sent int) bool {
	silent := strings.Contains(r.prompt, SilentMarker)
	if sent != faultAfterTokens || !silent && !strings.Contains(r.prompt, CutMarker) {
		return false
	}
	e.mu.Lock()
	alreadyInjected := e.faultedRuns[r.id]
	e.faultedRuns[r.id] = true
	e.mu.Unlock()
	if alreadyInjected {
		return false
	}
	_ = http.NewResponseController(w).Flush()
	if silent {
		<-httpReq.Context().Done()
		return true
	}
	if conn, _, err := http.NewResponseController(w).Hijack(); err == nil {
		_ = conn.Close()
	}
	return true
}

func writeEvent(w io.Writer, id int, answer chat.Completion) {
	data, _ := json.Marshal(answer)
	_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", id, data)
}

func chunk(r *run, req chat.Request, isChat bool, text string) chat.Completion {
	if isChat {
		return chat.Completion{ID: r.id, Object: "chat.completion.chunk", Model: req.Model,
			Choices: []chat.Choice{{Delta: &chat.Message{Role: "assistant", Content: chat.Content(text)}}}}
	}
	return chat.Completion{ID: r.id, Object: "text_completion", Model: req.Model, Choices: []chat.Choice{{Text: &text}}}
}

func finalChunk(r *run, req chat.Request, isChat bool) chat.Completion {
	answer := chunk(r, req, isChat, "")
	reason := chat.FinishStop
	if r.generated >= req.OutputLimit() {
		reason = chat.FinishLength
	}
	answer.Choices[0].FinishReason = &reason
	promptTokens := chat.EstimateTokens(r.prompt)
	answer.Usage = &chat.Usage{PromptTokens: promptTokens, CompletionTokens: r.generated, TotalTokens: promptTokens + r.generated}
	return answer
}

func (e *Engine) handleCancel(w http.ResponseWriter, req *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if r := e.batch.runs[req.PathValue("id")]; r != nil {
		e.batch.cancel(r)
	}
	w.WriteHeader(http.StatusNoContent)
}
