package rig

import (
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/greengagewheel/greengagewheel/internal/fault"
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

// New writes the settings of a rig's instances, in three zones; the first ones hold the log.
func New(opt Options) (*Rig, error) {
	r := &Rig{opt: opt}
	for i := range opt.Instances {
		in := &Instance{
			Name: fmt.Sprintf("i%d", i+1), Zone: string(rune('a' + i%zones)),
			Dir:  filepath.Join(opt.Dir, fmt.Sprintf("data%d", i+1)),
			Conf: filepath.Join(opt.Dir, fmt.Sprintf("i%d.toml", i+1)),
		}
		as, err := FreeAddrs(Host(firstInstance+i), listeners)
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
			return nil, fault.Wrap("write settings", in.Name, err)
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
			return fault.Errorf("start", in.Name, "%w: %s", ErrEnded, in.Log())
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
