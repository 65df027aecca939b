package cmds

import (
	"context"
	"fmt"
	"net/netip"
	"os"
	"os/signal"
	"syscall"

	"github.com/pelletier/go-toml/v2"

	"github.com/greengagewheel/greengagewheel/internal/fault"
	"github.com/greengagewheel/greengagewheel/internal/replay"
	"github.com/greengagewheel/greengagewheel/pkg/trace"
)

func init() {
	register(command{
		name: "replay", short: "Replay recorded requests",
		long: "Send the requests of TRACE to running instances at their recorded times, and print by class how many were attained, " +
			"the goodput and the wasted work. --keys names a TOML file of customer = \"key\" lines.",
		data: func(env *Env) any { return &replayCmd{env: env} },
	})
}

type replayCmd struct {
	env      *Env
	Targets  []string `long:"to" value-name:"IP:PORT" required:"true" description:"callers' address of an instance; may be repeated"`
	Keys     string   `long:"keys" value-name:"FILE" required:"true" description:"TOML file with the key of each customer"`
	Engines  []string `long:"engine" value-name:"IP:PORT" description:"stand-in engine whose counters tell wasted work; may be repeated"`
	Services []string `long:"service" value-name:"IP:PORT" description:"stand-in service whose counters tell doubled runs; may be repeated"`
	Retries  int      `long:"retries" value-name:"N" default:"0" description:"how often a refused request is sent again"`
	Verify   bool     `long:"verify" description:"check each answer's text, as stand-in engines give it"`
	JSON     bool     `long:"json" description:"print JSON"`
	Args     struct {
		Trace string `positional-arg-name:"TRACE" required:"yes"`
	} `positional-args:"yes"`
}

// Execute runs the command.
func (c *replayCmd) Execute([]string) error {
	tr, keys, err := c.load()
	if err != nil {
		return err
	}
	opt := replay.Options{Keys: keys, Retries: c.Retries, Verify: c.Verify, Progress: c.progress}
	for _, l := range []struct {
		from []string
		to   *[]netip.AddrPort
	}{{c.Targets, &opt.Targets}, {c.Engines, &opt.Engines}, {c.Services, &opt.Services}} {
		if *l.to, err = addresses(l.from); err != nil {
			return usage{fmt.Errorf("replay: %w", err)}
		}
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	rep, err := replay.Run(ctx, tr, opt)
	if err != nil {
		return err
	}
	_, _ = fmt.Fprintln(c.env.Err)
	if c.JSON {
		return printJSON(c.env.Out, rep)
	}
	return rep.Print(c.env.Out)
}

func (c *replayCmd) progress(done, total int) {
	_, _ = fmt.Fprintf(c.env.Err, "\r%d of %d requests ended", done, total)
}

func (c *replayCmd) load() (*trace.Trace, map[string]string, error) {
	f, err := os.Open(c.Args.Trace)
	if err != nil {
		return nil, nil, fault.At("open trace", "", err)
	}
	defer func() { _ = f.Close() }()
	tr, err := trace.Read(f)
	if err != nil {
		return nil, nil, fmt.Errorf("%s: %w", c.Args.Trace, err)
	}
	text, err := os.ReadFile(c.Keys)
	if err != nil {
		return nil, nil, fault.At("read keys", "", err)
	}
	keys := map[string]string{}
	if err := toml.Unmarshal(text, &keys); err != nil {
		return nil, nil, fmt.Errorf("%s: %w", c.Keys, err)
	}
	return tr, keys, nil
}

func addresses(list []string) ([]netip.AddrPort, error) {
	var out []netip.AddrPort
	for _, s := range list {
		a, err := netip.ParseAddrPort(s)
		if err != nil {
			return nil, err
		}
		out = append(out, a)
	}
	return out, nil
}
