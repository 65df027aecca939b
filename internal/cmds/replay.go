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
		long: "Send the requests of TRACE to running instances at their recorded times. Print, by class, how many requests met their " +
			"targets, the goodput and the wasted work. --keys gives a TOML file of customer = \"key\" lines.",
		newData: func(env *Env) any { return &replayCmd{env: env} },
	})
}

// replayCmd is the command "replay".
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

// Execute replays the trace and prints the report.
func (c *replayCmd) Execute([]string) error {
	tr, keys, err := c.load()
	if err != nil {
		return err
	}
	opts := replay.Options{Keys: keys, Retries: c.Retries, Verify: c.Verify, Progress: c.printProgress}
	for _, list := range []struct {
		values []string
		addrs  *[]netip.AddrPort
	}{{c.Targets, &opts.Targets}, {c.Engines, &opts.Engines}, {c.Services, &opts.Services}} {
		if *list.addrs, err = parseAddrs(list.values); err != nil {
			return usageError{fmt.Errorf("replay: --to, --engine and --service: expected IP:PORT: %w", err)}
		}
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	report, err := replay.Run(ctx, tr, opts)
	if err != nil {
		return err
	}
	_, _ = fmt.Fprintln(c.env.Err)
	if c.JSON {
		return printJSON(c.env.Out, report)
	}
	return report.Print(c.env.Out)
}

// printProgress overwrites the progress line.
func (c *replayCmd) printProgress(ended, total int) {
	_, _ = fmt.Fprintf(c.env.Err, "\r%d of %d requests ended", ended, total)
}

// load reads the trace and the key of each customer.
func (c *replayCmd) load() (*trace.Trace, map[string]string, error) {
	f, err := os.Open(c.Args.Trace)
	if err != nil {
		return nil, nil, fault.Wrap("open trace", "", err)
	}
	defer func() { _ = f.Close() }()
	tr, err := trace.Read(f)
	if err != nil {
		return nil, nil, fmt.Errorf("%s: %w", c.Args.Trace, err)
	}
	text, err := os.ReadFile(c.Keys)
	if err != nil {
		return nil, nil, fault.Wrap("read --keys", "", err)
	}
	keys := map[string]string{}
	if err := toml.Unmarshal(text, &keys); err != nil {
		return nil, nil, fmt.Errorf("%s: %w", c.Keys, err)
	}
	return tr, keys, nil
}

// parseAddrs parses a list of addresses with ports.
func parseAddrs(values []string) ([]netip.AddrPort, error) {
	var addrs []netip.AddrPort
	for _, s := range values {
		addr, err := netip.ParseAddrPort(s)
		if err != nil {
			return nil, err
		}
		addrs = append(addrs, addr)
	}
	return addrs, nil
}
