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

// Keys that a rig's instances and simulated endpoints are configured with. Operators authenticate with OperatorKey, endpoints that
// announce themselves with EndpointKey, and instances to each other with Secret.
const (
	OperatorKey = "operator-key-for-rigs"
	EndpointKey = "endpoint-key-for-rigs"
	Secret      = "shared-secret-for-rigs"
)

const (
	// WaitTimeout is the time limit of WaitUntil, and of each request to an operator API.
	WaitTimeout = 30 * time.Second
	// Region is the region of a rig's instances.
	Region       = "r"
	pollInterval = 20 * time.Millisecond
	fileMode     = 0o600
	zoneCount    = 3
	// The host numbers of a rig's addresses are counted up from firstInstanceHost for instances, and from firstStandinHost for
	// simulated endpoints. Addresses from FreeAddr are on sharedHost.
	firstInstanceHost = 11
	firstStandinHost  = 101
	sharedHost        = 251
	// listenersPerInstance counts the addresses that an instance listens on: for callers, operators and other instances.
	listenersPerInstance = 3
)

var (
	// ErrTimeout means that a condition was not met within WaitTimeout.
	ErrTimeout = errors.New("condition not met in time")
	// ErrExited means that an instance exited before it was ready.
	ErrExited = errors.New("process exited")
)

type (
	// Instance is one instance of a rig.
	Instance struct {
		*Proc          // nil before the first start
		Name           string
		Zone           string
		DataDir        string
		SettingsFile   string
		Callers        netip.AddrPort // address that it listens on for callers
		Operators      netip.AddrPort // address that it listens on for operators and metrics
		Peers          netip.AddrPort // address that it listens on for other instances
		AdvertisedAddr netip.AddrPort // address at which other instances reach it
	}

	// Options configures a rig.
	Options struct {
		BinDir        string // folder of the programs
		Dir           string // folder for settings and data
		Instances     int    // number of instances
		Replicas      int    // number of instances, from the first on, that hold a replica of the log
		ExtraSettings string // appended to the settings of each instance
		// PeerProxy, if set, returns the address at which other instances reach the peer address of the named instance.
		PeerProxy func(name string, to netip.AddrPort) netip.AddrPort
	}

	// Rig is a set of instances and simulated endpoints.
	Rig struct {
		opt          Options
		Instances    []*Instance
		procs        []*Proc
		standinCount int
	}

	// Standin is a process of the standin command, which simulates an endpoint, and its address.
	Standin struct {
		*Proc
		Addr netip.AddrPort
	}
)

// New chooses the addresses of a rig's instances, spread over three zones, and writes their settings. It starts no process.
func New(opt Options) (*Rig, error) {
	r := &Rig{opt: opt}
	for i := range opt.Instances {
		inst := &Instance{
			Name: fmt.Sprintf("i%d", i+1), Zone: string(rune('a' + i%zoneCount)),
			DataDir:      filepath.Join(opt.Dir, fmt.Sprintf("data%d", i+1)),
			SettingsFile: filepath.Join(opt.Dir, fmt.Sprintf("i%d.toml", i+1)),
		}
		addrs, err := FreeAddrs(LoopbackHost(firstInstanceHost+i), listenersPerInstance)
		if err != nil {
			return nil, err
		}
		inst.Callers, inst.Operators, inst.Peers = addrs[0], addrs[1], addrs[2]
		inst.AdvertisedAddr = inst.Peers
		if opt.PeerProxy != nil {
			inst.AdvertisedAddr = opt.PeerProxy(inst.Name, inst.Peers)
		}
		r.Instances = append(r.Instances, inst)
	}
	for i, inst := range r.Instances {
		if err := os.WriteFile(inst.SettingsFile, []byte(r.settings(i)), fileMode); err != nil {
			return nil, fault.Wrap("write settings", inst.Name, err)
		}
	}
	return r, nil
}

// settings returns the text of the settings file of instance i.
func (r *Rig) settings(i int) string {
	inst := r.Instances[i]
	var replicas []string
	for _, replica := range r.Instances[:r.opt.Replicas] {
		replicas = append(replicas, fmt.Sprintf("{ name = %q, zone = %q, addr = %q }", replica.Name, replica.Zone, replica.AdvertisedAddr))
	}
	var settings strings.Builder
	_, _ = fmt.Fprintf(&settings, "[instance]\nname = %q\nzone = %q\nregion = %q\n", inst.Name, inst.Zone, Region)
	if i < r.opt.Replicas {
		_, _ = fmt.Fprintf(&settings, "data = %q\n", inst.DataDir)
	}
	_, _ = fmt.Fprintf(&settings, "[listen]\ncallers = %q\noperators = %q\npeers = %q\n", inst.Callers, inst.Operators, inst.Peers)
	if inst.AdvertisedAddr != inst.Peers {
		_, _ = fmt.Fprintf(&settings, "advertise = %q\n", inst.AdvertisedAddr)
	}
	_, _ = fmt.Fprintf(&settings, "[peers]\nreplicas = [%s]\n", strings.Join(replicas, ", "))
	_, _ = fmt.Fprintf(&settings, "[keys]\noperator = %q\nendpoint = %q\nsecret = %q\n", OperatorKey, EndpointKey, Secret)
	settings.WriteString(r.opt.ExtraSettings)
	return settings.String()
}

// Start starts all instances and waits until they are ready. It returns ErrExited if one exits, or ErrTimeout after WaitTimeout.
func (r *Rig) Start() error {
	for _, inst := range r.Instances {
		if err := r.StartInstance(inst); err != nil {
			return err
		}
	}
	return r.WaitReady()
}

// StartInstance starts an instance that is not running. It doesn't wait until the instance is ready.
func (r *Rig) StartInstance(inst *Instance) error {
	p, err := spawn(r.opt.BinDir, "greengagewheel", "serve", "--conf", inst.SettingsFile)
	if err != nil {
		return err
	}
	inst.Proc = p
	r.procs = append(r.procs, p)
	return nil
}

// WaitReady waits until all instances are ready. It returns ErrExited if one exits, or ErrTimeout after WaitTimeout.
func (r *Rig) WaitReady() error {
	for _, inst := range r.Instances {
		if err := WaitUntil(inst.Name+" is ready or has exited", func() bool { return inst.Exited() || inst.Ready() }); err != nil {
			return err
		}
		if inst.Exited() {
			return fault.Errorf("start", inst.Name, "%w: %s", ErrExited, inst.Log())
		}
	}
	return nil
}

// Close kills all processes of the rig.
func (r *Rig) Close() {
	for _, p := range r.procs {
		p.Kill()
	}
}

// WaitUntil polls condition until it holds. It returns ErrTimeout, with the description, after WaitTimeout.
func WaitUntil(description string, condition func() bool) error {
	for deadline := time.Now().Add(WaitTimeout); time.Now().Before(deadline); time.Sleep(pollInterval) {
		if condition() {
			return nil
		}
	}
	return fmt.Errorf("%w: %s", ErrTimeout, description)
}

// Ready reports whether the instance is ready to serve callers.
func (inst *Instance) Ready() bool {
	resp, err := (&http.Client{Timeout: time.Second}).Get(fmt.Sprintf("http://%s/readyz", inst.Operators))
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// Standin starts a simulated endpoint of a kind ("engine" or "service") that serves a model or service, at a free address. It announces
// itself to the rig's instances. extra holds further arguments of the standin command.
func (r *Rig) Standin(kind, name, zone, serves string, extra ...string) (Standin, error) {
	addr, err := freeAddr(firstStandinHost + r.standinCount)
	if err != nil {
		return Standin{}, err
	}
	r.standinCount++
	return r.StandinAt(addr, kind, name, zone, serves, extra...)
}

// StandinAt starts a simulated endpoint as Standin does, at the given address.
func (r *Rig) StandinAt(addr netip.AddrPort, kind, name, zone, serves string, extra ...string) (Standin, error) {
	var callerAddrs []string
	for _, inst := range r.Instances {
		callerAddrs = append(callerAddrs, inst.Callers.String())
	}
	args := append([]string{"--kind", kind, "--name", name, "--listen", addr.String(), "--zone", zone,
		"--serves", serves, "--announce", strings.Join(callerAddrs, ",")}, extra...)
	p, err := spawn(r.opt.BinDir, "standin", args...)
	if err != nil {
		return Standin{}, err
	}
	r.procs = append(r.procs, p)
	return Standin{Proc: p, Addr: addr}, nil
}
