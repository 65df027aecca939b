// Command standin runs a simulated model engine or plain service that announces itself to the router.
package main

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"

	"github.com/greengagewheel/greengagewheel/internal/engine"
)

type options struct {
	Kind     string        `long:"kind" choice:"engine" choice:"service" default:"engine" description:"what to stand in for"`
	Name     string        `long:"name" required:"true" description:"name of the endpoint"`
	Listen   string        `long:"listen" required:"true" value-name:"IP:PORT" description:"address to serve on"`
	Zone     string        `long:"zone" required:"true" description:"availability zone"`
	Serves   []string      `long:"serves" required:"true" value-name:"NAME" description:"model or service; may be repeated"`
	Announce string        `long:"announce" required:"true" value-name:"IP:PORT,..." description:"callers' addresses of instances"`
	All      bool          `long:"announce-all" description:"announce to each instance, for those that schedule alone"`
	Slots    int           `long:"slots" default:"8" description:"requests at a time"`
	Step     time.Duration `long:"step" default:"10ms" description:"engine: time between tokens of an empty batch"`
	PerRun   time.Duration `long:"per-run" default:"500us" description:"engine: added to it for each running request"`
	Build    string        `long:"build" description:"engine: version of its software"`
	Fences   bool          `long:"fences" description:"engine: refuse orders with an old fencing number"`
	Lookup   bool          `long:"lookup" description:"service: can be asked by key"`
	Seed     uint64        `long:"seed" default:"1" description:"seed of the cache events' gaps"`
}

// simulatedEndpoint is the interface that engine.Engine and engine.Service share.
type simulatedEndpoint interface {
	engine.AnnouncementSource
	Start() error
}

func main() {
	if err := run(); err != nil {
		var flagErr *flags.Error
		if errors.As(err, &flagErr) && flagErr.Type == flags.ErrHelp {
			fmt.Println(flagErr.Message)
			return
		}
		fmt.Fprintln(os.Stderr, "standin:", err)
		os.Exit(1)
	}
}

func run() error {
	var opts options
	if _, err := flags.NewParser(&opts, flags.HelpFlag|flags.PassDoubleDash).Parse(); err != nil {
		return err
	}
	addr, err := netip.ParseAddrPort(opts.Listen)
	if err != nil {
		return err
	}
	var instances []netip.AddrPort
	for _, text := range strings.Split(opts.Announce, ",") {
		instance, err := netip.ParseAddrPort(text)
		if err != nil {
			return err
		}
		instances = append(instances, instance)
	}
	endpoint := newEndpoint(&opts, addr)
	if err := endpoint.Start(); err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	announcer := engine.NewAnnouncer(endpoint, instances, os.Getenv("GREENGAGEWHEEL_ENDPOINT_KEY"))
	if opts.All {
		announcer = announcer.ToAll()
	}
	announcer.Run(ctx)
	return nil
}

// newEndpoint returns an endpoint of the kind in opts; an engine ends the process when it crashes.
func newEndpoint(opts *options, addr netip.AddrPort) simulatedEndpoint {
	if opts.Kind == "service" {
		return engine.NewService(engine.ServiceOptions{
			Name: opts.Name, Addr: addr, Zone: opts.Zone, Services: opts.Serves, Slots: opts.Slots, Lookup: opts.Lookup,
		})
	}
	return engine.New(engine.Options{
		Name: opts.Name, Addr: addr, Zone: opts.Zone, Models: opts.Serves, Slots: opts.Slots,
		StepTime: opts.Step, StepTimePerRun: opts.PerRun,
		EnforcesFence: opts.Fences, Build: opts.Build, Seed: opts.Seed, OnCrash: func() { os.Exit(1) },
	})
}
