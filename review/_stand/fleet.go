package main

import (
	"bytes"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// callTimeout is the time after which the operator and servers turn to another machine.
	callTimeout = time.Second
	// startTimeout bounds the start of the system.
	startTimeout = 30 * time.Second
	heartbeat    = 1200 * time.Millisecond
)

type (
	// machine is one machine of the deployment with the process that runs on it.
	machine struct {
		name, class, zone, ip string
		bootstrap             bool
		cmd                   *exec.Cmd
		exited                chan struct{}
	}

	// role is a role of the deploy file.
	role struct {
		run      []string
		template string
	}

	// options describes a deployment.
	options struct {
		cores, edges int
		memoryMB     int
	}

	// fleet is the system under test with the platform's stand-in around it.
	fleet struct {
		opt                         options
		root, dir                   string
		roles                       map[string]role
		cores, edges                []*machine
		front, ready, control, peer int
		rec                         *record
		mu                          sync.Mutex
		servers                     []*server
		environment                 []string
	}
)

var zones = []string{"brno-sever", "brno-jih", "blansko"}

// newFleet chooses addresses, writes the settings and starts all machines. With an error, some may run.
func newFleet(rec *record, opt options) (*fleet, error) {
	root, err := os.Getwd()
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	f := &fleet{opt: opt, root: root, dir: dir, rec: rec, roles: map[string]role{}}
	for _, name := range []string{"PATH", "HOME", "LANG"} {
		f.environment = append(f.environment, name+"="+os.Getenv(name))
	}
	if err := f.readDeployFile(); err != nil {
		return nil, err
	}
	for i := range opt.cores {
		f.cores = append(f.cores, &machine{name: fmt.Sprintf("core-%d", i+1), class: "core", zone: zones[i%len(zones)], ip: loopback(i + 1), bootstrap: true})
	}
	for i := range opt.edges {
		f.edges = append(f.edges, &machine{name: fmt.Sprintf("edge-%d", i+1), class: "edge", zone: zones[i%len(zones)], ip: loopback(50 + i), bootstrap: true})
	}
	if err := f.choosePorts(); err != nil {
		return nil, err
	}
	for _, m := range f.machines() {
		if err := f.start(m); err != nil {
			return f, err
		}
	}
	return f, nil
}

// loopback returns a loopback address that other runs on this machine do not use.
func loopback(host int) string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 1+pid/250%250, 1+pid%250, host)
}

func (f *fleet) machines() []*machine {
	return append(append([]*machine{}, f.cores...), f.edges...)
}

// readDeployFile reads the commands and templates of the roles from the deploy file.
func (f *fleet) readDeployFile() error {
	data, err := os.ReadFile(filepath.Join(f.root, "deploy", "system.toml"))
	if err != nil {
		return err
	}
	for _, section := range strings.Split(string(data), "[roles.")[1:] {
		fields := map[string]string{}
		for _, line := range strings.Split(section, "\n") {
			if name, value, ok := strings.Cut(line, " = "); ok {
				fields[name] = strings.Trim(value, `"`)
			}
		}
		f.roles[fields["on"]] = role{run: strings.Fields(fields["run"]), template: fields["template"]}
	}
	if f.roles["core"].run == nil || f.roles["edge"].run == nil {
		return errors.New("deploy file: roles on core and edge are expected")
	}
	return nil
}

// choosePorts chooses ports that are free on all machines.
func (f *fleet) choosePorts() error {
	port := 20000 + os.Getpid()%20000
	for _, target := range []*int{&f.front, &f.ready, &f.control, &f.peer} {
		for ; ; port++ {
			if port > 60000 {
				return errors.New("no free ports")
			}
			if f.isFree(port) {
				break
			}
		}
		*target = port
		port += 2
	}
	return nil
}

func (f *fleet) isFree(port int) bool {
	for _, m := range f.machines() {
		l, err := net.Listen("tcp", net.JoinHostPort(m.ip, strconv.Itoa(port)))
		if err != nil {
			return false
		}
		_ = l.Close()
	}
	return true
}

// settings returns the fields with which the platform fills in a template.
func (f *fleet) settings(m *machine) map[string]any {
	var seeds []any
	for _, c := range f.cores[:min(3, len(f.cores))] {
		seeds = append(seeds, fmt.Sprintf("%s:%d", c.ip, f.control))
	}
	listen := map[string]any{}
	fields := map[string]any{
		"nodeName": m.name, "role": m.class, "machineClass": m.class, "ip": m.ip, "zone": m.zone, "region": "morava",
		"internalPorts": []any{f.peer, f.peer + 1}, "seeds": seeds, "bootstrap": m.bootstrap, "heartbeatMs": 1200,
		"faultTolerance": map[string]any{"machines": 2, "zones": 0, "regions": 0}, "listen": listen,
		"limits": map[string]any{"cpuShare": 0.4, "cores": 1, "memoryMb": f.opt.memoryMB, "fileDescriptors": 4100},
		"bounds": map[string]any{
			"seedLagS": 3, "reuseAfterS": 2, "contactMs": 3000, "ackMs": 4000, "catchUpS": 4, "drainMs": 2000, "graceS": 8,
			"lossSlackMs": 200, "configApplyMs": 2000, "downgradeSlackMs": 250, "strictRevocation": true, "revokeMs": 5000,
			"retryBudgetRatio": 0.2, "retryWindowS": 10, "retrySlack": 58, "recoveryS": 12, "eventDelayMs": 120, "reuseWindowS": 8.2,
		},
	}
	if m.class == "core" {
		fields["dataDirectory"] = filepath.Join(f.dir, m.name)
		listen["controlPlane"] = fmt.Sprintf("%s:%d", m.ip, f.control)
	} else {
		listen["front"] = fmt.Sprintf("%s:%d", m.ip, f.front)
		listen["ready"] = fmt.Sprintf("%s:%d", m.ip, f.ready)
	}
	return fields
}

// start writes the settings of a machine and starts its process as the deploy file says.
func (f *fleet) start(m *machine) error {
	r := f.roles[m.class]
	template, err := os.ReadFile(filepath.Join(f.root, r.template))
	if err != nil {
		return err
	}
	file := filepath.Join(f.dir, m.name+".toml")
	if err := os.WriteFile(file, []byte(render(string(template), f.settings(m))), 0o600); err != nil {
		return err
	}
	out, err := os.Create(filepath.Join(f.dir, m.name+".log"))
	if err != nil {
		return err
	}
	defer func() { _ = out.Close() }()
	m.cmd = exec.Command(filepath.Join(f.root, r.run[0]), r.run[1:]...)
	m.cmd.Env = append(append([]string{}, f.environment...), "GREENGAGEWHEEL_NODE_FILE="+file)
	m.cmd.Dir, m.cmd.Stdout, m.cmd.Stderr = f.root, out, out
	if err := m.cmd.Start(); err != nil {
		return err
	}
	m.exited = make(chan struct{})
	m.bootstrap = false
	go func(cmd *exec.Cmd, exited chan struct{}) {
		_ = cmd.Wait()
		close(exited)
	}(m.cmd, m.exited)
	return nil
}

// isRunning reports whether the process of a machine has not exited.
func (m *machine) isRunning() bool {
	select {
	case <-m.exited:
		return false
	default:
		return true
	}
}

// signal sends a signal to the process of a machine.
func (m *machine) signal(s syscall.Signal) {
	if m.cmd != nil && m.isRunning() {
		_ = m.cmd.Process.Signal(s)
	}
}

// kill kills the process of a machine and waits for its end.
func (m *machine) kill() {
	if m.cmd == nil || m.exited == nil {
		return
	}
	m.signal(syscall.SIGCONT)
	m.signal(syscall.SIGKILL)
	<-m.exited
}

// close ends all processes and servers, and removes the folder with settings, data and logs.
func (f *fleet) close() {
	for _, s := range f.servers {
		s.stop()
	}
	for _, m := range f.machines() {
		m.kill()
	}
	if os.Getenv("KEEP") != "" {
		fmt.Println("logs are kept in", f.dir)
		return
	}
	_ = os.RemoveAll(f.dir)
}

// frontOf returns the address at which a machine takes clients.
func (f *fleet) frontOf(m *machine) string {
	return fmt.Sprintf("%s:%d", m.ip, f.front)
}

// isReady asks a machine as the platform does.
func (f *fleet) isReady(m *machine) bool {
	resp, err := (&http.Client{Timeout: callTimeout}).Get(fmt.Sprintf("http://%s:%d/v1/readiness", m.ip, f.ready))
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// controls returns the addresses at which the core takes servers and the operator.
func (f *fleet) controls() (addrs []string) {
	for _, m := range f.cores {
		addrs = append(addrs, fmt.Sprintf("%s:%d", m.ip, f.control))
	}
	return addrs
}

// replace sends a configuration to the core machines in turn until one answers clearly, and returns the time of the answer.
func (f *fleet) replace(document string) (time.Time, error) {
	for deadline := time.Now().Add(startTimeout); time.Now().Before(deadline); {
		for _, addr := range f.controls() {
			resp, err := (&http.Client{Timeout: callTimeout}).Post("http://"+addr+"/v1/configuration/replace", "application/json", bytes.NewReader([]byte(document)))
			if err != nil {
				continue
			}
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				f.rec.line("operator: configuration acknowledged by %s: %s", addr, document)
				return time.Now(), nil
			}
			if resp.StatusCode < http.StatusInternalServerError {
				return time.Time{}, fmt.Errorf("configuration refused with status %d: %s", resp.StatusCode, document)
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	return time.Time{}, errors.New("no core machine acknowledges the configuration")
}

// awaitReady waits until all machines at which clients arrive are ready and serve a request.
func (f *fleet) awaitReady(try func(m *machine) bool) error {
	for deadline := time.Now().Add(startTimeout); time.Now().Before(deadline); time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, m := range f.edges {
			if f.isReady(m) && try(m) {
				ready++
			}
		}
		if ready == len(f.edges) {
			return nil
		}
	}
	return errors.New("the system does not serve requests")
}
