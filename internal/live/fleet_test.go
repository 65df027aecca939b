package live

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/greengagewheel/greengagewheel/internal/contr"
	"github.com/greengagewheel/greengagewheel/internal/engine"
	"github.com/greengagewheel/greengagewheel/internal/rig"
	"github.com/greengagewheel/greengagewheel/pkg/chat"
)

const callerKey = "caller-key-for-tests"

var binDir string

func TestMain(m *testing.M) {
	os.Exit(buildAndRun(m))
}

// buildAndRun builds the binaries into a temporary folder, runs the tests and returns the exit code.
func buildAndRun(m *testing.M) int {
	dir, err := os.MkdirTemp("", "live")
	if err != nil {
		fmt.Println(err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	if err := rig.Build(dir, "../.."); err != nil {
		fmt.Println(err)
		return 1
	}
	binDir = dir
	return m.Run()
}

// fleet wraps a rig; its methods fail the test on errors.
type fleet struct {
	*rig.Rig
	t *testing.T
}

// instance is an instance of the rig with methods that send requests to it as a caller.
type instance struct {
	*rig.Instance
}

// limitSettings shortens the timeouts so that the failure tests end within seconds.
const limitSettings = "[limits]\ngap = \"1s\"\nfirst = \"10s\"\ncall = \"3s\"\n"

// newFleet starts n instances in three zones; the parameter replicas is the number of them, from the first on, that hold a replica of
// the log.
func newFleet(t *testing.T, n, replicas int) *fleet {
	return newFleetWith(t, rig.Options{Instances: n, Replicas: replicas})
}

func newFleetWith(t *testing.T, opt rig.Options) *fleet {
	dir, err := rig.TempDir()
	must(t, err)
	t.Cleanup(func() { must(t, os.RemoveAll(dir)) })
	opt.BinDir, opt.Dir, opt.ExtraSettings = binDir, dir, limitSettings+opt.ExtraSettings
	r, err := rig.New(opt)
	must(t, err)
	f := &fleet{Rig: r, t: t}
	t.Cleanup(f.close)
	must(t, r.Start())
	return f
}

func must(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// close stops all processes and, if the test failed, prints the end of each instance's log.
func (f *fleet) close() {
	f.Close()
	if !f.t.Failed() {
		return
	}
	for _, in := range f.Instances {
		log := in.Log()
		f.t.Logf("log of %s:\n%s", in.Name, log[max(0, len(log)-3000):])
	}
}

// waitUntil polls cond and fails the test if it does not hold within rig.WaitTimeout.
func waitUntil(t *testing.T, what string, cond func() bool) {
	t.Helper()
	must(t, rig.WaitUntil(what, cond))
}

// instance returns the i-th instance, from 0.
func (f *fleet) instance(i int) instance {
	return instance{f.Instances[i]}
}

// startEngine starts a simulated engine that serves model m.
func (f *fleet) startEngine(name, zone string, extra ...string) rig.Standin {
	s, err := f.Standin("engine", name, zone, "m", extra...)
	must(f.t, err)
	return s
}

// startService starts a simulated service named bookings.
func (f *fleet) startService(name, zone string, extra ...string) rig.Standin {
	s, err := f.Standin("service", name, zone, "bookings", extra...)
	must(f.t, err)
	return s
}

// putContract stores a new contract, waits until it is in force on all instances and returns its version.
func (f *fleet) putContract(c contr.Contract) uint64 {
	f.t.Helper()
	version, err := f.AddContract(c)
	must(f.t, err)
	return version
}

// waitForEndpoints waits until every instance sees at least n live endpoints of a model or service.
func (f *fleet) waitForEndpoints(name string, n int) {
	f.t.Helper()
	for _, in := range f.Instances {
		waitUntil(f.t, fmt.Sprintf("%s sees %d endpoints of %s", in.Name, n, name), func() bool { return in.LiveEndpoints(name) >= n })
	}
}

// contract returns a contract with two classes, quick and slow, and the given API keys.
func contract(customer string, keys ...string) contr.Contract {
	c := contr.Contract{Customer: customer, Classes: []contr.Class{
		{Name: "quick", Tier: 1, Share: 20, MaxQueueTime: contr.Duration(20 * time.Second)},
		{Name: "slow", Tier: 4, Share: 1, MaxQueueTime: contr.Duration(20 * time.Second)},
	}}
	for _, key := range keys {
		c.Keys = append(c.Keys, contr.HashKey(key))
	}
	return c
}

// response is a caller's view of one response, streamed or not; complete means that no part of it is missing.
type response struct {
	status       int
	text         string
	finishReason string
	complete     bool
	failure      chat.Error
	usage        *chat.Usage
	header       http.Header
	body         string
}

// chat sends a chat request and reads the whole response; canceling ctx closes the connection.
func (in instance) chat(ctx context.Context, key, class, id, prompt string, stream bool) (response, error) {
	body := fmt.Sprintf(`{"model":"m","max_tokens":4000,"stream":%v,"messages":[{"role":"user","content":%q}]}`, stream, prompt)
	req, _ := http.NewRequestWithContext(ctx, http.MethodPost, fmt.Sprintf("http://%s/v1/chat/completions", in.Callers),
		strings.NewReader(body))
	req.Header.Set("Authorization", "Bearer "+key)
	req.Header.Set("X-Class", class)
	if id != "" {
		req.Header.Set("X-Request-Id", id)
	}
	return send(req)
}

// chatMaxTokens sends a chat request that is not streamed, with a limit on the output tokens.
func (in instance) chatMaxTokens(key, prompt string, maxTokens int) (response, error) {
	body := fmt.Sprintf(`{"model":"m","max_tokens":%d,"messages":[{"role":"user","content":%q}]}`, maxTokens, prompt)
	req, _ := http.NewRequest(http.MethodPost, fmt.Sprintf("http://%s/v1/chat/completions", in.Callers), strings.NewReader(body))
	req.Header.Set("Authorization", "Bearer "+key)
	req.Header.Set("X-Class", "quick")
	return send(req)
}

// callService sends a request to the service bookings through an instance.
func (in instance) callService(ctx context.Context, method, path, key, body string) (response, error) {
	req, _ := http.NewRequestWithContext(ctx, method, fmt.Sprintf("http://%s/v1/services/bookings%s", in.Callers, path),
		strings.NewReader(body))
	req.Header.Set("Authorization", "Bearer "+callerKey)
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	return send(req)
}

func send(req *http.Request) (response, error) {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	httpResp, err := client.Do(req)
	if err != nil {
		return response{}, err
	}
	defer func() { _ = httpResp.Body.Close() }()
	resp := response{status: httpResp.StatusCode, header: httpResp.Header}
	if strings.HasPrefix(httpResp.Header.Get("Content-Type"), "text/event-stream") {
		return resp, resp.readStream(httpResp.Body)
	}
	data, err := io.ReadAll(httpResp.Body)
	resp.body = string(data)
	var answer chat.Completion
	var refusal chat.ErrorBody
	if json.Unmarshal(data, &refusal) == nil {
		resp.failure = refusal.Error
	}
	if json.Unmarshal(data, &answer) == nil && len(answer.Choices) > 0 && answer.Choices[0].Message != nil {
		resp.text, resp.complete, resp.usage = string(answer.Choices[0].Message.Content), true, answer.Usage
		resp.finishReason = *answer.Choices[0].FinishReason
	}
	return resp, err
}

func (resp *response) readStream(r io.Reader) error {
	scanner := bufio.NewScanner(r)
	for scanner.Scan() {
		data, ok := strings.CutPrefix(scanner.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			resp.complete = true
			continue
		}
		var event struct {
			chat.Completion
			chat.ErrorBody
		}
		if err := json.Unmarshal([]byte(data), &event); err != nil {
			return err
		}
		if event.Error.Code != "" {
			resp.failure = event.Error
			continue
		}
		if len(event.Choices) > 0 {
			resp.text += string(event.Choices[0].Delta.Content)
			if event.Choices[0].FinishReason != nil {
				resp.finishReason = *event.Choices[0].FinishReason
			}
		}
	}
	return scanner.Err()
}

// wantText returns the n tokens of text that a simulated engine generates for a chat prompt.
func wantText(prompt string, n int) string {
	return engine.ExpectedText("user: "+prompt+"\n", n)
}

// engineStats reads the counters of a simulated engine.
func engineStats(addr netip.AddrPort) engine.Stats {
	var s engine.Stats
	resp, err := http.Get(fmt.Sprintf("http://%s/stats", addr))
	if err != nil {
		return s
	}
	defer func() { _ = resp.Body.Close() }()
	_ = json.NewDecoder(resp.Body).Decode(&s)
	return s
}

// runCounts returns how often a simulated service has run each idempotency key.
func runCounts(addr netip.AddrPort) map[string]int {
	counts := map[string]int{}
	resp, err := http.Get(fmt.Sprintf("http://%s/runs", addr))
	if err != nil {
		return counts
	}
	defer func() { _ = resp.Body.Close() }()
	_ = json.NewDecoder(resp.Body).Decode(&counts)
	return counts
}
