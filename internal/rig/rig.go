package rig

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/greengagewheel/greengagewheel/internal/admin"
	"github.com/greengagewheel/greengagewheel/internal/contr"
	"github.com/greengagewheel/greengagewheel/internal/ctrl"
	"github.com/greengagewheel/greengagewheel/internal/fault"
	"github.com/greengagewheel/greengagewheel/internal/quorum"
	"github.com/greengagewheel/greengagewheel/internal/sched"
)

// Keys of a rig.
const (
	OperatorKey = "operator-key-for-rigs"
	EndpointKey = "endpoint-key-for-rigs"
	Secret      = "shared-secret-for-rigs"
)

const (
	// Patience bounds each wait for something that must happen.
	Patience = 30 * time.Second
	// Region is the region of a rig's instances.
	Region   = "r"
	poll     = 20 * time.Millisecond
	fileMode = 0o600
	zones    = 3
	// The hosts of a rig's addresses: instances from firstInstance on, stand-ins from firstStandin on.
	firstInstance = 11
	firstStandin  = 101
	otherHost     = 251
	// An instance listens for callers, for operators and for other instances.
	listeners = 3
)

var (
	// ErrNever tells that something waited for did not happen.
	ErrNever = errors.New("never happened")
	// ErrEnded tells that an instance ended instead of starting.
	ErrEnded = errors.New("process ended")
)

type (
	// Instance is one instance of a rig.
	Instance struct {
		*Proc
		Name      string
		Zone      string
		Dir       string
		Conf      string
		Callers   netip.AddrPort
		Operators netip.AddrPort
		Peers     netip.AddrPort
		Via       netip.AddrPort
	}

	// Options sets a rig's size; Extra is added to each instance's settings.
	Options struct {
		Bin       string
		Dir       string
		Instances int
		Replicas  int
		Extra     string
		// Proxy gives the address under which others reach an instance's peers' address, where it is not that itself.
		Proxy func(name string, to netip.AddrPort) netip.AddrPort
	}

	// Rig is a set of instances and stand-ins.
	Rig struct {
		opt       Options
		Instances []*Instance
		procs     []*Proc
		standins  int
	}

	// Standin is a stand-in process and its address.
	Standin struct {
		*Proc
		Addr netip.AddrPort
	}
)

// FreeAddrs returns n different addresses of the IP number, with ports that are free now.
func FreeAddrs(ip string, n int) ([]netip.AddrPort, error) {
	var out []netip.AddrPort
	for range n {
		l, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return nil, fault.At("find free port", ip, err)
		}
		// Each stays taken until all are found: a port that was given back may be found again.
		defer func() { _ = l.Close() }()
		a, err := netip.ParseAddrPort(l.Addr().String())
		if err != nil {
			return nil, fault.At("find free port", ip, err)
		}
		out = append(out, a)
	}
	return out, nil
}

// FreeAddr returns an address that no instance or stand-in of this process's rigs uses.
func FreeAddr() (netip.AddrPort, error) {
	return freeAddr(otherHost)
}

func freeAddr(n int) (netip.AddrPort, error) {
	as, err := FreeAddrs(host(n), 1)
	if err != nil {
		return netip.AddrPort{}, err
	}
	return as[0], nil
}

// host returns a loopback address that no other process uses: a port of a process that is down for a while
// must not be taken by a connection of another.
func host(n int) string {
	const nets = 250
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 1+pid/nets%nets, 1+pid%nets, n)
}

// New writes the settings of a rig's instances, in three zones; the first ones hold the log.
func New(opt Options) (*Rig, error) {
	r := &Rig{opt: opt}
	for i := range opt.Instances {
		in := &Instance{
			Name: fmt.Sprintf("i%d", i+1), Zone: string(rune('a' + i%zones)),
			Dir:  filepath.Join(opt.Dir, fmt.Sprintf("data%d", i+1)),
			Conf: filepath.Join(opt.Dir, fmt.Sprintf("i%d.toml", i+1)),
		}
		as, err := FreeAddrs(host(firstInstance+i), listeners)
		if err != nil {
			return nil, err
		}
		in.Callers, in.Operators, in.Peers = as[0], as[1], as[2]
		in.Via = in.Peers
		if opt.Proxy != nil {
			in.Via = opt.Proxy(in.Name, in.Peers)
		}
		r.Instances = append(r.Instances, in)
	}
	for i, in := range r.Instances {
		if err := os.WriteFile(in.Conf, []byte(r.settings(i)), fileMode); err != nil {
			return nil, fault.At("write settings", in.Name, err)
		}
	}
	return r, nil
}

func (r *Rig) settings(i int) string {
	in := r.Instances[i]
	var reps []string
	for _, o := range r.Instances[:r.opt.Replicas] {
		reps = append(reps, fmt.Sprintf("{ name = %q, zone = %q, addr = %q }", o.Name, o.Zone, o.Via))
	}
	var b strings.Builder
	_, _ = fmt.Fprintf(&b, "[instance]\nname = %q\nzone = %q\nregion = %q\n", in.Name, in.Zone, Region)
	if i < r.opt.Replicas {
		_, _ = fmt.Fprintf(&b, "data = %q\n", in.Dir)
	}
	_, _ = fmt.Fprintf(&b, "[listen]\ncallers = %q\noperators = %q\npeers = %q\n", in.Callers, in.Operators, in.Peers)
	if in.Via != in.Peers {
		_, _ = fmt.Fprintf(&b, "advertise = %q\n", in.Via)
	}
	_, _ = fmt.Fprintf(&b, "[peers]\nreplicas = [%s]\n", strings.Join(reps, ", "))
	_, _ = fmt.Fprintf(&b, "[keys]\noperator = %q\nendpoint = %q\nsecret = %q\n", OperatorKey, EndpointKey, Secret)
	b.WriteString(r.opt.Extra)
	return b.String()
}

// Start starts all instances and waits until they are ready.
func (r *Rig) Start() error {
	for _, in := range r.Instances {
		if err := r.Boot(in); err != nil {
			return err
		}
	}
	return r.Ready()
}

// Boot starts an instance that does not run.
func (r *Rig) Boot(in *Instance) error {
	p, err := spawn(r.opt.Bin, "greengagewheel", "serve", "--conf", in.Conf)
	if err != nil {
		return err
	}
	in.Proc = p
	r.procs = append(r.procs, p)
	return nil
}

// Ready waits until all instances are ready.
func (r *Rig) Ready() error {
	for _, in := range r.Instances {
		if err := Until(in.Name+" is ready or has ended", func() bool { return in.Ended() || in.Ready() }); err != nil {
			return err
		}
		if in.Ended() {
			return fault.New("start", in.Name, "%w: %s", ErrEnded, in.Log())
		}
	}
	return nil
}

// Close ends all processes.
func (r *Rig) Close() {
	for _, p := range r.procs {
		p.Kill()
	}
}

// Until waits for cond to hold, within Patience.
func Until(what string, cond func() bool) error {
	for end := time.Now().Add(Patience); time.Now().Before(end); time.Sleep(poll) {
		if cond() {
			return nil
		}
	}
	return fmt.Errorf("%w: %s", ErrNever, what)
}

// Ready reports whether the instance is ready for callers.
func (in *Instance) Ready() bool {
	resp, err := (&http.Client{Timeout: time.Second}).Get(fmt.Sprintf("http://%s/readyz", in.Operators))
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// Standin starts a stand-in of a kind ("engine" or "service") that serves a model or service.
func (r *Rig) Standin(kind, name, zone, serves string, extra ...string) (Standin, error) {
	addr, err := freeAddr(firstStandin + r.standins)
	if err != nil {
		return Standin{}, err
	}
	r.standins++
	return r.StandinAt(addr, kind, name, zone, serves, extra...)
}

// StandinAt starts a stand-in at an address.
func (r *Rig) StandinAt(addr netip.AddrPort, kind, name, zone, serves string, extra ...string) (Standin, error) {
	var to []string
	for _, in := range r.Instances {
		to = append(to, in.Callers.String())
	}
	args := append([]string{"--kind", kind, "--name", name, "--listen", addr.String(), "--zone", zone,
		"--serves", serves, "--announce", strings.Join(to, ",")}, extra...)
	p, err := spawn(r.opt.Bin, "standin", args...)
	if err != nil {
		return Standin{}, err
	}
	r.procs = append(r.procs, p)
	return Standin{Proc: p, Addr: addr}, nil
}

// Operate sends an operator's request and decodes the answer into out, unless that is nil.
func (in *Instance) Operate(method, path string, body, out any) (int, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return 0, err
	}
	q, err := http.NewRequest(method, fmt.Sprintf("http://%s%s", in.Operators, path), bytes.NewReader(data))
	if err != nil {
		return 0, err
	}
	q.Header.Set("Authorization", "Bearer "+OperatorKey)
	resp, err := (&http.Client{Timeout: Patience}).Do(q)
	if err != nil {
		return 0, fault.At("operate", in.Name, err)
	}
	defer func() { _ = resp.Body.Close() }()
	if out != nil {
		err = json.NewDecoder(resp.Body).Decode(out)
	}
	return resp.StatusCode, err
}

// Put makes a change of a contract through the instance.
func (in *Instance) Put(ch admin.Change) (admin.Changed, error) {
	var out admin.Changed
	_, err := in.Operate(http.MethodPut, "/v1/contracts/"+ch.Contract.Customer, ch, &out)
	return out, err
}

// Enter puts a new contract in and waits until it is in force everywhere.
func (r *Rig) Enter(k contr.Contract) (uint64, error) {
	out, err := r.Instances[0].Put(admin.Change{Contract: k, Wait: true, Author: "rig"})
	if err == nil && out.Code != ctrl.OK {
		err = fault.New("enter contract", r.Instances[0].Name, "%s: %s", out.Code, out.Reason)
	}
	return out.Version, err
}

// Cells returns the schedulers' state as the instance shows it.
func (in *Instance) Cells() map[string]sched.State {
	out := map[string]sched.State{}
	_, _ = in.Operate(http.MethodGet, "/v1/cells", nil, &out)
	return out
}

// State returns the control state as the instance shows it.
func (in *Instance) State() (quorum.View, error) {
	var v quorum.View
	status, err := in.Operate(http.MethodGet, "/v1/state", nil, &v)
	if err == nil && status != http.StatusOK {
		err = fault.New("read state", in.Name, "status %d", status)
	}
	return v, err
}

// Live returns the number of live endpoints of a model or service, the least of its cells' numbers.
func (in *Instance) Live(what string) int {
	least := -1
	for name, st := range in.Cells() {
		if !strings.HasPrefix(name, what+"@"+Region) {
			continue
		}
		n := 0
		for _, e := range st.Endpoints {
			if e.Live {
				n++
			}
		}
		if least < 0 || n < least {
			least = n
		}
	}
	return max(least, 0)
}

// Leader returns the instance that leads the log, or nil.
func (r *Rig) Leader() *Instance {
	for _, in := range r.Instances {
		if in.Proc == nil || in.Ended() {
			continue
		}
		v, err := in.State()
		if err != nil {
			continue
		}
		m, _ := v.Status.Conf.Find(v.Status.Leader)
		for _, o := range r.Instances {
			if o.Name == m.Name {
				return o
			}
		}
	}
	return nil
}
