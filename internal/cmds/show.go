package cmds

import (
	"fmt"
	"sort"
	"text/tabwriter"
	"time"

	"github.com/greengagewheel/greengagewheel/internal/ctrl"
	"github.com/greengagewheel/greengagewheel/internal/quorum"
	"github.com/greengagewheel/greengagewheel/internal/sched"
)

func init() {
	register(command{
		under: "show", name: "capacity", short: "Show where capacity goes now",
		long: "Show where capacity goes now, by cell, tier, customer and class.",
		data: func(env *Env) any { return &showCapacity{env: env} },
	})
	register(command{
		under: "show", name: "endpoints", short: "Show the endpoints", long: "Show the endpoints of each cell as its scheduler sees them.",
		data: func(env *Env) any { return &showEndpoints{env: env} },
	})
	register(command{
		under: "show", name: "instances", short: "Show the instances", long: "Show the instances that are registered.",
		data: func(env *Env) any { return &showInstances{env: env} },
	})
	register(command{
		under: "show", name: "state", short: "Show the replicated log", long: "Show the replicated log's members, spending and orders, as JSON.",
		data: func(env *Env) any { return &showState{env: env} },
	})
}

type showCapacity struct {
	operator
	env  *Env
	JSON bool `long:"json" description:"print JSON"`
}

// Execute runs the command.
func (c *showCapacity) Execute([]string) error {
	cells, names, err := c.cells()
	if err != nil {
		return err
	}
	if c.JSON {
		return printJSON(c.env.Out, cells)
	}
	w := tabwriter.NewWriter(c.env.Out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "CELL\tTIER\tCUSTOMER\tCLASS\tSHARE\tRUNNING\tQUEUED\tGRANTS\tSHED")
	for _, name := range names {
		s := cells[name]
		for _, l := range s.Classes {
			_, _ = fmt.Fprintf(w, "%s\t%d\t%s\t%s\t%.2f%%\t%d\t%d\t%d\t%d\n",
				name, l.Tier, l.Customer, l.Class, l.Share*100, l.Running, l.Queued, l.Grants, l.Shed)
		}
		_, _ = fmt.Fprintf(w, "%s\t\tall\t\t\t%d of %.0f\t%d\t\t\n", name, s.Running, s.Slots, s.Queued)
	}
	return w.Flush()
}

// cells returns the state of each cell and the cells' names in order.
func (o *operator) cells() (map[string]sched.State, []string, error) {
	cells := map[string]sched.State{}
	if err := o.get("/v1/cells", &cells); err != nil {
		return nil, nil, err
	}
	names := make([]string, 0, len(cells))
	for n := range cells {
		names = append(names, n)
	}
	sort.Strings(names)
	return cells, names, nil
}

type showEndpoints struct {
	operator
	env *Env
}

// Execute runs the command.
func (c *showEndpoints) Execute([]string) error {
	cells, names, err := c.cells()
	if err != nil {
		return err
	}
	w := tabwriter.NewWriter(c.env.Out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "CELL\tENDPOINT\tZONE\tSTATE\tRUNNING\tLIMIT\tSLOTS\tGRANTS\tGAP\tAGE")
	for _, name := range names {
		for _, e := range cells[name].Endpoints {
			_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\t%.1f\t%d\t%d\t%s\t%s\n", name, e.Name, e.Zone, endpointState(e),
				e.Running, e.Limit, e.Slots, e.Granted, e.TokenInterval.Round(time.Millisecond), e.AnnouncementAge.Round(time.Millisecond))
		}
	}
	return w.Flush()
}

func endpointState(e sched.EndpointState) string {
	switch {
	case e.Leaving:
		return "leaving"
	case !e.Live:
		return "lost"
	case e.Slow:
		return "straggler"
	}
	return "live"
}

type showInstances struct {
	operator
	env *Env
}

// Execute runs the command.
func (c *showInstances) Execute([]string) error {
	var v struct {
		Version   uint64                   `json:"version"`
		Age       string                   `json:"age"`
		Instances map[string]ctrl.Instance `json:"instances"`
	}
	if err := c.get("/v1/instances", &v); err != nil {
		return err
	}
	names := make([]string, 0, len(v.Instances))
	for n := range v.Instances {
		names = append(names, n)
	}
	sort.Strings(names)
	w := tabwriter.NewWriter(c.env.Out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintf(w, "configuration version %d, proven %s ago\n", v.Version, v.Age)
	_, _ = fmt.Fprintln(w, "INSTANCE\tREGION\tZONE\tADDRESS\tBOOT")
	for _, n := range names {
		i := v.Instances[n]
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\n", i.Name, i.Region, i.Zone, i.Addr, i.Boot)
	}
	return w.Flush()
}

type showState struct {
	operator
	env *Env
}

// Execute runs the command.
func (c *showState) Execute([]string) error {
	var v quorum.QueryResult
	if err := c.get("/v1/state", &v); err != nil {
		return err
	}
	return printJSON(c.env.Out, v)
}
