package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	program       = "target/greengagewheel"
	settingsEnv   = "GREENGAGEWHEEL_NODE_FILE"
	routeHost     = "h.example"
	tenantKey     = "n2ctnfzs989anu6wsjnb"
	secondKey     = "anfqasnmgkcuyj8pjbvk"
	portTries     = 200
	startTimeout  = 30 * time.Second
	operatorLimit = 2 * time.Second
)

var errNotInTime = errors.New("not in time")

type (
	// machine is one machine of the deployment with the process of its role.
	machine struct {
		name, zone, ip, file, data string
		bootstrap                  bool
		memoryMB                   int
		cmd                        *exec.Cmd
		exited                     chan struct{}
		log                        *os.File
	}

	// fleet is a small deployment: machines of class core, which have a disk and serve control, and edge machines.
	fleet struct {
		dir                                 string
		front, ready, control, peers, meter int
		core, edges                         []*machine
		graceS                              int
	}
)

// newFleet chooses addresses and ports and writes the settings, as the platform renders them from deploy/settings.toml.
func newFleet(core, edges, edgeMemoryMB int) (*fleet, error) {
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	f := &fleet{dir: dir, graceS: 8}
	runningMu.Lock()
	running = f
	runningMu.Unlock()
	zones := []string{"zone-a", "zone-b", "zone-c"}
	for i := range core + edges {
		m := &machine{zone: zones[i%len(zones)], ip: fmt.Sprintf("127.%d.0.%d", 20+os.Getpid()%200, i+1), bootstrap: true, memoryMB: 280}
		if i < core {
			m.name, m.data = fmt.Sprintf("core-%d", i+1), filepath.Join(dir, fmt.Sprintf("disk-%d", i+1))
			f.core = append(f.core, m)
		} else {
			m.name, m.memoryMB = fmt.Sprintf("edge-%d", i-core+1), edgeMemoryMB
			f.edges = append(f.edges, m)
		}
		m.file = filepath.Join(dir, m.name+".toml")
	}
	ports, err := freePorts(f.machines(), 5)
	if err != nil {
		return nil, err
	}
	f.front, f.ready, f.control, f.peers, f.meter = ports[0], ports[1], ports[2], ports[3], ports[4]
	return f, nil
}

func (f *fleet) machines() []*machine { return slices.Concat(f.core, f.edges) }

// freePorts returns ports that are free at the addresses of all machines.
func freePorts(machines []*machine, n int) (ports []int, err error) {
	for range portTries {
		l, err := net.Listen("tcp", machines[0].ip+":0")
		if err != nil {
			return nil, err
		}
		port, free := l.Addr().(*net.TCPAddr).Port, !slices.Contains(ports, l.Addr().(*net.TCPAddr).Port)
		for _, m := range machines[1:] {
			other, err := net.Listen("tcp", fmt.Sprintf("%s:%d", m.ip, port))
			if err != nil {
				free = false
				break
			}
			_ = other.Close()
		}
		_ = l.Close()
		if free {
			if ports = append(ports, port); len(ports) == n {
				return ports, nil
			}
		}
	}
	return nil, errors.New("no free port")
}

// settings returns the settings of a machine.
func (f *fleet) settings(m *machine) string {
	var b strings.Builder
	p := func(format string, args ...any) { _, _ = fmt.Fprintf(&b, format, args...) }
	p("mode = \"routes\"\n[instance]\nname = %q\nzone = %q\nregion = \"region-a\"\n", m.name, m.zone)
	if m.data != "" {
		p("data = %q\n", m.data)
	}
	p("[listen]\n")
	if m.data == "" {
		p("callers = \"%s:%d\"\nready = \"%s:%d\"\n", m.ip, f.front, m.ip, f.ready)
	} else {
		p("operators = \"%s:%d\"\n", m.ip, f.control)
	}
	var seeds []string
	for _, c := range f.core[:min(3, len(f.core))] {
		seeds = append(seeds, fmt.Sprintf("\"%s:%d\"", c.ip, f.control))
	}
	p("peers = \"%s:%d\"\nmetrics = \"%s:%d\"\n", m.ip, f.peers, m.ip, f.meter)
	p("[peers]\nseeds = [%s]\nfound = %v\ntolerate = %d\n", strings.Join(seeds, ","), m.bootstrap, (len(f.core)-1)/2)
	p("[keys]\nsecret = \"instances-of-one-system\"\n[limits]\nmemory = \"%dMB\"\n[fresh]\nbound = \"5000ms\"\n", m.memoryMB)
	p("[retry]\nratio = 0.2\nslack = 58\nwindow = \"10s\"\n[stop]\ngrace = \"%ds\"\n", f.graceS)
	return b.String()
}

// start starts the process of a machine with the command of the deploy file.
func (f *fleet) start(m *machine) error {
	if err := os.WriteFile(m.file, []byte(f.settings(m)), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(f.dir, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	m.log = log
	m.cmd = exec.Command(program, "serve")
	m.cmd.Stdout, m.cmd.Stderr = log, log
	m.cmd.Env = []string{settingsEnv + "=" + m.file, "PATH=" + os.Getenv("PATH"), "HOME=" + f.dir, "LANG=C"}
	if err := m.cmd.Start(); err != nil {
		return err
	}
	exited, cmd := make(chan struct{}), m.cmd
	m.exited = exited
	go func() {
		_ = cmd.Wait()
		close(exited)
	}()
	return nil
}

func (f *fleet) startAll() error {
	for _, m := range f.machines() {
		if err := f.start(m); err != nil {
			return err
		}
	}
	return nil
}

// running reports whether the process of a machine runs.
func (m *machine) running() bool {
	select {
	case <-m.exited:
		return false
	default:
		return true
	}
}

// close ends all processes and removes the folder.
func (f *fleet) close() {
	for _, m := range f.machines() {
		if m.cmd != nil && m.running() {
			_ = m.cmd.Process.Kill()
			<-m.exited
		}
	}
	if os.Getenv("KEEP") != "" {
		fmt.Println("kept:", f.dir)
		return
	}
	_ = os.RemoveAll(f.dir)
}

func until(timeout time.Duration, condition func() bool) error {
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if condition() {
			return nil
		}
	}
	return errNotInTime
}

// isReady asks an edge machine for its readiness, as the platform does.
func (f *fleet) isReady(m *machine) bool {
	resp, err := (&http.Client{Timeout: time.Second}).Get(fmt.Sprintf("http://%s:%d/v1/readiness", m.ip, f.ready))
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// operate sends an order to control machines in turn until one answers with a status below 500.
func (f *fleet) operate(method, path string, body []byte) (status int, answer []byte, err error) {
	err = until(startTimeout, func() bool {
		for _, m := range f.core {
			if !m.running() {
				continue
			}
			if status, answer = f.call(m, method, path, body); status > 0 && status < http.StatusInternalServerError {
				return true
			}
		}
		return false
	})
	return status, answer, err
}

// call sends one call to a control machine; the status is 0 without a whole answer.
func (f *fleet) call(m *machine, method, path string, body []byte) (int, []byte) {
	req, err := http.NewRequest(method, fmt.Sprintf("http://%s:%d%s", m.ip, f.control, path), bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	req.Close = true
	req.Header.Set("Content-Type", "application/json")
	resp, err := (&http.Client{Timeout: operatorLimit}).Do(req)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil
	}
	return resp.StatusCode, data
}

// configure sends a configuration until it is acknowledged.
func (f *fleet) configure(cfg map[string]any) error {
	body, err := json.Marshal(cfg)
	if err != nil {
		return err
	}
	status, answer, err := f.operate(http.MethodPost, "/v1/configuration/replace", body)
	if err == nil && status != http.StatusOK {
		err = fmt.Errorf("configuration: status %d: %s", status, answer)
	}
	return err
}

// registries returns the addresses that take heartbeats.
func (f *fleet) registries() (addrs []string) {
	for _, m := range f.core {
		addrs = append(addrs, fmt.Sprintf("%s:%d", m.ip, f.control))
	}
	return addrs
}

// recorder writes record.txt.
type recorder struct {
	mu    sync.Mutex
	file  *os.File
	begin time.Time
}

func newRecorder(path string) (*recorder, error) {
	file, err := os.Create(path)
	return &recorder{file: file, begin: time.Now()}, err
}

func (r *recorder) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.begin).Seconds(), fmt.Sprintf(format, args...))
}

func (r *recorder) say(format string, args ...any) {
	r.line(format, args...)
	fmt.Printf(format+"\n", args...)
}
