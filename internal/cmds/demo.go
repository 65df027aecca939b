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
	keyBytes         = 24                    // the random bytes in a key
	demoReadyTimeout = 20 * time.Second      // bounds the commit of the demo's contract, and then the wait for its endpoints
	demoPause        = 50 * time.Millisecond // not used at present
)

func init() {
	register(command{
		name: "demo", short: "Run a demo in one process",
		long: "Run one instance with two stand-in engines and one stand-in service in one process, with temporary data, " +
			"and print curl commands to try it. Press Ctrl-C to stop.",
		newData: func(env *Env) any { return &demoCmd{env: env} },
	})
}

// demoCmd is the command "demo".
type demoCmd struct {
	env    *Env
	Listen string `long:"listen" value-name:"IP:PORT" default:"127.0.0.1:8080" description:"callers' address"`
	Log    string `long:"log" value-name:"LEVEL" default:"warn" description:"debug, info, warn or error"`
}

// newKey returns a random API key.
func newKey() string {
	var secret [keyBytes]byte
	_, _ = rand.Read(secret[:])
	return "gw-" + hex.EncodeToString(secret[:])
}

// Execute runs the demo until the process is asked to stop.
func (c *demoCmd) Execute([]string) error {
	addr, err := netip.ParseAddrPort(c.Listen)
	if err != nil {
		return usageError{fmt.Errorf("demo: --listen: expected IP:PORT: %w", err)}
	}
	log, err := logs.New(c.env.Err, c.Log)
	if err != nil {
		return usageError{fmt.Errorf("demo: --log: expected debug, info, warn or error: %w", err)}
	}
	dir, err := os.MkdirTemp("", "greengagewheel-demo-")
	if err != nil {
		return fault.Wrap("create data directory", "", err)
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
	endpointsCtx, stopEndpoints := context.WithCancel(context.Background())
	var wg conc.WaitGroup
	defer wg.Wait()
	defer stopEndpoints()
	wg.Go(func() {
		if err := c.setUp(ctx, endpointsCtx, n, settings); err != nil && ctx.Err() == nil {
			_, _ = fmt.Fprintln(c.env.Err, "greengagewheel: demo:", err)
			stop()
		}
	})
	return n.Run(ctx)
}

// demoConf returns the default settings with random keys and free ports.
func demoConf(callerAddr netip.AddrPort, dir string) (conf.Settings, error) {
	settings := conf.Default()
	anyPort := netip.AddrPortFrom(callerAddr.Addr(), 0)
	peerAddr, err := freePort(callerAddr.Addr())
	if err != nil {
		return settings, err
	}
	settings.Instance = conf.Instance{Name: "demo", Zone: "a", Region: "local", DataDir: filepath.Join(dir, "data")}
	settings.Listen = conf.Listen{Callers: callerAddr, Operators: anyPort, Peers: peerAddr}
	settings.Peers.Replicas = []conf.Replica{{Name: "demo", Zone: "a", Addr: peerAddr}}
	settings.Keys = conf.Keys{Operator: newKey(), Endpoint: newKey(), Secret: newKey()}
	return settings, nil
}

// setUp commits the demo's contract, starts the simulated endpoints, waits until their cells exist and prints the commands to try.
func (c *demoCmd) setUp(ctx, endpointsCtx context.Context, n *node.Node, settings conf.Settings) error {
	key := newKey()
	if err := c.putContract(ctx, n, key); err != nil {
		return err
	}
	local := netip.AddrPortFrom(n.CallersAddr().Addr(), 0)
	instanceAddrs := []netip.AddrPort{n.CallersAddr()}
	for i := range 2 {
		e := engine.New(engine.Options{
			Name: fmt.Sprintf("engine%d", i+1), Addr: local, Zone: "a", Models: []string{"demo-model"},
			StepTime: 20 * time.Millisecond, Seed: uint64(i + 1),
		})
		if err := e.Start(); err != nil {
			return err
		}
		go engine.NewAnnouncer(e, instanceAddrs, settings.Keys.Endpoint).Run(endpointsCtx)
	}
	svc := engine.NewService(engine.ServiceOptions{Name: "bookings1", Addr: local, Zone: "a", Services: []string{"bookings"}, Lookup: true})
	if err := svc.Start(); err != nil {
		return err
	}
	go engine.NewAnnouncer(svc, instanceAddrs, settings.Keys.Endpoint).Run(endpointsCtx)
	if err := n.AwaitCells(ctx, demoReadyTimeout, "demo-model", "bookings"); err != nil {
		return err
	}
	_, err := fmt.Fprintf(c.env.Out, demoText, n.CallersAddr(), key, n.CallersAddr(), key, n.OperatorsAddr(), settings.Keys.Operator)
	return err
}

// demoText is printed once the demo is ready.
const demoText = `The demo is ready. Stream a chat completion:

  curl -N http://%s/v1/chat/completions -H 'Authorization: Bearer %s' -d '{"model":"demo-model","stream":true,"messages":[{"role":"user","content":"hello"}]}'

Make a booking that runs at most once, however often it is sent:

  curl http://%s/v1/services/bookings/book -H 'Authorization: Bearer %s' -H 'Idempotency-Key: visit-1' -d '{"visit":1}'

Show capacity use:

  GREENGAGEWHEEL_ADDRESS=%s GREENGAGEWHEEL_KEY=%s greengagewheel show capacity

Press Ctrl-C to stop.
`

// putContract commits the demo's contract.
func (c *demoCmd) putContract(ctx context.Context, n *node.Node, key string) error {
	contract := contr.Contract{
		Customer: "demo", Keys: []string{contr.HashKey(key)},
		Classes: []contr.Class{
			{
				Name: "interactive", Tier: 1, Share: 50,
				FirstTokenTarget: contr.Duration(680 * time.Millisecond), TokenIntervalTarget: contr.Duration(36 * time.Millisecond),
			},
			{Name: "batch", Tier: 4, Share: 10, MaxQueueTime: contr.Duration(60 * time.Second)},
		},
	}
	ctx, cancel := context.WithTimeout(ctx, demoReadyTimeout)
	defer cancel()
	result, err := n.PutContract(ctx, ctrl.PutContract{ChangeID: "demo", Author: "demo", Contract: contract})
	if err != nil {
		return err
	}
	if result.Code != ctrl.OK {
		return fmt.Errorf("commit contract: %s", result.Reason)
	}
	return nil
}
