package node

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"github.com/greengagewheel/greengagewheel/internal/admin"
	"github.com/greengagewheel/greengagewheel/internal/broker"
	"github.com/greengagewheel/greengagewheel/internal/cell"
	"github.com/greengagewheel/greengagewheel/internal/clock"
	"github.com/greengagewheel/greengagewheel/internal/conf"
	"github.com/greengagewheel/greengagewheel/internal/conns"
	"github.com/greengagewheel/greengagewheel/internal/ctrl"
	"github.com/greengagewheel/greengagewheel/internal/engctl"
	"github.com/greengagewheel/greengagewheel/internal/entry"
	"github.com/greengagewheel/greengagewheel/internal/fault"
	"github.com/greengagewheel/greengagewheel/internal/group"
	"github.com/greengagewheel/greengagewheel/internal/memb"
	"github.com/greengagewheel/greengagewheel/internal/meter"
	"github.com/greengagewheel/greengagewheel/internal/pace"
	"github.com/greengagewheel/greengagewheel/internal/peer"
	"github.com/greengagewheel/greengagewheel/internal/quorum"
	"github.com/greengagewheel/greengagewheel/internal/repl"
	"github.com/greengagewheel/greengagewheel/internal/route"
	"github.com/greengagewheel/greengagewheel/internal/sched"
	"github.com/greengagewheel/greengagewheel/internal/spread"
	"github.com/greengagewheel/greengagewheel/internal/store"
)

const (
	// settleStop is how long a stopping instance still takes requests, until the balancer has seen that it is not ready.
	settleStop   = time.Second
	closeTimeout = 5 * time.Second
	drainCheck   = 20 * time.Millisecond
	headTimeout  = 5 * time.Second
)

type (
	// Node is one instance.
	Node struct {
		conf    conf.Settings
		log     *zap.Logger
		self    ctrl.Instance
		links   *peer.Links
		machine *ctrl.Machine
		group   *group.Group
		quorum  *quorum.Client
		members *quorum.Registrar
		server  *quorum.Server
		spread  *spread.Distributor
		cells   *cell.Manager
		broker  *broker.Broker
		entry   *entry.Entry
		admin   *admin.Admin
		orders  *engctl.Executor
		meter   *meter.Meter
		peers   *http.Server
		lists   listeners
		wg      conc.WaitGroup
		ctx     context.Context
		cancel  context.CancelFunc
	}

	listeners struct {
		callers, operators, peers net.Listener
	}
)

// New listens on the instance's addresses and puts its parts together.
func New(c conf.Settings, log *zap.Logger) (*Node, error) {
	now := time.Now()
	n := &Node{conf: c, log: log, machine: ctrl.NewMachine(), links: peer.NewLinks(c.Keys.Secret, c.Listen.Peers.Addr()), meter: meter.New()}
	n.ctx, n.cancel = context.WithCancel(context.Background())
	if err := n.listen(); err != nil {
		return nil, err
	}
	n.self = ctrl.Instance{
		Name: c.Instance.Name, Zone: c.Instance.Zone, Region: c.Instance.Region, Boot: c.Instance.Name + "-" + store.NewID(),
		Addr: addrOf(n.lists.peers),
	}
	if c.Listen.Advertise.IsValid() {
		n.self.Addr = c.Listen.Advertise
	}
	if err := n.openGroup(now); err != nil {
		return nil, err
	}
	n.assemble()
	return n, nil
}

func (n *Node) listen() error {
	for _, l := range []struct {
		at netip.AddrPort
		to *net.Listener
	}{
		{n.conf.Listen.Callers, &n.lists.callers},
		{n.conf.Listen.Operators, &n.lists.operators},
		{n.conf.Listen.Peers, &n.lists.peers},
	} {
		got, err := net.Listen("tcp", l.at.String())
		if err != nil {
			return fault.At("listen", l.at.String(), err)
		}
		*l.to = got
	}
	n.lists.callers = entry.Listener(n.lists.callers)
	n.lists.peers = n.links.Count().Listener(n.lists.peers)
	return nil
}

func addrOf(l net.Listener) netip.AddrPort {
	return netip.MustParseAddrPort(l.Addr().String())
}

// replica reports whether this instance holds the log.
func (n *Node) replica() bool {
	if n.conf.Instance.DataDir == "" {
		return false
	}
	for _, r := range n.conf.Peers.Replicas {
		if r.Name == n.conf.Instance.Name {
			return true
		}
	}
	return false
}

func (n *Node) openGroup(now time.Time) error {
	if !n.replica() {
		return nil
	}
	var members []repl.Member
	for _, r := range n.conf.Peers.Replicas {
		members = append(members, repl.Member{Name: r.Name, Addr: r.Addr})
	}
	g, err := group.New(group.Options{
		Name: n.conf.Instance.Name, DataDir: n.conf.Instance.DataDir, SelfAddr: n.self.Addr, Peers: members,
		Links: n.links, StateMachine: n.machine, Log: n.log, RandSeed: uint64(now.UnixNano()),
	})
	n.group = g
	return err
}

// root is the replica as the source of configuration.
type root struct {
	*group.Group
	*ctrl.Machine
	replicas []memb.Replica
}

// Replicas returns the replicas that the settings list.
func (r root) Replicas() []memb.Replica {
	return r.replicas
}

func (n *Node) assemble() {
	var addrs []netip.AddrPort
	var replicas []memb.Replica
	for _, r := range n.conf.Peers.Replicas {
		addrs = append(addrs, r.Addr)
		replicas = append(replicas, memb.Replica{Name: r.Name, Zone: r.Zone, Addr: r.Addr})
	}
	n.quorum = quorum.NewClient(n.links, func() []netip.AddrPort { return addrs }, nil)
	n.members = &quorum.Registrar{Client: n.quorum, Self: n.self, Log: n.log}
	if n.group != nil {
		n.members.LostInstances = n.lost
	}
	opt := spread.Options{
		Self: n.self, Replicas: replicas, MaxProofAge: n.conf.Proof.MaxAge.Std(), Links: n.links, Log: n.log,
	}
	if n.group != nil {
		opt.Root = root{n.group, n.machine, replicas}
	}
	n.spread = spread.New(opt)
	if n.group != nil {
		n.server = quorum.NewServer(n.group, n.machine, n.spread.LeastVersion)
		n.machine.OnChange(n.spread.Wake)
	}
	n.cells = cell.New(n.ctx, cell.Options{
		Self: n.self, Proposer: n.quorum, View: n.spread.View, ConfigCurrent: n.fresh, Log: n.log,
		KeepLeases: n.conf.Proof.NoQuorum == conf.NoQuorumServe,
		Scheduler: sched.Options{
			MaxQueued: n.conf.Sched.MaxQueued, TargetTokenInterval: n.conf.Sched.TokenInterval.Std(), SettleTime: n.conf.Sched.SettleTime.Std(),
			Policy: sched.Policy(n.conf.Sched.Policy), EndpointChoice: route.Policy(n.conf.Sched.Choice), SharedEndpoints: n.conf.Sched.Local,
		},
	})
	n.broker = broker.New(n.ctx, broker.Options{Self: n.self, Links: n.links, Quorum: n.quorum, Cells: n.cells, Log: n.log})
	n.entry = entry.New(n.ctx, entry.Options{
		Self: n.self, Limits: n.conf.Limits, EndpointKey: n.conf.Keys.Endpoint, ClusterSecret: n.conf.Keys.Secret, Standalone: n.conf.Sched.Local,
		View: n.spread.View, ConfigCurrent: n.fresh, Broker: n.broker, Quorum: n.quorum, Meter: n.meter, Logger: n.log,
	})
	n.orders = engctl.New(engctl.Options{Self: n.self, Log: n.quorum, DesiredStates: n.desired, Engines: n.engines, Logger: n.log})
	n.admin = admin.New(admin.Options{
		Self: n.self, Key: n.conf.Keys.Operator, View: n.spread.View, Age: n.spread.Age, Ready: n.entry.Ready, MaxAge: n.conf.Proof.MaxAge.Std(),
		Quorum: n.quorum, Broker: n.broker, Meter: n.meter, Log: n.log,
	})
	n.peers = &http.Server{Handler: n.peerRoutes(), ReadHeaderTimeout: headTimeout}
	conns.EnableHTTP2(n.peers)
}

// fresh reports whether the configuration is proven current, or need not be.
func (n *Node) fresh(now time.Time) bool {
	if n.conf.Proof.NoQuorum == conf.NoQuorumServe && n.spread.View().Version > 0 {
		return true
	}
	return n.spread.Fresh(now)
}

func (n *Node) peerRoutes() http.Handler {
	h := peer.Handlers{
		Pull:     peer.Typed(n.spread.Serve),
		Ask:      peer.Typed(n.cells.Handle),
		Finish:   peer.Typed(n.cells.Handle),
		Sync:     peer.Typed(n.cells.Handle),
		Announce: peer.Typed(n.cells.Handle),
		Show:     peer.Typed(n.cells.Handle),
	}
	if n.group != nil {
		h.Step = peer.Typed(n.group.Receive)
		h.Propose = peer.Typed(n.server.Propose)
		h.Holder = peer.Typed(n.server.Holder)
		h.Read = peer.Typed(n.server.Read)
	}
	mux := http.NewServeMux()
	mux.Handle("/twirp/", peer.NewHandler(n.conf.Keys.Secret, h))
	mux.Handle(entry.RunsPath, peer.Guard(n.conf.Keys.Secret, http.HandlerFunc(n.entry.ServeRun)))
	return mux
}

// lost returns the instances that have not registered for the given time, where this one leads the log.
func (n *Node) lost(age time.Duration) []ctrl.Instance {
	if n.group.Status().Role != repl.Leader.String() {
		return nil
	}
	return n.machine.SilentInstances(age)
}

// desired returns the orders to engines where this instance leads the log.
func (n *Node) desired() map[string]ctrl.DesiredState {
	if n.group == nil || n.group.Status().Role != repl.Leader.String() {
		return nil
	}
	return n.machine.DesiredStates()
}

// engines returns the endpoints that the schedulers know, by name.
func (n *Node) engines(ctx context.Context) map[string]sched.EndpointState {
	out := map[string]sched.EndpointState{}
	for _, st := range n.broker.States(ctx, cell.Names(n.spread.View())) {
		for _, e := range st.Endpoints {
			out[e.Name] = e
		}
	}
	return out
}

// Callers returns the address that callers use.
func (n *Node) Callers() netip.AddrPort {
	return addrOf(n.lists.callers)
}

// Operators returns the address that operators use.
func (n *Node) Operators() netip.AddrPort {
	return addrOf(n.lists.operators)
}

// Ready tells why the instance is not ready, or nil.
func (n *Node) Ready() error {
	return n.entry.Ready(clock.Now())
}

// Run serves until the context ends, then stops gracefully: no request in progress is cut off.
func (n *Node) Run(ctx context.Context) error {
	n.log.Info("instance starts", zap.String("name", n.self.Name), zap.String("zone", n.self.Zone), zap.String("boot", n.self.Boot),
		zap.Stringer("callers", n.Callers()), zap.Stringer("operators", n.Operators()), zap.Stringer("peers", n.self.Addr),
		zap.Bool("replica", n.group != nil))
	failed := make(chan error, 3)
	n.serve(failed, "callers", func() error { return n.entry.Serve(n.lists.callers) })
	n.serve(failed, "operators", func() error { return n.admin.Serve(n.lists.operators) })
	n.serve(failed, "peers", func() error { return n.peers.Serve(n.lists.peers) })
	if n.group != nil {
		n.wg.Go(func() { n.group.Run(n.ctx) })
	}
	n.wg.Go(func() { n.spread.Run(n.ctx) })
	n.wg.Go(func() { n.cells.Run(n.ctx) })
	n.wg.Go(func() { n.members.Run(n.ctx) })
	n.wg.Go(func() { n.gauges(n.ctx) })
	if n.group != nil {
		n.wg.Go(func() { n.orders.Run(n.ctx) })
	}
	var err error
	select {
	case <-ctx.Done():
	case err = <-failed:
	}
	n.stop()
	n.log.Info("instance stopped", zap.String("name", n.self.Name), zap.Error(err))
	return err
}

func (n *Node) serve(failed chan<- error, name string, f func() error) {
	n.wg.Go(func() {
		if err := f(); err != nil && !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) && n.ctx.Err() == nil {
			failed <- fmt.Errorf("serve %s: %w", name, err)
		}
	})
}

// gauges reports the instance's own state to the metrics.
func (n *Node) gauges(ctx context.Context) {
	pace.Every(ctx, time.Second, func() {
		n.meter.Gauge("config_version", float64(n.spread.View().Version))
		n.meter.Gauge("config_age_seconds", n.spread.Age(clock.Now()).Seconds())
		n.meter.Gauge("requests_in_progress", float64(n.entry.RequestsInProgress()))
		n.meter.Gauge("cells_held", float64(len(n.cells.HeldCells())))
		in, out := n.links.Count().Bytes()
		n.meter.Gauge("peer_bytes_received", float64(in))
		n.meter.Gauge("peer_bytes_sent", float64(out))
		n.meter.Gauge("peer_calls", float64(n.links.Calls()))
	})
}
