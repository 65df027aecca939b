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
	// drainNoticeTime is how long a stopping instance still accepts requests, so that the load balancer can see that it is not
	// ready.
	drainNoticeTime = time.Second
	// closeTimeout bounds the handover of the schedulers, and then the closing of the servers and the deregistration.
	closeTimeout = 5 * time.Second
	// pollInterval is the time between two checks of a condition that is waited for.
	pollInterval = 20 * time.Millisecond
	// readHeaderTimeout bounds the reading of the header of a peer's request.
	readHeaderTimeout = 5 * time.Second
)

type (
	// Node is one instance of the router.
	Node struct {
		conf          conf.Settings
		log           *zap.Logger
		self          ctrl.Instance
		links         *peer.Links
		machine       *ctrl.Machine
		group         *group.Group
		quorum        *quorum.Client
		registrar     *quorum.Registrar
		quorumServer  *quorum.Server
		distributor   *spread.Distributor
		cells         *cell.Manager
		broker        *broker.Broker
		entry         *entry.Entry
		admin         *admin.Admin
		orderExecutor *engctl.Executor
		meter         *meter.Meter
		peerServer    *http.Server
		listeners     listeners
		wg            conc.WaitGroup
		ctx           context.Context
		cancel        context.CancelFunc
	}

	// listeners holds the listeners of an instance, by who connects to them.
	listeners struct {
		callers, operators, peers net.Listener
	}
)

// New opens the listeners of an instance and assembles its components; Run starts them.
func New(c conf.Settings, log *zap.Logger) (*Node, error) {
	now := time.Now()
	n := &Node{
		conf: c, log: log, machine: ctrl.NewMachine(), links: peer.NewLinks(c.Keys.Secret, c.Listen.Peers.Addr()), meter: meter.New(),
	}
	n.ctx, n.cancel = context.WithCancel(context.Background())
	if err := n.listen(); err != nil {
		return nil, err
	}
	n.self = ctrl.Instance{
		Name: c.Instance.Name, Zone: c.Instance.Zone, Region: c.Instance.Region, Boot: c.Instance.Name + "-" + store.NewID(),
		Addr: listenerAddr(n.listeners.peers),
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

// listen opens the listeners on the configured addresses.
func (n *Node) listen() error {
	for _, target := range []struct {
		addr     netip.AddrPort
		listener *net.Listener
	}{
		{n.conf.Listen.Callers, &n.listeners.callers},
		{n.conf.Listen.Operators, &n.listeners.operators},
		{n.conf.Listen.Peers, &n.listeners.peers},
	} {
		listener, err := net.Listen("tcp", target.addr.String())
		if err != nil {
			return fault.Wrap("listen", target.addr.String(), err)
		}
		*target.listener = listener
	}
	n.listeners.callers = entry.Listener(n.listeners.callers)
	n.listeners.peers = n.links.ByteCounter().Listener(n.listeners.peers)
	return nil
}

func listenerAddr(l net.Listener) netip.AddrPort {
	return netip.MustParseAddrPort(l.Addr().String())
}

// isReplica reports whether this instance holds a replica of the log.
func (n *Node) isReplica() bool {
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

// openGroup opens the replica of the log, if this instance holds one.
func (n *Node) openGroup(now time.Time) error {
	if !n.isReplica() {
		return nil
	}
	var foundingMembers []repl.Member
	for _, r := range n.conf.Peers.Replicas {
		foundingMembers = append(foundingMembers, repl.Member{Name: r.Name, Addr: r.Addr})
	}
	g, err := group.New(group.Options{
		Name: n.conf.Instance.Name, DataDir: n.conf.Instance.DataDir, SelfAddr: n.self.Addr, FoundingMembers: foundingMembers,
		Links: n.links, StateMachine: n.machine, Log: n.log, RandSeed: uint64(now.UnixNano()),
	})
	n.group = g
	return err
}

// localReplica provides the configuration from the local replica.
type localReplica struct {
	*group.Group
	*ctrl.Machine
	replicas []memb.Replica
}

// Replicas returns the replicas listed in the settings.
func (r localReplica) Replicas() []memb.Replica {
	return r.replicas
}

// assemble creates the components of the instance and connects them.
func (n *Node) assemble() {
	var addrs []netip.AddrPort
	var replicas []memb.Replica
	for _, r := range n.conf.Peers.Replicas {
		addrs = append(addrs, r.Addr)
		replicas = append(replicas, memb.Replica{Name: r.Name, Zone: r.Zone, Addr: r.Addr})
	}
	n.quorum = quorum.NewClient(n.links, func() []netip.AddrPort { return addrs }, nil)
	n.registrar = &quorum.Registrar{Client: n.quorum, Self: n.self, Log: n.log}
	if n.group != nil {
		n.registrar.SilentInstances = n.silentInstances
	}
	opt := spread.Options{
		Self: n.self, Replicas: replicas, MaxProofAge: n.conf.Proof.MaxAge.Std(), Links: n.links, Log: n.log,
	}
	if n.group != nil {
		opt.LocalReplica = localReplica{n.group, n.machine, replicas}
	}
	n.distributor = spread.New(opt)
	if n.group != nil {
		n.quorumServer = quorum.NewServer(n.group, n.machine, n.distributor.LeastVersion)
		n.machine.OnChange(n.distributor.Wake)
	}
	n.cells = cell.New(n.ctx, cell.Options{
		Self: n.self, Proposer: n.quorum, View: n.distributor.View, ConfigCurrent: n.configCurrent, Log: n.log,
		KeepLeases: n.conf.Proof.NoQuorum == conf.NoQuorumServe,
		Scheduler: sched.Options{
			MaxQueued: n.conf.Sched.MaxQueued, TokenIntervalTarget: n.conf.Sched.TokenIntervalTarget.Std(),
			SettleTime: n.conf.Sched.SettleTime.Std(), Policy: sched.Policy(n.conf.Sched.Policy),
			EndpointChoice: route.Policy(n.conf.Sched.EndpointChoice), SharedEndpoints: n.conf.Sched.Standalone,
		},
	})
	n.broker = broker.New(n.ctx, broker.Options{Self: n.self, Links: n.links, Quorum: n.quorum, Cells: n.cells, Log: n.log})
	n.entry = entry.New(n.ctx, entry.Options{
		Self: n.self, Limits: n.conf.Limits, EndpointKey: n.conf.Keys.Endpoint, ClusterSecret: n.conf.Keys.Secret,
		Standalone: n.conf.Sched.Standalone, View: n.distributor.View, ConfigCurrent: n.configCurrent, Broker: n.broker,
		Quorum: n.quorum, Meter: n.meter, Log: n.log,
	})
	n.orderExecutor = engctl.New(engctl.Options{
		Self: n.self, Log: n.quorum, DesiredStates: n.desiredStates, Engines: n.endpointStates, Logger: n.log,
	})
	n.admin = admin.New(admin.Options{
		Self: n.self, Key: n.conf.Keys.Operator, View: n.distributor.View, ProofAge: n.distributor.ProofAge, Ready: n.entry.Ready,
		MaxProofAge: n.conf.Proof.MaxAge.Std(), Quorum: n.quorum, Broker: n.broker, Meter: n.meter, Log: n.log,
	})
	n.peerServer = &http.Server{Handler: n.peerHandler(), ReadHeaderTimeout: readHeaderTimeout}
	conns.EnableHTTP2(n.peerServer)
}

// configCurrent reports whether requests may be served with the present configuration: it is proven current, or the settings
// allow serving without proof once a configuration has been received.
func (n *Node) configCurrent(now time.Time) bool {
	if n.conf.Proof.NoQuorum == conf.NoQuorumServe && n.distributor.View().Version > 0 {
		return true
	}
	return n.distributor.ConfigCurrent(now)
}

// peerHandler returns the handler of requests from other instances.
func (n *Node) peerHandler() http.Handler {
	handlers := peer.Handlers{
		Pull:     peer.TypedHandler(n.distributor.Serve),
		Ask:      peer.TypedHandler(n.cells.Handle),
		Finish:   peer.TypedHandler(n.cells.Handle),
		Sync:     peer.TypedHandler(n.cells.Handle),
		Announce: peer.TypedHandler(n.cells.Handle),
		Show:     peer.TypedHandler(n.cells.Handle),
	}
	if n.group != nil {
		handlers.Step = peer.TypedHandler(n.group.Receive)
		handlers.Propose = peer.TypedHandler(n.quorumServer.Propose)
		handlers.Holder = peer.TypedHandler(n.quorumServer.Holder)
		handlers.Read = peer.TypedHandler(n.quorumServer.Read)
	}
	mux := http.NewServeMux()
	mux.Handle("/twirp/", peer.NewHandler(n.conf.Keys.Secret, handlers))
	mux.Handle(entry.RunsPath, peer.RequireSecret(n.conf.Keys.Secret, http.HandlerFunc(n.entry.ServeRun)))
	return mux
}

// silentInstances returns the instances that have not registered for minAge, or nil unless this instance leads the log.
func (n *Node) silentInstances(minAge time.Duration) []ctrl.Instance {
	if n.group.Status().Role != repl.Leader.String() {
		return nil
	}
	return n.machine.SilentInstances(minAge)
}

// desiredStates returns the desired states of the engines, or nil unless this instance leads the log.
func (n *Node) desiredStates() map[string]ctrl.DesiredState {
	if n.group == nil || n.group.Status().Role != repl.Leader.String() {
		return nil
	}
	return n.machine.DesiredStates()
}

// endpointStates returns the state of each endpoint that the schedulers know, by name.
func (n *Node) endpointStates(ctx context.Context) map[string]sched.EndpointState {
	states := map[string]sched.EndpointState{}
	for _, cellState := range n.broker.States(ctx, cell.Names(n.distributor.View())) {
		for _, endpoint := range cellState.Endpoints {
			states[endpoint.Name] = endpoint
		}
	}
	return states
}

// CallersAddr returns the address on which the instance listens for callers.
func (n *Node) CallersAddr() netip.AddrPort {
	return listenerAddr(n.listeners.callers)
}

// OperatorsAddr returns the address on which the instance listens for operators.
func (n *Node) OperatorsAddr() netip.AddrPort {
	return listenerAddr(n.listeners.operators)
}

// Ready returns nil if the instance is ready, or else the reason why it is not.
func (n *Node) Ready() error {
	return n.entry.Ready(clock.Now())
}

// Run serves until ctx is canceled or a server fails. It then stops gracefully: requests in progress are finished, unless the
// settings limit the time for that. It returns the error of the failed server.
func (n *Node) Run(ctx context.Context) error {
	n.log.Info("instance starts", zap.String("name", n.self.Name), zap.String("zone", n.self.Zone), zap.String("boot", n.self.Boot),
		zap.Stringer("callers", n.CallersAddr()), zap.Stringer("operators", n.OperatorsAddr()), zap.Stringer("peers", n.self.Addr),
		zap.Bool("replica", n.group != nil))
	serveErrs := make(chan error, 3)
	n.serve(serveErrs, "callers", func() error { return n.entry.Serve(n.listeners.callers) })
	n.serve(serveErrs, "operators", func() error { return n.admin.Serve(n.listeners.operators) })
	n.serve(serveErrs, "peers", func() error { return n.peerServer.Serve(n.listeners.peers) })
	if n.group != nil {
		n.wg.Go(func() { n.group.Run(n.ctx) })
	}
	n.wg.Go(func() { n.distributor.Run(n.ctx) })
	n.wg.Go(func() { n.cells.Run(n.ctx) })
	n.wg.Go(func() { n.registrar.Run(n.ctx) })
	n.wg.Go(func() { n.updateGauges(n.ctx) })
	if n.group != nil {
		n.wg.Go(func() { n.orderExecutor.Run(n.ctx) })
	}
	var err error
	select {
	case <-ctx.Done():
	case err = <-serveErrs:
	}
	n.stop()
	n.log.Info("instance stopped", zap.String("name", n.self.Name), zap.Error(err))
	return err
}

// serve runs a server in a goroutine and reports a failure that is not caused by closing it.
func (n *Node) serve(errs chan<- error, name string, serve func() error) {
	n.wg.Go(func() {
		if err := serve(); err != nil && !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) && n.ctx.Err() == nil {
			errs <- fmt.Errorf("serve %s: %w", name, err)
		}
	})
}

// updateGauges sets the gauges of the instance's own state every second until ctx is canceled.
func (n *Node) updateGauges(ctx context.Context) {
	pace.Every(ctx, time.Second, func() {
		n.meter.SetGauge("config_version", float64(n.distributor.View().Version))
		n.meter.SetGauge("config_age_seconds", n.distributor.ProofAge(clock.Now()).Seconds())
		n.meter.SetGauge("requests_in_progress", float64(n.entry.RequestsInProgress()))
		n.meter.SetGauge("cells_held", float64(len(n.cells.HeldCells())))
		received, sent := n.links.ByteCounter().Bytes()
		n.meter.SetGauge("peer_bytes_received", float64(received))
		n.meter.SetGauge("peer_bytes_sent", float64(sent))
		n.meter.SetGauge("peer_calls", float64(n.links.Calls()))
	})
}
