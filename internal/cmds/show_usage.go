package cmds

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/greengagewheel/greengagewheel/internal/conf"
	"github.com/greengagewheel/greengagewheel/internal/ctrl"
	"github.com/greengagewheel/greengagewheel/internal/quorum"
)

func init() {
	register(command{
		group: "show", name: "usage", short: "Show the usage of the latest windows",
		long: "Show the windows whose usage is fixed in the log: the number of requests that endpoints began, and whether the platform has " +
			"acknowledged the report.",
		newData: func(env *Env) any { return &showUsageCmd{env: env} },
	})
}

// errNoUsage means that the log holds no usage.
var errNoUsage = errors.New("no usage is known: the settings name no duty usage_reporting, no window has ended yet, or the leader's build " +
	"does not know usage")

// showUsageCmd is the command "show usage".
type showUsageCmd struct {
	replicaClient
	env  *Env
	JSON bool `long:"json" description:"print JSON, with the numbers of all organisations"`
}

// Execute prints the windows as a table or as JSON.
func (c *showUsageCmd) Execute([]string) error {
	result, err := c.read(c.env, quorum.Query{Usage: true})
	if err != nil {
		return err
	}
	if result.Usage == nil || len(result.Usage.Windows) == 0 {
		return errNoUsage
	}
	if c.JSON {
		return printJSON(c.env.Out, result.Usage)
	}
	settings, err := c.settings(c.env)
	if err != nil {
		return err
	}
	w := tabwriter.NewWriter(c.env.Out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "WINDOW\tBEGIN\tSTATE\tORGANISATIONS\tREQUESTS")
	for _, number := range slices.Sorted(maps.Keys(result.Usage.Windows)) {
		window := result.Usage.Windows[number]
		requests := 0
		for _, n := range window.Counts {
			requests += n
		}
		begin := "-"
		if settings.Duties != nil {
			begin = windowBegin(settings.Duties, number).UTC().Format(time.RFC3339)
		}
		_, _ = fmt.Fprintf(w, "%d\t%s\t%s\t%d\t%d\n", number, begin, windowState(settings.Duties, number, window, time.Now()),
			len(window.Counts), requests)
	}
	return w.Flush()
}

// windowBegin returns the time at which a window begins.
func windowBegin(d *conf.Duties, number int64) time.Time {
	return time.Unix(0, number*int64(d.Window.Std()))
}

// windowState returns whether a window was reported, by this machine's time of day, in one phrase. The log tells of an acknowledgement
// with the next window that is fixed.
func windowState(d *conf.Duties, number int64, window *ctrl.UsageWindow, now time.Time) string {
	switch {
	case window.Reported:
		return "reported"
	case d != nil && now.After(windowBegin(d, number+1).Add(d.Late.Std()+d.Window.Std())):
		return "given up"
	}
	return "pending"
}
