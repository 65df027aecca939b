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
	requestTimeout   = 90 * time.Second
	progressInterval = time.Second
	statsInterval    = 50 * time.Millisecond
	statsTimeout     = time.Second
	maxRetryAfter    = 2 * time.Second
	bytesPerToken    = 4
	// maxPrefixTokens is the largest size of a prompt's shared prefix.
	maxPrefixTokens = 256
)

type (
	// Options configures a replay. The counters of the simulated endpoints at Engines and Services are read for the report.
	Options struct {
		Targets  []netip.AddrPort  // addresses of the instances for callers
		Keys     map[string]string // API key of each customer
		Engines  []netip.AddrPort
		Services []netip.AddrPort
		Retries  int                   // largest number of times that a refused request is sent again
		Verify   bool                  // compare the streamed answers with the text that the engines generate
		Progress func(done, total int) // called, if set, about every second
	}

	// outcome is the result of one request as its caller saw it.
	outcome struct {
		complete          bool
		mismatched        bool          // the answer holds other text than expected
		code              string        // error code; empty if there was none
		firstTokenTime    time.Duration // from the first attempt to the first token, or to the whole answer of a service
		meanTokenInterval time.Duration
		tokens            int
		retryAfter        time.Duration // 0 means that the request is not sent again
	}

	// runner is the state of one replay. The keys of reports and classes are customer and class.
	runner struct {
		opt       Options
		tr        *trace.Trace
		client    *http.Client
		balancer  *balancer
		completed atomic.Int64
		mu        sync.Mutex
		reports   map[[2]string]*ClassReport
		classes   map[[2]string]trace.Class
	}
)

// Run sends each request of a trace at its recorded time, to the ready targets in turn, and returns a report after the last has ended.
// It returns an error if opt has no targets.
func Run(ctx context.Context, tr *trace.Trace, opt Options) (*Report, error) {
	if len(opt.Targets) == 0 {
		return nil, errors.New("replay: no target")
	}
	transport := conns.NewTransport(netip.Addr{})
	transport.MaxIdleConnsPerHost = 256
	r := &runner{
		opt: opt, tr: tr, client: &http.Client{Transport: transport, Timeout: requestTimeout},
		balancer: newBalancer(opt.Targets), reports: map[[2]string]*ClassReport{}, classes: map[[2]string]trace.Class{},
	}
	for _, class := range tr.Header.Classes {
		key := [2]string{class.Customer, class.Class}
		r.classes[key] = class
		r.reports[key] = &ClassReport{Customer: class.Customer, Class: class.Class, Tier: class.Tier, Codes: map[string]int{}}
	}
	counters := newEngineCounters(opt.Engines)
	pollCtx, stop := context.WithCancel(ctx)
	defer stop()
	var wg conc.WaitGroup
	wg.Go(func() { counters.poll(pollCtx) })
	wg.Go(func() { r.balancer.watch(pollCtx) })
	wg.Go(func() { r.progress(pollCtx) })
	start := time.Now()
	r.sendAll(ctx, start)
	elapsed := time.Since(start)
	time.Sleep(statsInterval)
	stop()
	wg.Wait()
	return r.report(elapsed, counters), nil
}

func (r *runner) progress(ctx context.Context) {
	pace.Every(ctx, progressInterval, func() {
		if r.opt.Progress != nil {
			r.opt.Progress(int(r.completed.Load()), len(r.tr.Records))
		}
	})
}

// sendAll sends the requests at their recorded times after start, and waits until all have ended.
func (r *runner) sendAll(ctx context.Context, start time.Time) {
	var wg conc.WaitGroup
	defer wg.Wait()
	for i, record := range r.tr.Records {
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(start.Add(record.Arrival.Std()))):
		}
		wg.Go(func() {
			r.sendWithRetries(ctx, i, record)
			r.completed.Add(1)
		})
	}
}

// sendWithRetries sends a request and retries it after a refusal, up to the limit in the options. Its times are measured from the first
// attempt.
func (r *runner) sendWithRetries(ctx context.Context, i int, record trace.Record) {
	start := time.Now()
	var o outcome
	for attempt := 0; ; attempt++ {
		o = r.send(ctx, r.balancer.pick(i+attempt), i, record, start)
		if o.code == "" || o.retryAfter == 0 || attempt >= r.opt.Retries {
			break
		}
		time.Sleep(min(o.retryAfter, maxRetryAfter))
	}
	key := [2]string{record.Customer, record.Class}
	r.mu.Lock()
	defer r.mu.Unlock()
	if report := r.reports[key]; report != nil {
		report.addOutcome(o, r.classes[key])
	}
}

// prompt returns the prompt for a record: a prefix shared by the records of its group, a unique part, and the length marker. Padding
// brings it to the recorded input length.
func prompt(i int, record trace.Record) string {
	shared := strings.Repeat(fmt.Sprintf("g%02d ", record.PromptGroup%100), min(record.InputTokens, maxPrefixTokens))
	unique := fmt.Sprintf("request %d %s[[out=%d]]%s ", i, record.Customer, record.OutputTokens, record.Marker)
	padding := max(record.InputTokens*bytesPerToken-len(shared)-len(unique), 0)
	return shared + unique + strings.Repeat("x", padding)
}

func (r *runner) send(ctx context.Context, target netip.AddrPort, i int, record trace.Record, start time.Time) outcome {
	req, want, err := r.newRequest(ctx, target, i, record)
	if err != nil {
		return outcome{code: "bad_record"}
	}
	req.Header.Set("Authorization", "Bearer "+r.opt.Keys[record.Customer])
	req.Header.Set("X-Class", record.Class)
	resp, err := r.client.Do(req)
	if err != nil {
		return outcome{code: "connection_failed", retryAfter: time.Second}
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return refusedOutcome(resp)
	}
	if record.Kind == trace.Service {
		_, err := io.Copy(io.Discard, resp.Body)
		return outcome{complete: err == nil, firstTokenTime: time.Since(start)}
	}
	o, text := readStream(resp.Body, start)
	o.mismatched = r.opt.Verify && !strings.HasPrefix(want, text) || o.complete && r.opt.Verify && text != want
	return o
}

// newRequest returns the HTTP request for a record, and the text expected in the answer to a generation.
func (r *runner) newRequest(ctx context.Context, target netip.AddrPort, i int, record trace.Record) (*http.Request, string, error) {
	if record.Kind == trace.Service {
		url := fmt.Sprintf("http://%s/v1/services/%s/call", target, r.tr.Header.Service)
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(fmt.Sprintf(`{"n":%d}`, i)))
		if err == nil && record.IdempotencyKey != "" {
			req.Header.Set("Idempotency-Key", record.IdempotencyKey)
		}
		return req, "", err
	}
	text := prompt(i, record)
	body, err := json.Marshal(chat.Request{
		Model: r.tr.Header.Model, Stream: true, MaxTokens: max(record.OutputTokens, 1),
		Messages: []chat.Message{{Role: "user", Content: chat.Content(text)}},
	})
	if err != nil {
		return nil, "", err
	}
	url := fmt.Sprintf("http://%s/v1/chat/completions", target)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(string(body)))
	if err == nil {
		req.Header.Set("X-Request-Id", fmt.Sprintf("%s-%d", r.tr.Header.Name, i))
	}
	return req, engine.ExpectedText("user: "+text+"\n", record.OutputTokens), err
}

func refusedOutcome(resp *http.Response) outcome {
	var failure chat.ErrorBody
	_ = json.NewDecoder(resp.Body).Decode(&failure)
	code := failure.Error.Code
	if code == "" {
		code = fmt.Sprintf("status_%d", resp.StatusCode)
	}
	return outcome{code: code, retryAfter: time.Duration(failure.Error.RetryAfter) * time.Second}
}

// readStream reads a streamed answer and returns its outcome and text. The time to the first token is measured from start.
func readStream(body io.Reader, start time.Time) (outcome, string) {
	var o outcome
	var text strings.Builder
	var last time.Time
	scanner := bufio.NewScanner(body)
	for scanner.Scan() {
		data, ok := strings.CutPrefix(scanner.Text(), "data: ")
		if !ok {
			continue
		}
		if data == chat.EndOfStream {
			o.complete = true
			break
		}
		var event struct {
			chat.Completion
			chat.ErrorBody
		}
		if json.Unmarshal([]byte(data), &event) != nil || event.Error.Code != "" {
			o.code = event.Error.Code
			break
		}
		if len(event.Choices) == 0 || event.Choices[0].Delta == nil || event.Choices[0].Delta.Content == "" {
			continue
		}
		now := time.Now()
		if o.tokens == 0 {
			o.firstTokenTime = now.Sub(start)
		} else {
			o.meanTokenInterval += now.Sub(last)
		}
		last = now
		o.tokens++
		text.WriteString(string(event.Choices[0].Delta.Content))
	}
	if o.tokens > 1 {
		o.meanTokenInterval /= time.Duration(o.tokens - 1)
	}
	if !o.complete && o.code == "" {
		o.code = "connection_broke"
	}
	return o, text.String()
}

func (r *runner) report(elapsed time.Duration, counters *engineCounters) *Report {
	report := &Report{Trace: r.tr.Header.Name, Elapsed: elapsed}
	for _, class := range r.tr.Header.Classes {
		classReport := r.reports[[2]string{class.Customer, class.Class}]
		classReport.computeQuantiles()
		report.Classes = append(report.Classes, classReport)
		report.Sent += classReport.Sent
		report.Attained += classReport.Attained
		report.Delivered += classReport.Tokens
	}
	report.Goodput = float64(report.Attained) / elapsed.Seconds()
	total := counters.total()
	report.Generated, report.Prefill, report.Cached = total.Tokens, total.Prefill, total.Cached
	if report.Generated > 0 {
		report.Wasted = max(report.Generated-report.Delivered, 0)
	}
	report.DuplicateRuns = countDuplicateRuns(r.opt.Services)
	return report
}
