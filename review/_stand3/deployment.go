package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// descriptors is the number of descriptors that each process of the system may have open.
	descriptors = 4100
	readPath    = "/v1/configuration/read"
	replacePath = "/v1/configuration/replace"
	readyPath   = "/v1/readiness"
	// memoryFolder is a folder in memory, memoryNeeded the free space that it must have.
	memoryFolder = "/dev/shm"
	memoryNeeded = 1 << 30
)

type (
	// record writes what was sent, answered and run, with the time since the start.
	record struct {
		mu    sync.Mutex
		file  *os.File
		start time.Time
	}

	// machine is one process of the system at a loopback address of its own.
	machine struct {
		name, ip, zone string
		core           bool
		memoryMB       int
		cmd            *exec.Cmd
		exited         chan struct{}
	}

	// deployment is a small deployment: the system's processes, started with the commands of the deploy file.
	deployment struct {
		rec                                 *record
		dir, program                        string
		front, ready, control, peer, metric int
		cores, edges                        []*machine
		// spares are core machines that are not started with the others.
		spares []*machine
		// seeds are the control addresses of three machines at the first start.
		seeds []string
	}
)

// started holds the IDs of the processes that were started and have not ended.
var started sync.Map

// killStarted kills all processes that were started and have not ended.
func killStarted() {
	started.Range(func(pid, _ any) bool {
		_ = syscall.Kill(pid.(int), syscall.SIGKILL)
		return true
	})
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	return &record{file: f, start: time.Now()}, err
}

// printf writes one line to the record and to the standard output.
func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%8.3f ", time.Since(r.start).Seconds()) + fmt.Sprintf(format, args...) + "\n"
	_, _ = r.file.WriteString(line)
	_, _ = os.Stdout.WriteString(line)
}

// quiet writes one line to the record only.
func (r *record) quiet(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f "+format+"\n", append([]any{time.Since(r.start).Seconds()}, args...)...)
}

// ipOf returns the loopback address of a machine; they differ between runs at the same time.
func ipOf(n int) string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 1+pid/250%250, 1+pid%250, n)
}

// newDeployment chooses addresses and ports. Nothing is started.
func newDeployment(rec *record, cores, spares, edges, coreMB, edgeMB int) (*deployment, error) {
	root, err := os.Getwd()
	if err != nil {
		return nil, err
	}
	dir, err := tempDir()
	if err != nil {
		return nil, err
	}
	d := &deployment{rec: rec, dir: dir, program: filepath.Join(root, "target", "greengagewheel")}
	var ips []string
	for i := range cores + spares + edges {
		m := &machine{name: fmt.Sprintf("m%d", i+1), ip: ipOf(i + 1), zone: string(rune('a' + i%3)), core: i < cores+spares, memoryMB: coreMB}
		switch {
		case i < cores:
			d.cores = append(d.cores, m)
		case m.core:
			d.spares = append(d.spares, m)
		default:
			m.memoryMB = edgeMB
			d.edges = append(d.edges, m)
		}
		ips = append(ips, m.ip)
	}
	for _, port := range []*int{&d.front, &d.ready, &d.control, &d.peer, &d.metric} {
		if *port, err = freePort(ips); err != nil {
			return nil, err
		}
	}
	for _, m := range d.cores[:min(3, cores)] {
		d.seeds = append(d.seeds, fmt.Sprintf("%s:%d", m.ip, d.control))
	}
	return d, nil
}

// tempDir creates a folder for settings, output and data, in memory where there is a file system for that: on the disk, processes wait
// for syncs while other programs write.
func tempDir() (string, error) {
	var stat syscall.Statfs_t
	if err := syscall.Statfs(memoryFolder, &stat); err == nil && stat.Bavail*uint64(stat.Bsize) > memoryNeeded {
		if dir, err := os.MkdirTemp(memoryFolder, "review-3-"); err == nil {
			return dir, nil
		}
	}
	return os.MkdirTemp("", "review-3-")
}

// freePort returns a port that is free at all addresses.
func freePort(ips []string) (int, error) {
	for range 100 {
		l, err := net.Listen("tcp", ips[0]+":0")
		if err != nil {
			return 0, err
		}
		port := l.Addr().(*net.TCPAddr).Port
		open, free := []net.Listener{l}, true
		for _, ip := range ips[1:] {
			l, err := net.Listen("tcp", net.JoinHostPort(ip, strconv.Itoa(port)))
			if err != nil {
				free = false
				break
			}
			open = append(open, l)
		}
		for _, l := range open {
			_ = l.Close()
		}
		if free {
			return port, nil
		}
	}
	return 0, fmt.Errorf("no port is free at all addresses")
}

func (d *deployment) all() []*machine {
	return slices.Concat(d.cores, d.edges)
}

// settings returns what the platform makes of deploy/settings.toml for a machine. bootstrap is true at the first start only.
func (d *deployment) settings(m *machine, bootstrap bool) string {
	var b strings.Builder
	fmt.Fprintf(&b, "mode = \"routes\"\n[instance]\nname = %q\nzone = %q\nregion = \"r\"\n", m.name, m.zone)
	if m.core {
		fmt.Fprintf(&b, "data = %q\n", filepath.Join(d.dir, m.name))
	}
	b.WriteString("[listen]\n")
	if m.core {
		fmt.Fprintf(&b, "operators = \"%s:%d\"\n", m.ip, d.control)
	} else {
		fmt.Fprintf(&b, "callers = \"%s:%d\"\nready = \"%s:%d\"\n", m.ip, d.front, m.ip, d.ready)
	}
	fmt.Fprintf(&b, "peers = \"%s:%d\"\nmetrics = \"%s:%d\"\n[peers]\nseeds = [", m.ip, d.peer, m.ip, d.metric)
	for _, seed := range d.seeds {
		fmt.Fprintf(&b, "%q,", seed)
	}
	fmt.Fprintf(&b, "]\nfound = %v\ntolerate = 2\n[keys]\nsecret = \"instances-of-one-system\"\n[limits]\nmemory = \"%dMB\"\n", bootstrap, m.memoryMB)
	b.WriteString("[fresh]\nbound = \"5000ms\"\n[retry]\nratio = 0.2\nslack = 58\nwindow = \"10s\"\n[stop]\ngrace = \"8s\"\n")
	return b.String()
}

// start starts a machine's process. Its output goes to a file in the temporary folder.
func (d *deployment) start(m *machine, bootstrap bool) error {
	file := filepath.Join(d.dir, m.name+".toml")
	if err := os.WriteFile(file, []byte(d.settings(m, bootstrap)), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(d.dir, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	// The shell only bounds the descriptors, as the platform does, and is replaced by the program.
	m.cmd = exec.Command("/bin/sh", "-c", fmt.Sprintf("ulimit -n %d && exec \"$0\" serve", descriptors), d.program)
	m.cmd.Env = append(os.Environ(), "GREENGAGEWHEEL_NODE_FILE="+file)
	m.cmd.Stdout, m.cmd.Stderr = log, log
	if err := m.cmd.Start(); err != nil {
		return err
	}
	started.Store(m.cmd.Process.Pid, true)
	m.exited = make(chan struct{})
	go func(cmd *exec.Cmd, exited chan struct{}) {
		_ = cmd.Wait()
		_ = log.Close()
		started.Delete(cmd.Process.Pid)
		close(exited)
	}(m.cmd, m.exited)
	d.rec.quiet("started %s (%s, core %v, bootstrap %v) as process %d", m.name, m.ip, m.core, bootstrap, m.cmd.Process.Pid)
	return nil
}

func (d *deployment) startAll() error {
	for _, m := range d.all() {
		if err := d.start(m, true); err != nil {
			return err
		}
	}
	return nil
}

// kill sends SIGKILL to all given processes at once and waits until they have ended.
func (d *deployment) kill(machines ...*machine) {
	for _, m := range machines {
		if m.cmd != nil {
			_ = m.cmd.Process.Signal(syscall.SIGKILL)
		}
	}
	for _, m := range machines {
		if m.cmd != nil {
			<-m.exited
		}
	}
}

// close ends all processes and removes the temporary folder, unless KEEP is set.
func (d *deployment) close() {
	d.kill(slices.Concat(d.all(), d.spares)...)
	if os.Getenv("KEEP") != "" {
		d.rec.printf("kept %s", d.dir)
		return
	}
	_ = os.RemoveAll(d.dir)
}

func (m *machine) ended() bool {
	select {
	case <-m.exited:
		return true
	default:
		return false
	}
}

// memory returns the resident memory of a machine's process and its peak, in bytes.
func (m *machine) memory() (now, peak int64) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", m.cmd.Process.Pid))
	if err != nil {
		return 0, 0
	}
	for line := range strings.Lines(string(data)) {
		f := strings.Fields(line)
		if len(f) < 2 || f[0] != "VmRSS:" && f[0] != "VmHWM:" {
			continue
		}
		kib, _ := strconv.ParseInt(f[1], 10, 64)
		if f[0] == "VmRSS:" {
			now = kib << 10
		} else {
			peak = kib << 10
		}
	}
	return now, peak
}

// openFiles returns the number of descriptors that a machine's process has open.
func (m *machine) openFiles() int {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", m.cmd.Process.Pid))
	if err != nil {
		return -1
	}
	return len(entries)
}

// operator makes one call of the operator to a machine. The status is 0 if there was no complete answer in time.
func (d *deployment) operator(m *machine, method, path string, body []byte, timeout time.Duration) (int, []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, fmt.Sprintf("http://%s:%d%s", m.ip, d.control, path), bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(req)
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

// replace sends a configuration unchanged to one machine after the other until it is acknowledged, and returns the machine that did.
func (d *deployment) replace(body []byte, attempt, total time.Duration) (*machine, error) {
	for n, end := 0, time.Now().Add(total); time.Now().Before(end); n++ {
		m := d.cores[n%len(d.cores)]
		status, answer := d.operator(m, http.MethodPost, replacePath, body, attempt)
		d.rec.quiet("configuration of %d bytes sent to %s: status %d %.120q", len(body), m.name, status, answer)
		switch {
		case status == http.StatusOK:
			return m, nil
		case status >= 400 && status < 500 && status != 408 && status != 429:
			return nil, fmt.Errorf("configuration refused: %d %s", status, answer)
		}
		time.Sleep(100 * time.Millisecond)
	}
	return nil, fmt.Errorf("no configuration acknowledged in %v", total)
}

// readVersion asks one machine for the configuration. It returns 0 if the answer is not 200.
func (d *deployment) readVersion(m *machine) (version, status int) {
	status, body := d.operator(m, http.MethodGet, readPath, nil, 2*time.Second)
	if status != http.StatusOK {
		return 0, status
	}
	var head struct {
		Version int `json:"version"`
	}
	if json.Unmarshal(body, &head) != nil {
		return 0, status
	}
	return head.Version, status
}

// registries returns the addresses that take heartbeats.
func (d *deployment) registries() (addrs []string) {
	for _, m := range d.cores {
		addrs = append(addrs, fmt.Sprintf("%s:%d", m.ip, d.control))
	}
	return addrs
}

// remove kills a core machine for good, with its disk.
func (d *deployment) remove(m *machine) error {
	d.kill(m)
	d.cores = slices.DeleteFunc(d.cores, func(other *machine) bool { return other == m })
	d.rec.printf("core machine %s is gone for good", m.name)
	return os.RemoveAll(filepath.Join(d.dir, m.name))
}

// addCore starts an empty core machine at a new address.
func (d *deployment) addCore() error {
	m := d.spares[0]
	d.spares, d.cores = d.spares[1:], append(d.cores, m)
	d.rec.printf("empty core machine %s starts in its place at %s", m.name, m.ip)
	return d.start(m, false)
}

// leader returns the core machine that the others named last as the leader of the replicated log, by their output.
func (d *deployment) leader() *machine {
	var newest, address string
	for _, m := range d.all() {
		data, err := os.ReadFile(filepath.Join(d.dir, m.name+".log"))
		if err != nil {
			continue
		}
		for line := range strings.Lines(string(data)) {
			if !strings.Contains(line, `msg="leader of the log changed"`) {
				continue
			}
			fields := map[string]string{}
			for _, f := range strings.Fields(line) {
				name, value, _ := strings.Cut(f, "=")
				fields[name] = value
			}
			if fields["ts"] > newest {
				newest, address = fields["ts"], fields["leader"]
			}
		}
	}
	for _, m := range d.cores {
		if strings.HasPrefix(address, m.ip+":") {
			return m
		}
	}
	return nil
}
