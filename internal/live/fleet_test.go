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

const callKey = "caller-key-for-tests"

var binDir string

func TestMain(m *testing.M) {
	os.Exit(build(m))
}

// build makes the two programs and runs the tests with them.
func build(m *testing.M) int {
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

// fleet is a rig whose failures fail the test.
type fleet struct {
	*rig.Rig
	t *testing.T
}

// inst is an instance as callers see it.
type inst struct {
	*rig.Instance
}

const limits = "[limits]\ngap = \"1s\"\nfirst = \"10s\"\ncall = \"3s\"\n"

// newFleet starts n instances in three zones, of which the first so many hold the log.
func newFleet(t *testing.T, n, replicas int) *fleet {
	return newFleetWith(t, rig.Options{Instances: n, Replicas: replicas})
}

func newFleetWith(t *testing.T, opt rig.Options) *fleet {
	opt.BinDir, opt.Dir, opt.ExtraSettings = binDir, t.TempDir(), limits+opt.ExtraSettings
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

// close ends what is left of the fleet, and shows the logs of a failed test.
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

// until waits for cond to hold.
func until(t *testing.T, what string, cond func() bool) {
	t.Helper()
	must(t, rig.WaitUntil(what, cond))
}

// at returns the instance with a number as callers see it.
func (f *fleet) at(i int) inst {
	return inst{f.Instances[i]}
}

// engine starts a stand-in engine of model m.
func (f *fleet) engine(name, zone string, extra ...string) rig.Standin {
	s, err := f.Standin("engine", name, zone, "m", extra...)
	must(f.t, err)
	return s
}

// service starts a stand-in service that serves bookings.
func (f *fleet) service(name, zone string, extra ...string) rig.Standin {
	s, err := f.Standin("service", name, zone, "bookings", extra...)
	must(f.t, err)
	return s
}

// enter puts a contract in and waits until it is in force everywhere.
func (f *fleet) enter(k contr.Contract) uint64 {
	f.t.Helper()
	v, err := f.AddContract(k)
	must(f.t, err)
	return v
}

// serving waits until so many endpoints of a model or service are live.
func (f *fleet) serving(what string, n int) {
	f.t.Helper()
	for _, in := range f.Instances {
		until(f.t, fmt.Sprintf("%s sees %d endpoints of %s", in.Name, n, what), func() bool { return in.LiveEndpoints(what) >= n })
	}
}

// contract is a contract of two classes with the given keys.
func contract(customer string, keys ...string) contr.Contract {
	k := contr.Contract{Customer: customer, Classes: []contr.Class{
		{Name: "quick", Tier: 1, Share: 20, MaxQueueTime: contr.Duration(20 * time.Second)},
		{Name: "slow", Tier: 4, Share: 1, MaxQueueTime: contr.Duration(20 * time.Second)},
	}}
	for _, key := range keys {
		k.Keys = append(k.Keys, contr.HashKey(key))
	}
	return k
}

// said is a caller's view of one answer.
type said struct {
	status int
	text   string
	finish string
	done   bool
	fail   chat.Error
	usage  *chat.Usage
	header http.Header
	raw    string
}

// chat sends a chat request to an instance and reads the whole answer; ctx hangs up.
func (in inst) chat(ctx context.Context, key, class, id, prompt string, stream bool) (said, error) {
	body := fmt.Sprintf(`{"model":"m","max_tokens":4000,"stream":%v,"messages":[{"role":"user","content":%q}]}`, stream, prompt)
	q, _ := http.NewRequestWithContext(ctx, http.MethodPost, fmt.Sprintf("http://%s/v1/chat/completions", in.Callers), strings.NewReader(body))
	q.Header.Set("Authorization", "Bearer "+key)
	q.Header.Set("X-Class", class)
	if id != "" {
		q.Header.Set("X-Request-Id", id)
	}
	return ask(q)
}

// chatBound sends a whole chat request with a bound on its output.
func (in inst) chatBound(key, prompt string, bound int) (said, error) {
	body := fmt.Sprintf(`{"model":"m","max_tokens":%d,"messages":[{"role":"user","content":%q}]}`, bound, prompt)
	q, _ := http.NewRequest(http.MethodPost, fmt.Sprintf("http://%s/v1/chat/completions", in.Callers), strings.NewReader(body))
	q.Header.Set("Authorization", "Bearer "+key)
	q.Header.Set("X-Class", "quick")
	return ask(q)
}

// call sends a request to a plain service through an instance.
func (in inst) call(ctx context.Context, method, path, key, body string) (said, error) {
	q, _ := http.NewRequestWithContext(ctx, method, fmt.Sprintf("http://%s/v1/services/bookings%s", in.Callers, path), strings.NewReader(body))
	q.Header.Set("Authorization", "Bearer "+callKey)
	if key != "" {
		q.Header.Set("Idempotency-Key", key)
	}
	return ask(q)
}

func ask(q *http.Request) (said, error) {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(q)
	if err != nil {
		return said{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	s := said{status: resp.StatusCode, header: resp.Header}
	if strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream") {
		return s, s.readStream(resp.Body)
	}
	data, err := io.ReadAll(resp.Body)
	s.raw = string(data)
	var a chat.Completion
	var fail chat.ErrorBody
	if json.Unmarshal(data, &fail) == nil {
		s.fail = fail.Error
	}
	if json.Unmarshal(data, &a) == nil && len(a.Choices) > 0 && a.Choices[0].Message != nil {
		s.text, s.done, s.usage = string(a.Choices[0].Message.Content), true, a.Usage
		s.finish = *a.Choices[0].FinishReason
	}
	return s, err
}

func (s *said) readStream(r io.Reader) error {
	sc := bufio.NewScanner(r)
	for sc.Scan() {
		data, ok := strings.CutPrefix(sc.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			s.done = true
			continue
		}
		var a struct {
			chat.Completion
			chat.ErrorBody
		}
		if err := json.Unmarshal([]byte(data), &a); err != nil {
			return err
		}
		if a.Error.Code != "" {
			s.fail = a.Error
			continue
		}
		if len(a.Choices) > 0 {
			s.text += string(a.Choices[0].Delta.Content)
			if a.Choices[0].FinishReason != nil {
				s.finish = *a.Choices[0].FinishReason
			}
		}
	}
	return sc.Err()
}

// want is the text that a stand-in engine gives for a chat prompt of n tokens.
func want(prompt string, n int) string {
	return engine.ExpectedText("user: "+prompt+"\n", n)
}

// stats reads a stand-in engine's counters.
func stats(addr netip.AddrPort) engine.Stats {
	var s engine.Stats
	resp, err := http.Get(fmt.Sprintf("http://%s/stats", addr))
	if err != nil {
		return s
	}
	defer func() { _ = resp.Body.Close() }()
	_ = json.NewDecoder(resp.Body).Decode(&s)
	return s
}

// ran reads how often each key ran at a stand-in service.
func ran(addr netip.AddrPort) map[string]int {
	out := map[string]int{}
	resp, err := http.Get(fmt.Sprintf("http://%s/runs", addr))
	if err != nil {
		return out
	}
	defer func() { _ = resp.Body.Close() }()
	_ = json.NewDecoder(resp.Body).Decode(&out)
	return out
}
