package cmds

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/greengagewheel/greengagewheel/internal/blame"
	"github.com/greengagewheel/greengagewheel/internal/quorum"
)

func init() {
	register(command{
		group: "part", name: "list", short: "List the prompt parts under which endpoints went down",
		long:    "List the prompt parts under which endpoints went down, and whether requests with them are refused.",
		newData: func(env *Env) any { return &partListCmd{env: env} },
	})
}

// partListCmd is the command "part list".
type partListCmd struct {
	replicaClient
	env *Env
}

// Execute prints the parts as a table.
func (c *partListCmd) Execute([]string) error {
	result, err := c.read(c.env, quorum.Query{Parts: true})
	if err != nil {
		return err
	}
	w := tabwriter.NewWriter(c.env.Out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "PART\tSTATE\tCRASHES\tLAST CRASH\tSERVICES\tTRIALS")
	for _, part := range slices.Sorted(maps.Keys(result.Parts)) {
		rec := result.Parts[part]
		_, _ = fmt.Fprintf(w, "%x\t%s\t%d\t%s\t%s\t%d\n", part, partState(&rec), len(rec.Crashes), lastCrash(&rec),
			strings.Join(crashServices(&rec), ","), rec.Trials)
	}
	return w.Flush()
}

// partState returns whether requests with a part are refused, in one word.
func partState(rec *blame.Record) string {
	if rec.Held {
		return "held"
	}
	return "suspected"
}

// lastCrash returns the time of the last crash under a part.
func lastCrash(rec *blame.Record) string {
	if len(rec.Crashes) == 0 {
		return "-"
	}
	return time.UnixMilli(rec.Crashes[len(rec.Crashes)-1].AtMS).UTC().Format(time.RFC3339)
}

// crashServices returns the services whose endpoints went down under a part.
func crashServices(rec *blame.Record) []string {
	services := map[string]bool{}
	for _, crash := range rec.Crashes {
		services[crash.Service] = true
	}
	return slices.Sorted(maps.Keys(services))
}
