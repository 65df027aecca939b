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

	"github.com/greengagewheel/greengagewheel/internal/clock"
	"github.com/greengagewheel/greengagewheel/internal/conf"
	"github.com/greengagewheel/greengagewheel/internal/conns"
	"github.com/greengagewheel/greengagewheel/internal/ctrl"
	"github.com/greengagewheel/greengagewheel/internal/entry"
	"github.com/greengagewheel/greengagewheel/internal/fault"
	"github.com/greengagewheel/greengagewheel/internal/group"
	"github.com/greengagewheel/greengagewheel/internal/memb"
	"github.com/greengagewheel/greengagewheel/internal/meter"
	"github.com/greengagewheel/greengagewheel/internal/peer"
	"github.com/greengagewheel/greengagewheel/internal/picker"
	"github.com/greengagewheel/greengagewheel/internal/proxy"
	"github.com/greengagewheel/greengagewheel/internal/quorum"
	"github.com/greengagewheel/greengagewheel/internal/repl"
	"github.com/greengagewheel/greengagewheel/internal/spread"
	"github.com/greengagewheel/greengagewheel/internal/store"
)

const (
	// headTimeout is the longest time that a header may take.
	headTimeout = 5 * time.Second
	// idleTimeout is above what callers leave a connection idle for.
	idleTimeout = 60 * time.Second
	// maxHeader bounds a caller's header, in bytes.
	maxHeader = 64 << 10
	// maxOperators bounds the connections of operators and endpoints, below the number of files that a small machine allows; who
	// comes beyond it is told to use another replica.
	maxOperators = 3000
	// maxBody bounds the body of an operator's call, in bytes.
	maxBody = 32 << 20
	// memoryPart is the part of the allowed memory beyond which garbage is collected more often.
	memoryPart = 0.7
	// garbagePercent is how much the heap grows between two collections; the heap is small against what a process may use.
	garbagePercent = 300
)

type (
	// Wire is how callers, operators and the balancer speak.
	Wire interface {
		Dialect() proxy.Dialect
		Engines() picker.Engines
		Operators(app *fiber.App, c Control)
		Balancer(app *fiber.App, ready func() error)
	}

	// Router is one instance.
	Router struct {
		conf    atomic.Pointer[conf.Conf]
		file    string
		born    time.Time
		log     *zap.Logger
		self    ctrl.Instance
		links   *peer.Links
		meter   *meter.Meter
		quorum  *quorum.Client
		members *quorum.Registrar
		spread  *spread.Distributor
		group   *group.Group
		machine *ctrl.Machine
		server  *quorum.Server
		desk    *picker.Server
		control *control
		picker  *picker.Picker
		crashes *crashes
		proxy   *proxy.Proxy
		callers *http.Server
		idle    *idleConns
		peers   *http.Server
		apps    []*fiber.App
		lists   []served
		wg      conc.WaitGroup
		ctx     context.Context
		cancel  context.CancelFunc
	}

	// served is a listener and what serves on it.
	served struct {
		name  string
		list  net.Listener
		serve func(net.Listener) error
	}
)

// New listens on the instance's addresses and puts its parts together; file is read again when the settings change.
func New(c conf.Conf, file string, wire Wire, log *zap.Logger) (*Router, error) {
	r := &Router{
		file: file, born: clock.Now(), log: log, links: peer.NewLinks(c.Keys.Secret, c.Listen.Peers.Addr()), meter: meter.New(),
	}
	r.conf.Store(&c)
	r.ctx, r.cancel = context.WithCancel(context.Background())
	r.self = ctrl.Instance{
		Name: c.Instance.Name, Zone: c.Instance.Zone, Region: c.Instance.Region, Boot: c.Instance.Name + "-" + store.NewID(), Addr: c.Listen.Peers,
	}
	if m := c.Limits.Memory; m > 0 {
		debug.SetMemoryLimit(int64(float64(m) * memoryPart))
	}
	debug.SetGCPercent(garbagePercent)
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
	r.peers = &http.Server{Handler: r.peerRoutes(&c), ReadHeaderTimeout: headTimeout}
	conns.Shared(r.peers)
	return r, r.listen(&c)
}

// openGroup opens the replica of the log, on an instance with a data folder.
func (r *Router) openGroup(c *conf.Conf) error {
	if c.Instance.Data == "" {
		return nil
	}
	r.machine = ctrl.NewMachine()
	var founders []repl.Member
	if c.Peers.Found {
		founders = r.founders(c)
	}
	g, err := group.New(group.Options{
		Name: c.Instance.Name, Zone: c.Instance.Zone, DataDir: c.Instance.Data, SelfAddr: c.Listen.Peers, Peers: founders, SeedAddrs: r.seeds,
		TargetVoters: 2*c.Peers.Tolerate + 1, Links: r.links, StateMachine: r.machine, Log: r.log, RandSeed: uint64(time.Now().UnixNano()),
	})
	r.group = g
	return err
}

// founders returns the seeds as the members that found the log, if this instance is one of them.
func (r *Router) founders(c *conf.Conf) []repl.Member {
	var out []repl.Member
	here := false
	for _, a := range r.seeds() {
		out = append(out, repl.Member{Addr: a})
		here = here || a == c.Listen.Peers
	}
	if !here {
		return nil
	}
	return out
}

// seeds returns the peers' addresses of the seeds.
func (r *Router) seeds() []netip.AddrPort {
	c := r.conf.Load()
	var out []netip.AddrPort
	for _, s := range c.Peers.Seeds {
		out = append(out, netip.AddrPortFrom(s.Addr(), c.Listen.Peers.Port()))
	}
	return out
}

// root is the replica as the source of configuration.
type root struct {
	*group.Group
	*ctrl.Machine
}

// Replicas returns the members of the log.
func (r root) Replicas() []memb.Replica {
	var out []memb.Replica
	for _, m := range r.Status().Conf.Members {
		out = append(out, memb.Replica{Name: m.Name, Zone: m.Zone, Addr: m.Addr})
	}
	return out
}

func (r *Router) assemble(c *conf.Conf, wire Wire) {
	opt := spread.Options{Self: r.self, SeedAddrs: r.seeds, ReplicasOnly: true, MaxProofAge: c.Fresh.Bound.Std(), Links: r.links, Log: r.log}
	if r.group != nil {
		opt.Root = root{r.group, r.machine}
	}
	r.spread = spread.New(opt)
	r.quorum = quorum.NewClient(r.links, r.replicas, r.leader)
	r.members = &quorum.Registrar{Client: r.quorum, Self: r.self, Log: r.log}
	if r.group != nil {
		r.server = quorum.NewServer(r.group, r.machine, r.spread.LeastVersion)
		r.machine.OnChange(r.spread.Wake)
		r.group.OnLeaderChange(r.spread.LeaderChanged)
		r.desk = picker.NewServer(picker.ServerOptions{
			View: r.spread.View, IsLeader: r.leads, Engines: wire.Engines(), Now: clock.Now, Log: r.log,
		})
		r.control = newControl(r, c)
	}
}

// replicas returns the addresses of the replicas that are known, and those of the seeds.
func (r *Router) replicas() []netip.AddrPort {
	var out []netip.AddrPort
	for _, m := range r.spread.Replicas() {
		out = append(out, m.Addr)
	}
	return append(out, r.seeds()...)
}

// leader returns the peers' address of the replica that is believed to lead, or an invalid one.
func (r *Router) leader() netip.AddrPort {
	if r.group != nil {
		return r.group.LeaderAddr()
	}
	return r.spread.Leader()
}

// leads reports whether this instance leads the log.
func (r *Router) leads() bool {
	return r.group.Status().Role == repl.Leader.String()
}

func (r *Router) serveCallers(c *conf.Conf, wire Wire) {
	r.picker = picker.New(picker.Options{
		Self: r.self, Links: r.links, View: r.spread.View, Leader: r.spread.Leader, Now: clock.Now, LocalOnly: c.Sched.Alone, Log: r.log,
	})
	r.crashes = newCrashes(r.quorum, r.log)
	r.proxy = proxy.New(proxy.Options{
		Zone: r.self.Zone, Dialect: wire.Dialect(), View: r.spread.View, Fresh: r.spread.Fresh, Chooser: r.picker, Crashes: r.crashes, Share: r.share, Now: clock.Now,
		Meter: r.meter, Log: r.log,
	})
	r.idle = newIdleConns()
	r.callers = &http.Server{
		Handler: r.proxy, ReadHeaderTimeout: headTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeader, ConnState: r.idle.note,
		ErrorLog: zap.NewStdLog(r.log.WithOptions(zap.IncreaseLevel(zap.ErrorLevel))),
	}
	app := newApp()
	wire.Balancer(app, func() error { return r.proxy.Ready(clock.Now()) })
	r.apps = append(r.apps, app)
	r.lists = append(r.lists, served{name: "ready", serve: app.Listener})
}

func (r *Router) serveOperators(_ *conf.Conf, wire Wire) {
	app := newApp()
	wire.Operators(app, r.control)
	r.apps = append(r.apps, app)
	r.lists = append(r.lists, served{name: "operators", serve: app.Listener})
}

func newApp() *fiber.App {
	return fiber.New(fiber.Config{
		BodyLimit: maxBody, Concurrency: maxOperators, Immutable: true, DisableStartupMessage: true, IdleTimeout: idleTimeout, ReadTimeout: idleTimeout,
	})
}

func (r *Router) peerRoutes(c *conf.Conf) http.Handler {
	h := peer.Handlers{Pull: peer.Typed(r.spread.Serve)}
	if r.group != nil {
		h.Step = peer.Typed(r.group.Receive)
		h.Propose = peer.Typed(r.server.Propose)
		h.Read = peer.Typed(r.server.Read)
		h.Ask = peer.Typed(r.desk.Serve)
		h.Announce = peer.Typed(r.control.serve)
	}
	mux := http.NewServeMux()
	mux.Handle("/twirp/", peer.NewHandler(c.Keys.Secret, h))
	return mux
}

// listen opens the listeners of all that is served.
func (r *Router) listen(c *conf.Conf) error {
	addrs := map[string]netip.AddrPort{"ready": c.Listen.Ready, "operators": c.Listen.Operators}
	r.lists = append(r.lists, served{name: "peers", serve: r.peers.Serve})
	addrs["peers"] = c.Listen.Peers
	if r.callers != nil {
		r.lists = append(r.lists, served{name: "callers", serve: r.callers.Serve})
		addrs["callers"] = c.Listen.Callers
	}
	if c.Listen.Metrics.IsValid() {
		m := &http.Server{Handler: r.meter.Handler(), ReadHeaderTimeout: headTimeout}
		r.lists = append(r.lists, served{name: "metrics", serve: m.Serve})
		addrs["metrics"] = c.Listen.Metrics
	}
	for i := range r.lists {
		s := &r.lists[i]
		l, err := net.Listen("tcp", addrs[s.name].String())
		if err != nil {
			return fault.At("listen", addrs[s.name].String(), err)
		}
		s.list = l
		switch s.name {
		case "callers":
			s.list = entry.Listener(l)
		case "peers":
			s.list = r.links.Count().Listener(l)
		}
	}
	return nil
}

// Run serves until the context ends, then stops gracefully within the time that the settings give.
func (r *Router) Run(ctx context.Context) error {
	r.log.Info("instance starts", zap.String("name", r.self.Name), zap.String("zone", r.self.Zone), zap.String("boot", r.self.Boot),
		zap.Bool("replica", r.group != nil), zap.Bool("callers", r.proxy != nil), zap.Stringer("peers", r.self.Addr))
	failed := make(chan error, len(r.lists)+1)
	for _, s := range r.lists {
		r.wg.Go(func() {
			if err := s.serve(s.list); err != nil && !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) && r.ctx.Err() == nil {
				failed <- fmt.Errorf("serve %s: %w", s.name, err)
			}
		})
	}
	r.background(failed)
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

// errReplica tells that the replica of the log ended by itself.
var errReplica = errors.New("the replica of the log has ended")

// background starts what runs besides the listeners.
func (r *Router) background(failed chan<- error) {
	if r.group != nil {
		r.wg.Go(func() {
			r.group.Run(r.ctx)
			if r.ctx.Err() == nil {
				failed <- errReplica
			}
		})
		r.wg.Go(func() { r.desk.Run(r.ctx) })
		r.wg.Go(func() { r.control.run(r.ctx) })
	}
	if r.picker != nil {
		r.wg.Go(func() { r.members.Run(r.ctx) })
		r.wg.Go(func() { r.picker.Run(r.ctx) })
		r.wg.Go(func() { r.prune(r.ctx) })
		r.wg.Go(func() { r.crashes.run(r.ctx) })
	}
	r.wg.Go(func() { r.spread.Run(r.ctx) })
	r.wg.Go(func() { r.watch(r.ctx) })
	r.wg.Go(func() { r.gauges(r.ctx) })
}
