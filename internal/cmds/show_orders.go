package cmds

import (
	"cmp"
	"fmt"
	"slices"
	"text/tabwriter"

	"github.com/greengagewheel/greengagewheel/internal/quorum"
	"github.com/greengagewheel/greengagewheel/internal/scale"
)

func init() {
	register(command{
		group: "show", name: "orders", short: "Show the endpoints ordered",
		long:    "Show the number of endpoints ordered last for each service, availability zone and kind.",
		newData: func(env *Env) any { return &showOrdersCmd{env: env} },
	})
}

// showOrdersCmd is the command "show orders".
type showOrdersCmd struct {
	replicaClient
	env *Env
}

// Execute prints the orders as a table.
func (c *showOrdersCmd) Execute([]string) error {
	result, err := c.read(c.env, quorum.Query{ScaleOrders: true})
	if err != nil {
		return err
	}
	slices.SortFunc(result.ScaleOrders, func(a, b scale.Order) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Zone, b.Zone), cmp.Compare(orderedKind(&a), orderedKind(&b)))
	})
	w := tabwriter.NewWriter(c.env.Out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "SERVICE\tZONE\tKIND\tORDERED")
	for i := range result.ScaleOrders {
		order := &result.ScaleOrders[i]
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%d\n", order.Service, order.Zone, orderedKind(order), order.Count)
	}
	return w.Flush()
}

// orderedKind returns the kind of the endpoints of an order in one word.
func orderedKind(order *scale.Order) string {
	if order.Spot {
		return "spot"
	}
	return "standard"
}
