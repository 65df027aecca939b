package router

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/gofiber/fiber/v2"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"github.com/greengagewheel/greengagewheel/internal/budget"
	"github.com/greengagewheel/greengagewheel/internal/clock"
	"github.com/greengagewheel/greengagewheel/internal/conf"
	"github.com/greengagewheel/greengagewheel/internal/conns"
	"github.com/greengagewheel/greengagewheel/internal/ctrl"
	"github.com/greengagewheel/greengagewheel/internal/detour"
	"github.com/greengagewheel/greengagewheel/internal/duty"
	"github.com/greengagewheel/greengagewheel/internal/egress"
	"github.com/greengagewheel/greengagewheel/internal/entry"
	"github.com/greengagewheel/greengagewheel/internal/fault"
	"github.com/greengagewheel/greengagewheel/internal/group"
	"github.com/greengagewheel/greengagewheel/internal/memb"
	"github.com/greengagewheel/greengagewheel/internal/meter"
	"github.com/greengagewheel/greengagewheel/internal/origin"
	"github.com/greengagewheel/greengagewheel/internal/peer"
	"github.com/greengagewheel/greengagewheel/internal/picker"
	"github.com/greengagewheel/greengagewheel/internal/proxy"
	"github.com/greengagewheel/greengagewheel/internal/quorum"
	"github.com/greengagewheel/greengagewheel/internal/repl"
	"github.com/greengagewheel/greengagewheel/internal/spread"
	"github.com/greengagewheel/greengagewheel/internal/store"
	"github.com/greengagewheel/greengagewheel/internal/usage"
)

const (
	// readHeaderTimeout bounds the time to read a request header.
	readHeaderTimeout = 5 * time.Second
	// acceptLogInterval is the minimum time between two log lines about connections that a listener could not accept.
	acceptLogInterval = 10 * time.Second
	// idleTimeout is longer than callers keep connections idle.
	idleTimeout = 60 * time.Second
	// maxHeaderBytes bounds the header of a caller's request.
	maxHeaderBytes = 64 << 10
	// maxOperatorConns bounds the connections of operators and endpoints, below the file descriptor limit of a small
	// machine. Clients beyond it are told to use another replica.
	maxOperatorConns = 3000
	// maxOperatorBodyBytes bounds the body of an operator's request, in bytes.
	maxOperatorBodyBytes = 32 << 20
	// connectionBytes is an estimate of what a connection without a complete header takes: header, buffers and stack.
	connectionBytes = 32 << 10
	// minNewConns is the least bound of connections without a complete header. Ordinary callers that all connect at once stay below it.
	minNewConns = 256
	// budgetInterval is the interval of the ticks in which stalled bodies are counted.
	budgetInterval = time.Second
	// memoryLimitRatio is the fraction of the allowed memory that is set as the soft limit of the garbage collector.
	memoryLimitRatio = 0.7
	// gcPercent is the heap growth between two garbage collections, in percent. It is high because the heap is small
	// compared to the memory that a process may use.
	gcPercent = 300
)

type (
	// Wire implements the protocols spoken with callers, engines, operators and the load balancer in front of the instances.
	Wire interface {
		Dialect() proxy.Dialect
		Engines() picker.Engines
		Operators(app *fiber.App, c Control)
		LoadBalancer(app *fiber.App, ready func() error)
		Duties() Duties
	}

	// Router is one instance.
	Router struct {
		conf         atomic.Pointer[conf.Settings]
		settingsFile string
		startedAt    time.Time
		log          *zap.Logger
		self         ctrl.Instance
		links        *peer.Links
		meter        *meter.Meter
		budget       *budget.Budget
		quorum       *quorum.Client
		registrar    *quorum.Registrar
		distributor  *spread.Distributor
		origins      *origin.Keeper

		// The replica of the log and its services; nil if the instance has no data folder.
		group        *group.Group
		machine      *ctrl.Machine
		quorumServer *quorum.Server
		pickerServer *picker.Server
		control      *control
		// duties holds the duties of this instance and dutyCalls makes their calls; nil without duties in the settings.
		duties    *duty.Keeper
		dutyCalls Duties
		// usageCollector gathers the usage that usageRunner reports, usageCounter counts that of this entry instance; nil without the duty.
		usageCollector *usage.Collector
		usageRunner    *usage.Runner
		usageCounter   *usage.Counter

		// What serves callers; nil if the instance has no address for them.
		picker       *picker.Picker
		crashes      *crashReporter
		proxy        *proxy.Proxy
		callerServer *http.Server
		callerConns  *idleConns

		peerServer *http.Server
		apps       []*fiber.App
		listeners  []servedListener
		wg         conc.WaitGroup
		ctx        context.Context
		cancel     context.CancelFunc
	}

	// servedListener is a listener and the function that serves it.
	servedListener struct {
		name     string
		listener net.Listener
		serve    func(net.Listener) error
	}
)

// New creates an instance and listens on its addresses. The settings are reloaded from file when it changes. An error
// means that the log could not be opened or an address is not available.
func New(c conf.Settings, file string, wire Wire, log *zap.Logger) (*Router, error) {
	r := &Router{
		settingsFile: file, startedAt: clock.Now(), log: log, links: peer.NewLinks(c.Keys.Secret, c.Listen.Peers.Addr()),
		meter: meter.New(),
		// The clock of time.Now stands still while the machine is suspended, so that no client is blamed for that. It takes no system call.
		budget: budget.New(c.Limits.Held(), time.Now),
	}
	r.conf.Store(&c)
	r.ctx, r.cancel = context.WithCancel(context.Background())
	r.self = ctrl.Instance{
		Name: c.Instance.Name, Zone: c.Instance.Zone, Region: c.Instance.Region, Boot: c.Instance.Name + "-" + store.NewID(),
		Addr: c.Listen.Peers,
	}
	if limit := c.Limits.MemoryLimit; limit > 0 {
		debug.SetMemoryLimit(int64(float64(limit) * memoryLimitRatio))
	}
	debug.SetGCPercent(gcPercent)
	if err := r.openGroup(&c); err != nil {
		return nil, err
	}
	r.assemble(&c, wire)
	if c.Listen.Callers.IsValid() {
		r.serveCallers(&c, wire)
	}
	if c.Listen.Operators.IsValid() {
		r.serveOperators(&c, wire)
	}
	r.peerServer = &http.Server{Handler: r.peerHandler(&c), ReadHeaderTimeout: readHeaderTimeout}
	conns.EnableHTTP2(r.peerServer)
	return r, r.listen(&c)
}

// openGroup opens the replica of the log if the instance has a data folder.
func (r *Router) openGroup(c *conf.Settings) error {
	if c.Instance.DataDir == "" {
		return nil
	}
	r.machine = ctrl.NewMachine()
	var foundingMembers []repl.Member
	if c.Peers.MayFound {
		foundingMembers = r.foundingMembers(c)
	}
	replica, err := group.New(group.Options{
		Name: c.Instance.Name, Zone: c.Instance.Zone, DataDir: c.Instance.DataDir, SelfAddr: c.Listen.Peers, FoundingMembers: foundingMembers,
		SeedAddrs: r.seeds, TargetVoters: 2*c.Peers.MaxLost + 1, Links: r.links, StateMachine: r.machine, Log: r.log,
		RandSeed: uint64(time.Now().UnixNano()),
	})
	r.group = replica
	return err
}

// foundingMembers returns the seeds as the initial members of the log, or nil if this instance is not among them.
func (r *Router) foundingMembers(c *conf.Settings) []repl.Member {
	var out []repl.Member
	included := false
	for _, addr := range r.seeds() {
		out = append(out, repl.Member{Addr: addr})
		included = included || addr == c.Listen.Peers
	}
	if !included {
		return nil
	}
	return out
}

// seeds returns the peer addresses of the seeds, the replicas that the settings name.
func (r *Router) seeds() []netip.AddrPort {
	c := r.conf.Load()
	var out []netip.AddrPort
	for _, seed := range c.Peers.Seeds {
		out = append(out, netip.AddrPortFrom(seed.Addr(), c.Listen.Peers.Port()))
	}
	return out
}

// localReplica provides the configuration from the local replica.
type localReplica struct {
	*group.Group
	*ctrl.Machine
}

// Replicas returns the members of the log.
func (replica localReplica) Replicas() []memb.Replica {
	var out []memb.Replica
	for _, member := range replica.Status().Conf.Members {
		out = append(out, memb.Replica{Name: member.Name, Zone: member.Zone, Addr: member.Addr})
	}
	return out
}

func (r *Router) assemble(c *conf.Settings, wire Wire) {
	opt := spread.Options{Self: r.self, SeedAddrs: r.seeds, ReplicasOnly: true, MaxProofAge: c.Proof.MaxAge.Std(), Links: r.links, Log: r.log}
	if r.group != nil {
		opt.LocalReplica = localReplica{r.group, r.machine}
	}
	r.distributor = spread.New(opt)
	r.origins = r.newOrigins()
	r.quorum = quorum.NewClient(r.links, r.replicas, r.leader)
	r.registrar = &quorum.Registrar{Client: r.quorum, Self: r.self, Delay: r.delayRegistration, Log: r.log}
	if r.group != nil {
		r.quorumServer = quorum.NewServer(r.group, r.machine, r.distributor.LeastVersion)
		r.machine.OnChange(r.distributor.Wake)
		r.group.OnLeaderChange(r.distributor.LeaderChanged)
		r.pickerServer = picker.NewServer(picker.ServerOptions{
			View: r.distributor.View, IsLeader: r.isLeader, Engines: wire.Engines(), Now: clock.Now, Log: r.log,
		})
		r.control = newControl(r, c)
		r.openDuties(c, wire)
	}
	r.openUsage(c)
}

// replicas returns the addresses of the known replicas, followed by those of the seeds.
func (r *Router) replicas() []netip.AddrPort {
	var out []netip.AddrPort
	for _, replica := range r.distributor.Replicas() {
		out = append(out, replica.Addr)
	}
	return append(out, r.seeds()...)
}

// leader returns the address of the presumed leader for peers, or an invalid one if unknown.
func (r *Router) leader() netip.AddrPort {
	if r.group != nil {
		return r.group.LeaderAddr()
	}
	return r.distributor.Leader()
}

// isLeader reports whether this instance is the leader of the log.
func (r *Router) isLeader() bool {
	return r.group.Status().Role == repl.Leader.String()
}

func (r *Router) serveCallers(c *conf.Settings, wire Wire) {
	r.picker = picker.New(picker.Options{
		Self: r.self, Links: r.links, View: r.distributor.View, Leader: r.distributor.Leader, Now: clock.Now,
		Standalone: c.Sched.Standalone, Usage: r.pickerUsage(), Log: r.log,
	})
	r.crashes = newCrashReporter(r.quorum, r.log)
	r.proxy = proxy.New(proxy.Options{
		Name: r.self.Name, Zone: r.self.Zone, Dialect: wire.Dialect(), Dialer: egress.NewDialer(), Sender: r.links, View: r.distributor.View,
		ConfigCurrent: r.distributor.ConfigCurrent, Chooser: r.picker, Origins: r.origins, Crashes: r.crashes, RetryAllowance: r.currentRetryAllowance,
		Usage: r.proxyUsage(), Budget: r.budget, Now: clock.Now, Meter: r.meter, Log: r.log,
	})
	r.callerConns = newIdleConns()
	if held := c.Limits.Held(); held > 0 {
		r.callerConns.maxNew = max(int(held/connectionBytes), minNewConns)
	}
	r.callerServer = &http.Server{
		Handler: r.proxy, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		ConnState: r.callerConns.track,
		ErrorLog:  zap.NewStdLog(r.log.WithOptions(zap.IncreaseLevel(zap.ErrorLevel))),
	}
	app := r.newApp()
	wire.LoadBalancer(app, func() error { return r.proxy.Ready(clock.Now()) })
	r.apps = append(r.apps, app)
	r.listeners = append(r.listeners, servedListener{name: "ready", serve: app.Listener})
}

func (r *Router) serveOperators(_ *conf.Settings, wire Wire) {
	app := r.newApp()
	wire.Operators(app, r.control)
	r.apps = append(r.apps, app)
	r.listeners = append(r.listeners, servedListener{name: "operators", serve: app.Listener})
}

// newApp returns an app whose handlers get whole bodies, within the budget.
func (r *Router) newApp() *fiber.App {
	app := fiber.New(fiber.Config{
		BodyLimit: maxOperatorBodyBytes, Concurrency: maxOperatorConns, Immutable: true, DisableStartupMessage: true,
		IdleTimeout: idleTimeout, ReadTimeout: idleTimeout, StreamRequestBody: r.budget.Bounded(),
		DisablePreParseMultipartForm: r.budget.Bounded(),
	})
	if r.budget.Bounded() {
		app.Use(r.readOperatorBody)
	}
	return app
}

func (r *Router) peerHandler(c *conf.Settings) http.Handler {
	handlers := peer.Handlers{Pull: peer.TypedHandler(r.distributor.Serve), Ask: peer.TypedHandler(r.serveAsk)}
	if r.group != nil {
		handlers.Step = peer.TypedHandler(r.group.Receive)
		handlers.Propose = peer.TypedHandler(r.quorumServer.Propose)
		handlers.Read = peer.TypedHandler(r.quorumServer.Read)
		handlers.Announce = peer.TypedHandler(r.control.handleMessage)
	}
	mux := http.NewServeMux()
	mux.Handle("/twirp/", peer.NewHandler(c.Keys.Secret, handlers))
	if r.proxy != nil {
		mux.Handle(detour.Path, peer.RequireSecret(c.Keys.Secret, http.HandlerFunc(r.proxy.ServeDetour)))
	}
	return mux
}

// listen opens the listeners.
func (r *Router) listen(c *conf.Settings) error {
	addrs := map[string]netip.AddrPort{"ready": c.Listen.Ready, "operators": c.Listen.Operators}
	r.listeners = append(r.listeners, servedListener{name: "peers", serve: r.peerServer.Serve})
	addrs["peers"] = c.Listen.Peers
	if r.callerServer != nil {
		r.listeners = append(r.listeners, servedListener{name: "callers", serve: r.callerServer.Serve})
		addrs["callers"] = c.Listen.Callers
	}
	if c.Listen.Metrics.IsValid() {
		metricsServer := &http.Server{Handler: r.meter.Handler(), ReadHeaderTimeout: readHeaderTimeout, MaxHeaderBytes: maxHeaderBytes}
		r.listeners = append(r.listeners, servedListener{name: "metrics", serve: metricsServer.Serve})
		addrs["metrics"] = c.Listen.Metrics
	}
	for i := range r.listeners {
		served := &r.listeners[i]
		l, err := net.Listen("tcp", addrs[served.name].String())
		if err != nil {
			return fault.Wrap("listen", addrs[served.name].String(), err)
		}
		l = conns.RetryAccept(l, r.newAcceptLogger(served.name))
		served.listener = l
		switch served.name {
		case "callers":
			served.listener = entry.Listener(l)
		case "peers":
			served.listener = r.links.ByteCounter().Listener(l)
		}
	}
	return nil
}

// newAcceptLogger returns a function that logs connections that a listener could not accept, at most one line in acceptLogInterval.
func (r *Router) newAcceptLogger(listener string) func(error) {
	var loggedAt time.Time
	return func(err error) {
		if now := clock.Now(); now.Sub(loggedAt) >= acceptLogInterval {
			loggedAt = now
			r.log.Warn("connection not accepted", zap.String("name", listener), zap.Error(err))
		}
	}
}

// Run serves until ctx ends or a part fails, then stops the instance. After ctx ended it stops gracefully, within the
// grace time of the settings. It returns the error of the part that failed.
func (r *Router) Run(ctx context.Context) error {
	r.log.Info("instance starts", zap.String("name", r.self.Name), zap.String("zone", r.self.Zone), zap.String("boot", r.self.Boot),
		zap.Bool("replica", r.group != nil), zap.Bool("callers", r.proxy != nil), zap.Stringer("peers", r.self.Addr))
	failed := make(chan error, len(r.listeners)+1)
	for _, served := range r.listeners {
		r.wg.Go(func() {
			if err := served.serve(served.listener); err != nil && !errors.Is(err, http.ErrServerClosed) &&
				!errors.Is(err, net.ErrClosed) && r.ctx.Err() == nil {
				failed <- fmt.Errorf("serve %s: %w", served.name, err)
			}
		})
	}
	r.startBackground(failed)
	var err error
	select {
	case <-ctx.Done():
	case err = <-failed:
		r.log.Error("instance fails", zap.Error(err))
	}
	r.stop(err == nil)
	r.log.Info("instance stopped", zap.String("name", r.self.Name), zap.Error(err))
	return err
}

// errReplicaEnded means that the replica of the log stopped by itself.
var errReplicaEnded = errors.New("the replica of the log has ended")

// startBackground starts the background tasks. Failures are sent to failed.
func (r *Router) startBackground(failed chan<- error) {
	if r.group != nil {
		r.wg.Go(func() {
			r.group.Run(r.ctx)
			if r.ctx.Err() == nil {
				failed <- errReplicaEnded
			}
		})
		r.wg.Go(func() { r.pickerServer.Run(r.ctx) })
		r.wg.Go(func() { r.control.run(r.ctx) })
	}
	if r.duties != nil {
		r.wg.Go(func() { r.runDuties(r.ctx) })
		if scaler := r.newScaler(r.conf.Load()); scaler != nil {
			r.wg.Go(func() { scaler.Run(r.ctx) })
			r.wg.Go(func() { r.exportOrders(r.ctx) })
		}
	}
	if r.usageRunner != nil {
		r.wg.Go(func() { r.usageRunner.Run(r.ctx) })
	}
	if r.picker != nil {
		r.wg.Go(func() { r.registrar.Run(r.ctx) })
		r.wg.Go(func() { r.picker.Run(r.ctx) })
		r.wg.Go(func() { r.origins.Run(r.ctx) })
		r.wg.Go(func() { r.prune(r.ctx) })
		r.wg.Go(func() { r.proxy.Probe(r.ctx) })
		r.wg.Go(func() { r.crashes.run(r.ctx) })
		r.wg.Go(func() { r.crashes.runParts(r.ctx) })
	}
	r.wg.Go(func() { r.distributor.Run(r.ctx) })
	r.wg.Go(func() { r.origins.Watch(r.ctx) })
	r.wg.Go(func() { r.watch(r.ctx) })
	r.wg.Go(func() { r.watchBudget(r.ctx) })
	r.wg.Go(func() { r.updateGauges(r.ctx) })
}
