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
		group: "show", name: "capacity", short: "Show capacity use",
		long:    "Show the present use of capacity by cell, tier, customer and class.",
		newData: func(env *Env) any { return &showCapacityCmd{env: env} },
	})
	register(command{
		group: "show", name: "endpoints", short: "Show the endpoints", long: "Show the endpoints of each cell as its scheduler sees them.",
		newData: func(env *Env) any { return &showEndpointsCmd{env: env} },
	})
	register(command{
		group: "show", name: "instances", short: "Show the instances", long: "Show the registered instances.",
		newData: func(env *Env) any { return &showInstancesCmd{env: env} },
	})
	register(command{
		group: "show", name: "state", short: "Show the replicated log", long: "Show the replicated log's members, spending and orders, as JSON.",
		newData: func(env *Env) any { return &showStateCmd{env: env} },
	})
}

// showCapacityCmd is the command "show capacity".
type showCapacityCmd struct {
	operatorClient
	env  *Env
	JSON bool `long:"json" description:"print JSON"`
}

// Execute prints the use of capacity, as a table or as JSON.
func (c *showCapacityCmd) Execute([]string) error {
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
		cell := cells[name]
		for _, class := range cell.Classes {
			_, _ = fmt.Fprintf(w, "%s\t%d\t%s\t%s\t%.2f%%\t%d\t%d\t%d\t%d\n",
				name, class.Tier, class.Customer, class.Class, class.Share*100, class.Running, class.Queued, class.Grants, class.Shed)
		}
		_, _ = fmt.Fprintf(w, "%s\t\tall\t\t\t%d of %.0f\t%d\t\t\n", name, cell.Running, cell.Slots, cell.Queued)
	}
	return w.Flush()
}

// cells returns the state of each cell, by name, and the sorted names.
func (o *operatorClient) cells() (map[string]sched.State, []string, error) {
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

// showEndpointsCmd is the command "show endpoints".
type showEndpointsCmd struct {
	operatorClient
	env *Env
}

// Execute prints the endpoints of each cell as a table.
func (c *showEndpointsCmd) Execute([]string) error {
	cells, names, err := c.cells()
	if err != nil {
		return err
	}
	w := tabwriter.NewWriter(c.env.Out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "CELL\tENDPOINT\tZONE\tSTATE\tRUNNING\tLIMIT\tSLOTS\tGRANTS\tGAP\tAGE")
	for _, name := range names {
		for _, endpoint := range cells[name].Endpoints {
			_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\t%.1f\t%d\t%d\t%s\t%s\n", name, endpoint.Name, endpoint.Zone, endpointState(endpoint),
				endpoint.Running, endpoint.Limit, endpoint.Slots, endpoint.Granted,
				endpoint.TokenInterval.Round(time.Millisecond), endpoint.AnnouncementAge.Round(time.Millisecond))
		}
	}
	return w.Flush()
}

// endpointState returns the state of an endpoint in one word.
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

// showInstancesCmd is the command "show instances".
type showInstancesCmd struct {
	operatorClient
	env *Env
}

// Execute prints the version of the configuration and a table of the instances.
func (c *showInstancesCmd) Execute([]string) error {
	var list struct {
		Version   uint64                   `json:"version"`
		Age       string                   `json:"age"`
		Instances map[string]ctrl.Instance `json:"instances"`
	}
	if err := c.get("/v1/instances", &list); err != nil {
		return err
	}
	names := make([]string, 0, len(list.Instances))
	for n := range list.Instances {
		names = append(names, n)
	}
	sort.Strings(names)
	w := tabwriter.NewWriter(c.env.Out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintf(w, "configuration version %d, proven current %s ago\n", list.Version, list.Age)
	_, _ = fmt.Fprintln(w, "INSTANCE\tREGION\tZONE\tADDRESS\tBOOT")
	for _, n := range names {
		inst := list.Instances[n]
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\n", inst.Name, inst.Region, inst.Zone, inst.Addr, inst.Boot)
	}
	return w.Flush()
}

// showStateCmd is the command "show state".
type showStateCmd struct {
	operatorClient
	env *Env
}

// Execute prints the state of the replicated log as JSON.
func (c *showStateCmd) Execute([]string) error {
	var state quorum.QueryResult
	if err := c.get("/v1/state", &state); err != nil {
		return err
	}
	return printJSON(c.env.Out, state)
}
