package cmds

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"net/netip"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/greengagewheel/greengagewheel/internal/conf"
	"github.com/greengagewheel/greengagewheel/internal/contr"
	"github.com/greengagewheel/greengagewheel/internal/ctrl"
	"github.com/greengagewheel/greengagewheel/internal/engine"
	"github.com/greengagewheel/greengagewheel/internal/fault"
	"github.com/greengagewheel/greengagewheel/internal/logs"
	"github.com/greengagewheel/greengagewheel/internal/node"
)

const (
	keyBytes  = 24
	demoReady = 20 * time.Second
	demoPause = 50 * time.Millisecond
)

func init() {
	register(command{
		name: "demo", short: "Run everything in one process",
		long: "Run one instance with two stand-in engines and one stand-in service in one process, with temporary data, " +
			"and print a curl line that works. Ctrl-C stops it.",
		data: func(env *Env) any { return &demoCmd{env: env} },
	})
}

type demoCmd struct {
	env    *Env
	Listen string `long:"listen" value-name:"IP:PORT" default:"127.0.0.1:8080" description:"callers' address"`
	Log    string `long:"log" value-name:"LEVEL" default:"warn" description:"debug, info, warn or error"`
}

// newKey returns a random key.
func newKey() string {
	var b [keyBytes]byte
	_, _ = rand.Read(b[:])
	return "gw-" + hex.EncodeToString(b[:])
}

// Execute runs the command.
func (c *demoCmd) Execute([]string) error {
	addr, err := netip.ParseAddrPort(c.Listen)
	if err != nil {
		return usage{fmt.Errorf("demo: --listen: %w", err)}
	}
	log, err := logs.New(c.env.Err, c.Log)
	if err != nil {
		return usage{fmt.Errorf("demo: --log: %w", err)}
	}
	dir, err := os.MkdirTemp("", "greengagewheel-demo-")
	if err != nil {
		return fault.At("make data folder", "", err)
	}
	defer func() { _ = os.RemoveAll(dir) }()
	settings, err := demoConf(addr, dir)
	if err != nil {
		return err
	}
	n, err := node.New(settings, log)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	sctx, halt := context.WithCancel(context.Background())
	var wg conc.WaitGroup
	defer wg.Wait()
	defer halt()
	wg.Go(func() {
		if err := c.furnish(ctx, sctx, n, settings); err != nil && ctx.Err() == nil {
			_, _ = fmt.Fprintln(c.env.Err, "greengagewheel: demo:", err)
			stop()
		}
	})
	return n.Run(ctx)
}

// demoConf returns the embedded default settings, with keys and ports of its own.
func demoConf(callers netip.AddrPort, dir string) (conf.Settings, error) {
	s := conf.Default()
	any := netip.AddrPortFrom(callers.Addr(), 0)
	peers, err := freePort(callers.Addr())
	if err != nil {
		return s, err
	}
	s.Instance = conf.Instance{Name: "demo", Zone: "a", Region: "local", DataDir: filepath.Join(dir, "data")}
	s.Listen = conf.Listen{Callers: callers, Operators: any, Peers: peers}
	s.Peers.Replicas = []conf.Replica{{Name: "demo", Zone: "a", Addr: peers}}
	s.Keys = conf.Keys{Operator: newKey(), Endpoint: newKey(), Secret: newKey()}
	return s, nil
}

// furnish starts the stand-ins, enters a contract and prints how to use it all.
func (c *demoCmd) furnish(ctx, stand context.Context, n *node.Node, s conf.Settings) error {
	key := newKey()
	if err := c.enter(ctx, n, key); err != nil {
		return err
	}
	local := netip.AddrPortFrom(n.Callers().Addr(), 0)
	to := []netip.AddrPort{n.Callers()}
	for i := range 2 {
		e := engine.New(engine.Options{
			Name: fmt.Sprintf("engine%d", i+1), Addr: local, Zone: "a", Models: []string{"demo-model"},
			Step: 20 * time.Millisecond, Seed: uint64(i + 1),
		})
		if err := e.Start(); err != nil {
			return err
		}
		go engine.NewAnnouncer(e, to, s.Keys.Endpoint).Run(stand)
	}
	svc := engine.NewService(engine.ServiceOptions{Name: "bookings1", Addr: local, Zone: "a", Serves: []string{"bookings"}, Lookup: true})
	if err := svc.Start(); err != nil {
		return err
	}
	go engine.NewAnnouncer(svc, to, s.Keys.Endpoint).Run(stand)
	if err := n.AwaitCells(ctx, demoReady, "demo-model", "bookings"); err != nil {
		return err
	}
	_, err := fmt.Fprintf(c.env.Out, demoText, n.Callers(), key, n.Callers(), key, n.Operators(), s.Keys.Operator)
	return err
}

const demoText = `greengagewheel demo is ready. A streamed chat:

  curl -N http://%s/v1/chat/completions -H 'Authorization: Bearer %s' -d '{"model":"demo-model","stream":true,"messages":[{"role":"user","content":"hello"}]}'

A booking that runs at most once, however often it is sent:

  curl http://%s/v1/services/bookings/book -H 'Authorization: Bearer %s' -H 'Idempotency-Key: visit-1' -d '{"visit":1}'

Where capacity goes:

  GREENGAGEWHEEL_ADDRESS=%s GREENGAGEWHEEL_KEY=%s greengagewheel show capacity

Ctrl-C stops it.
`

// enter puts the demo's contract in.
func (c *demoCmd) enter(ctx context.Context, n *node.Node, key string) error {
	k := contr.Contract{
		Customer: "demo", Keys: []string{contr.Hash(key)},
		Classes: []contr.Class{
			{Name: "interactive", Tier: 1, Share: 50, FirstTokenTarget: contr.Duration(680 * time.Millisecond), TokenIntervalTarget: contr.Duration(36 * time.Millisecond)},
			{Name: "batch", Tier: 4, Share: 10, MaxQueueTime: contr.Duration(60 * time.Second)},
		},
	}
	ctx, cancel := context.WithTimeout(ctx, demoReady)
	defer cancel()
	res, err := n.Put(ctx, ctrl.PutContract{ChangeID: "demo", Author: "demo", Contract: k})
	if err != nil {
		return err
	}
	if res.Code != ctrl.OK {
		return fmt.Errorf("enter contract: %s", res.Reason)
	}
	return nil
}
