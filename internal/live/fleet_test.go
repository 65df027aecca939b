package live

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/greengagewheel/greengagewheel/internal/admin"
	"github.com/greengagewheel/greengagewheel/internal/contr"
	"github.com/greengagewheel/greengagewheel/internal/ctrl"
	"github.com/greengagewheel/greengagewheel/internal/engine"
	"github.com/greengagewheel/greengagewheel/internal/sched"
	"github.com/greengagewheel/greengagewheel/pkg/chat"
)

const (
	opKey   = "operator-key-for-tests"
	endKey  = "endpoint-key-for-tests"
	secret  = "shared-secret-for-tests"
	callKey = "caller-key-for-tests"
	// patience bounds each wait for something that must happen; it is no timing assertion.
	patience = 30 * time.Second
)

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
	out, err := exec.Command("go", "build", "-o", dir, "../../cmd/greengagewheel", "../../cmd/standin").CombinedOutput()
	if err != nil {
		fmt.Println(string(out), err)
		return 1
	}
	binDir = dir
	return m.Run()
}

type (
	// proc is one process of a fleet.
	proc struct {
		cmd *exec.Cmd
		log *bytes.Buffer
		end chan struct{}
		err error
	}

	// inst is one instance of a fleet.
	inst struct {
		*proc
		name, zone, dir, conf     string
		callers, operators, peers netip.AddrPort
	}

	// fleet is a set of instances and stand-ins.
	fleet struct {
		t     *testing.T
		dir   string
		insts []*inst
		procs []*proc
	}
)

func freeAddr(t *testing.T, ip string) netip.AddrPort {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	return netip.MustParseAddrPort(l.Addr().String())
}

// newFleet writes the settings of n instances in three zones, of which the first so many hold the log, and starts them.
func newFleet(t *testing.T, n, replicas int) *fleet {
	f := &fleet{t: t, dir: t.TempDir()}
	for i := range n {
		ip := fmt.Sprintf("127.0.0.%d", 11+i)
		in := &inst{
			name: fmt.Sprintf("i%d", i+1), zone: string(rune('a' + i%3)), dir: filepath.Join(f.dir, fmt.Sprintf("data%d", i+1)),
			conf: filepath.Join(f.dir, fmt.Sprintf("i%d.toml", i+1)), callers: freeAddr(t, ip), operators: freeAddr(t, ip), peers: freeAddr(t, ip),
		}
		f.insts = append(f.insts, in)
	}
	var reps []string
	for _, in := range f.insts[:replicas] {
		reps = append(reps, fmt.Sprintf(`{ name = %q, zone = %q, addr = %q }`, in.name, in.zone, in.peers))
	}
	for i, in := range f.insts {
		text := fmt.Sprintf("[instance]\nname = %q\nzone = %q\nregion = \"r\"\n", in.name, in.zone)
		if i < replicas {
			text += fmt.Sprintf("data = %q\n", in.dir)
		}
		text += fmt.Sprintf("[listen]\ncallers = %q\noperators = %q\npeers = %q\n", in.callers, in.operators, in.peers)
		text += fmt.Sprintf("[peers]\nreplicas = [%s]\n", strings.Join(reps, ", "))
		text += fmt.Sprintf("[keys]\noperator = %q\nendpoint = %q\nsecret = %q\n", opKey, endKey, secret)
		text += "[limits]\ngap = \"1s\"\nfirst = \"10s\"\ncall = \"3s\"\n"
		if err := os.WriteFile(in.conf, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	t.Cleanup(f.close)
	for _, in := range f.insts {
		f.start(in)
	}
	f.ready()
	return f
}

func (f *fleet) spawn(name string, args ...string) *proc {
	p := &proc{cmd: exec.Command(filepath.Join(binDir, name), args...), log: &bytes.Buffer{}, end: make(chan struct{})}
	p.cmd.Stderr = p.log
	p.cmd.Env = append(os.Environ(), "GREENGAGEWHEEL_ENDPOINT_KEY="+endKey)
	if err := p.cmd.Start(); err != nil {
		f.t.Fatal(err)
	}
	go func() {
		p.err = p.cmd.Wait()
		close(p.end)
	}()
	f.procs = append(f.procs, p)
	return p
}

func (f *fleet) start(in *inst) {
	in.proc = f.spawn("greengagewheel", "serve", "--conf", in.conf)
}

// close ends what is left of the fleet, and shows the logs of a failed test.
func (f *fleet) close() {
	for _, p := range f.procs {
		p.kill()
	}
	if !f.t.Failed() {
		return
	}
	for _, in := range f.insts {
		f.t.Logf("log of %s:\n%s", in.name, tail(in.log.String(), 3000))
	}
}

func tail(s string, n int) string {
	return s[max(0, len(s)-n):]
}

func (p *proc) kill() {
	_ = p.cmd.Process.Signal(syscall.SIGCONT)
	_ = p.cmd.Process.Kill()
	<-p.end
}

// term asks a process to stop and returns how it ended.
func (p *proc) term(t *testing.T) error {
	_ = p.cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-p.end:
		return p.err
	case <-time.After(patience):
		t.Fatal("process did not stop")
		return nil
	}
}

func (p *proc) freeze() { _ = p.cmd.Process.Signal(syscall.SIGSTOP) }
func (p *proc) thaw()   { _ = p.cmd.Process.Signal(syscall.SIGCONT) }

// until waits for cond to hold.
func until(t *testing.T, what string, cond func() bool) {
	t.Helper()
	for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if cond() {
			return
		}
	}
	t.Fatalf("never happened: %s", what)
}

func (f *fleet) ready() {
	f.t.Helper()
	for _, in := range f.insts {
		until(f.t, in.name+" is ready", in.isReady)
	}
}

func (in *inst) isReady() bool {
	resp, err := http.Get(fmt.Sprintf("http://%s/readyz", in.callers))
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// announceTo names the callers' addresses of all instances.
func (f *fleet) announceTo() string {
	var out []string
	for _, in := range f.insts {
		out = append(out, in.callers.String())
	}
	return strings.Join(out, ",")
}

// engine starts a stand-in engine and returns it with its address.
func (f *fleet) engine(name, zone string, extra ...string) (*proc, netip.AddrPort) {
	return f.standin("engine", name, zone, "m", extra...)
}

// service starts a stand-in service that serves bookings.
func (f *fleet) service(name, zone string, extra ...string) (*proc, netip.AddrPort) {
	return f.standin("service", name, zone, "bookings", extra...)
}

func (f *fleet) standin(kind, name, zone, serves string, extra ...string) (*proc, netip.AddrPort) {
	addr := freeAddr(f.t, "127.0.0.1")
	args := append([]string{"--kind", kind, "--name", name, "--listen", addr.String(), "--zone", zone,
		"--serves", serves, "--announce", f.announceTo()}, extra...)
	return f.spawn("standin", args...), addr
}

// contract is a contract of two classes with the given keys.
func contract(customer string, keys ...string) contr.Contract {
	k := contr.Contract{Customer: customer, Classes: []contr.Class{
		{Name: "quick", Tier: 1, Share: 20, Patience: contr.Span(20 * time.Second)},
		{Name: "slow", Tier: 4, Share: 1, Patience: contr.Span(20 * time.Second)},
	}}
	for _, key := range keys {
		k.Keys = append(k.Keys, contr.Hash(key))
	}
	return k
}

// operate sends an operator's request to an instance.
func (in *inst) operate(method, path string, body, out any) (int, error) {
	data, _ := json.Marshal(body)
	q, _ := http.NewRequest(method, fmt.Sprintf("http://%s%s", in.operators, path), bytes.NewReader(data))
	q.Header.Set("Authorization", "Bearer "+opKey)
	resp, err := (&http.Client{Timeout: patience}).Do(q)
	if err != nil {
		return 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	if out != nil {
		err = json.NewDecoder(resp.Body).Decode(out)
	}
	return resp.StatusCode, err
}

// put makes a change through an instance.
func (in *inst) put(ch admin.Change) (admin.Changed, int, error) {
	var out admin.Changed
	status, err := in.operate(http.MethodPut, "/v1/contracts/"+ch.Contract.Customer, ch, &out)
	return out, status, err
}

// enter puts a contract in and waits until it is in force everywhere.
func (f *fleet) enter(k contr.Contract) uint64 {
	f.t.Helper()
	out, _, err := f.insts[0].put(admin.Change{Contract: k, Wait: true, Author: "test"})
	if err != nil || out.Code != ctrl.OK {
		f.t.Fatalf("contract not accepted: %+v %v", out, err)
	}
	return out.Version
}

// cells returns the schedulers' state as an instance shows it.
func (in *inst) cells() map[string]sched.State {
	out := map[string]sched.State{}
	_, _ = in.operate(http.MethodGet, "/v1/cells", nil, &out)
	return out
}

// serving waits until so many endpoints of a cell are live.
func (f *fleet) serving(cell string, n int) {
	f.t.Helper()
	until(f.t, fmt.Sprintf("%d endpoints of %s are live", n, cell), func() bool {
		live := 0
		for _, e := range f.insts[0].cells()[cell].Endpoints {
			if e.Live {
				live++
			}
		}
		return live >= n
	})
	for _, in := range f.insts {
		until(f.t, in.name+" knows "+cell, func() bool {
			s, _ := in.chat(context.Background(), callKey, "quick", "", "ping", false)
			return s.status == http.StatusOK || !strings.HasPrefix(cell, "m@")
		})
	}
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
func (in *inst) chat(ctx context.Context, key, class, id, prompt string, stream bool) (said, error) {
	body := fmt.Sprintf(`{"model":"m","max_tokens":4000,"stream":%v,"messages":[{"role":"user","content":%q}]}`, stream, prompt)
	q, _ := http.NewRequestWithContext(ctx, http.MethodPost, fmt.Sprintf("http://%s/v1/chat/completions", in.callers), strings.NewReader(body))
	q.Header.Set("Authorization", "Bearer "+key)
	q.Header.Set("X-Class", class)
	if id != "" {
		q.Header.Set("X-Request-Id", id)
	}
	return ask(q)
}

// call sends a request to a plain service through an instance.
func (in *inst) call(ctx context.Context, method, path, key, body string) (said, error) {
	q, _ := http.NewRequestWithContext(ctx, method, fmt.Sprintf("http://%s/v1/services/bookings%s", in.callers, path), strings.NewReader(body))
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
	var a chat.Answer
	var fail chat.Failure
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
			chat.Answer
			chat.Failure
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
	return engine.Text("user: "+prompt+"\n", n)
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
