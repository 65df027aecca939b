package replay

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/greengagewheel/greengagewheel/internal/conns"
	"github.com/greengagewheel/greengagewheel/internal/engine"
	"github.com/greengagewheel/greengagewheel/internal/pace"
	"github.com/greengagewheel/greengagewheel/pkg/chat"
	"github.com/greengagewheel/greengagewheel/pkg/trace"
)

const (
	requestTimeout = 90 * time.Second
	progressEvery  = time.Second
	statsEvery     = 50 * time.Millisecond
	statsTimeout   = time.Second
	maxRetryAfter  = 2 * time.Second
	bytesPerToken  = 4
	prefixTokens   = 256
)

type (
	// Options holds what a replay needs: callers' addresses, customers' keys, and the stand-ins' addresses where wasted work is to be counted.
	Options struct {
		Targets  []netip.AddrPort
		Keys     map[string]string
		Engines  []netip.AddrPort
		Services []netip.AddrPort
		Retries  int
		Verify   bool
		Progress func(done, total int)
	}

	// outcome is what one caller saw.
	outcome struct {
		whole  bool
		wrong  bool
		code   string
		first  time.Duration
		gap    time.Duration
		tokens int
		retry  time.Duration
	}

	runner struct {
		opt     Options
		tr      *trace.Trace
		client  *http.Client
		targets *balancer
		done    atomic.Int64
		mu      sync.Mutex
		rep     map[[2]string]*ClassReport
		target  map[[2]string]trace.Class
	}
)

// Run sends each request of a trace at its recorded time, to the ready targets in turn, and reports.
func Run(ctx context.Context, tr *trace.Trace, opt Options) (*Report, error) {
	if len(opt.Targets) == 0 {
		return nil, errors.New("replay: no target")
	}
	t := conns.NewTransport(netip.Addr{})
	t.MaxIdleConnsPerHost = 256
	r := &runner{
		opt: opt, tr: tr, client: &http.Client{Transport: t, Timeout: requestTimeout},
		targets: newBalancer(opt.Targets), rep: map[[2]string]*ClassReport{}, target: map[[2]string]trace.Class{},
	}
	for _, c := range tr.Header.Classes {
		key := [2]string{c.Customer, c.Class}
		r.target[key] = c
		r.rep[key] = &ClassReport{Customer: c.Customer, Class: c.Class, Tier: c.Tier, Codes: map[string]int{}}
	}
	counts := newCounter(opt.Engines)
	sctx, stop := context.WithCancel(ctx)
	defer stop()
	var wg conc.WaitGroup
	wg.Go(func() { counts.poll(sctx) })
	wg.Go(func() { r.targets.watch(sctx) })
	wg.Go(func() { r.progress(sctx) })
	start := time.Now()
	r.drive(ctx, start)
	took := time.Since(start)
	time.Sleep(statsEvery)
	stop()
	wg.Wait()
	return r.report(took, counts), nil
}

func (r *runner) progress(ctx context.Context) {
	pace.Every(ctx, progressEvery, func() {
		if r.opt.Progress != nil {
			r.opt.Progress(int(r.done.Load()), len(r.tr.Records))
		}
	})
}

func (r *runner) drive(ctx context.Context, start time.Time) {
	var wg conc.WaitGroup
	defer wg.Wait()
	for i, rec := range r.tr.Records {
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(start.Add(rec.Arrival.Std()))):
		}
		wg.Go(func() {
			r.one(ctx, i, rec)
			r.done.Add(1)
		})
	}
}

// one sends a request, and again after a refusal as often as the options allow; times count from the first sending.
func (r *runner) one(ctx context.Context, i int, rec trace.Record) {
	start := time.Now()
	var o outcome
	for try := 0; ; try++ {
		o = r.send(ctx, r.targets.pick(i+try), i, rec, start)
		if o.code == "" || o.retry == 0 || try >= r.opt.Retries {
			break
		}
		time.Sleep(min(o.retry, maxRetryAfter))
	}
	key := [2]string{rec.Customer, rec.Class}
	r.mu.Lock()
	defer r.mu.Unlock()
	if c := r.rep[key]; c != nil {
		c.add(o, r.target[key])
	}
}

// prompt returns a record's prompt: a prefix that its group shares, a text of its own, and the marker of its output length.
func prompt(i int, rec trace.Record) string {
	shared := strings.Repeat(fmt.Sprintf("g%02d ", rec.PromptGroup%100), min(rec.Input, prefixTokens))
	own := fmt.Sprintf("request %d %s[[out=%d]]%s ", i, rec.Customer, rec.Output, rec.Marker)
	pad := max(rec.Input*bytesPerToken-len(shared)-len(own), 0)
	return shared + own + strings.Repeat("x", pad)
}

func (r *runner) send(ctx context.Context, to netip.AddrPort, i int, rec trace.Record, start time.Time) outcome {
	q, want, err := r.request(ctx, to, i, rec)
	if err != nil {
		return outcome{code: "bad_record"}
	}
	q.Header.Set("Authorization", "Bearer "+r.opt.Keys[rec.Customer])
	q.Header.Set("X-Class", rec.Class)
	resp, err := r.client.Do(q)
	if err != nil {
		return outcome{code: "connection_failed", retry: time.Second}
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return refusal(resp)
	}
	if rec.Kind == trace.Service {
		_, err := io.Copy(io.Discard, resp.Body)
		return outcome{whole: err == nil, first: time.Since(start)}
	}
	o, text := readStream(resp.Body, start)
	o.wrong = r.opt.Verify && !strings.HasPrefix(want, text) || o.whole && r.opt.Verify && text != want
	return o
}

func (r *runner) request(ctx context.Context, to netip.AddrPort, i int, rec trace.Record) (*http.Request, string, error) {
	if rec.Kind == trace.Service {
		url := fmt.Sprintf("http://%s/v1/services/%s/call", to, r.tr.Header.Service)
		q, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(fmt.Sprintf(`{"n":%d}`, i)))
		if err == nil && rec.IdempotencyKey != "" {
			q.Header.Set("Idempotency-Key", rec.IdempotencyKey)
		}
		return q, "", err
	}
	p := prompt(i, rec)
	body, err := json.Marshal(chat.Request{
		Model: r.tr.Header.Model, Stream: true, MaxTokens: max(rec.Output, 1), Messages: []chat.Message{{Role: "user", Content: chat.Content(p)}},
	})
	if err != nil {
		return nil, "", err
	}
	url := fmt.Sprintf("http://%s/v1/chat/completions", to)
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(string(body)))
	if err == nil {
		q.Header.Set("X-Request-Id", fmt.Sprintf("%s-%d", r.tr.Header.Name, i))
	}
	return q, engine.Text("user: "+p+"\n", rec.Output), err
}

func refusal(resp *http.Response) outcome {
	var f chat.ErrorBody
	_ = json.NewDecoder(resp.Body).Decode(&f)
	code := f.Error.Code
	if code == "" {
		code = fmt.Sprintf("status_%d", resp.StatusCode)
	}
	return outcome{code: code, retry: time.Duration(f.Error.RetryAfter) * time.Second}
}

// readStream reads a streamed answer and times its tokens from start on.
func readStream(body io.Reader, start time.Time) (outcome, string) {
	var o outcome
	var text strings.Builder
	var last time.Time
	sc := bufio.NewScanner(body)
	for sc.Scan() {
		data, ok := strings.CutPrefix(sc.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			o.whole = true
			break
		}
		var a struct {
			chat.Completion
			chat.ErrorBody
		}
		if json.Unmarshal([]byte(data), &a) != nil || a.Error.Code != "" {
			o.code = a.Error.Code
			break
		}
		if len(a.Choices) == 0 || a.Choices[0].Delta == nil || a.Choices[0].Delta.Content == "" {
			continue
		}
		now := time.Now()
		if o.tokens == 0 {
			o.first = now.Sub(start)
		} else {
			o.gap += now.Sub(last)
		}
		last = now
		o.tokens++
		text.WriteString(string(a.Choices[0].Delta.Content))
	}
	if o.tokens > 1 {
		o.gap /= time.Duration(o.tokens - 1)
	}
	if !o.whole && o.code == "" {
		o.code = "connection_broke"
	}
	return o, text.String()
}

func (r *runner) report(took time.Duration, counts *counter) *Report {
	rep := &Report{Trace: r.tr.Header.Name, Took: took}
	for _, c := range r.tr.Header.Classes {
		cr := r.rep[[2]string{c.Customer, c.Class}]
		cr.close()
		rep.Classes = append(rep.Classes, cr)
		rep.Sent += cr.Sent
		rep.Attained += cr.Attained
		rep.Delivered += cr.Tokens
	}
	rep.Goodput = float64(rep.Attained) / took.Seconds()
	total := counts.total()
	rep.Generated, rep.Prefill, rep.Cached = total.Tokens, total.Prefill, total.Cached
	if rep.Generated > 0 {
		rep.Wasted = max(rep.Generated-rep.Delivered, 0)
	}
	rep.Doubled = doubled(r.opt.Services)
	return rep
}
