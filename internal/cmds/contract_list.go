package cmds

import (
	"fmt"
	"net/http"
	"net/url"
	"sort"
	"text/tabwriter"

	"github.com/google/uuid"

	"github.com/greengagewheel/greengagewheel/internal/contr"
	"github.com/greengagewheel/greengagewheel/internal/ctrl"
)

func init() {
	register(command{
		under: "contract", name: "list", short: "List the contracts", long: "List the contracts and their classes.",
		data: func(env *Env) any { return &contractList{env: env} },
	})
	register(command{
		under: "contract", name: "show", short: "Show a contract", long: "Show a contract with its version and author, as JSON.",
		data: func(env *Env) any { return &contractShow{env: env} },
	})
	register(command{
		under: "contract", name: "drop", short: "Remove a contract", long: "Remove a contract; its keys are refused from then on.",
		data: func(env *Env) any { return &contractDrop{env: env} },
	})
	register(command{
		under: "contract", name: "key", short: "Make a caller's key",
		long: "Make a new key for a caller, and print it with the hash that goes into the contract's keys. The key itself is stored nowhere.",
		data: func(env *Env) any { return &contractKey{env: env} },
	})
}

type contractList struct {
	operator
	env *Env
}

// Execute runs the command.
func (c *contractList) Execute([]string) error {
	var list []contr.Contract
	if err := c.get("/v1/contracts", &list); err != nil {
		return err
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Customer < list[j].Customer })
	w := tabwriter.NewWriter(c.env.Out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "CUSTOMER\tCLASS\tTIER\tSHARE\tRATE\tCEILING")
	for _, k := range list {
		for _, l := range k.Classes {
			_, _ = fmt.Fprintf(w, "%s\t%s\t%d\t%g%%\t%g/s\t%d\n", k.Customer, l.Name, l.Tier, l.Share, l.RequestRate, k.Ceiling)
		}
	}
	return w.Flush()
}

type contractShow struct {
	operator
	env  *Env
	Args struct {
		Customer string `positional-arg-name:"CUSTOMER" required:"yes"`
	} `positional-args:"yes"`
}

// Execute runs the command.
func (c *contractShow) Execute([]string) error {
	var s ctrl.VersionedContract
	if err := c.get("/v1/contracts/"+url.PathEscape(c.Args.Customer), &s); err != nil {
		return err
	}
	return printJSON(c.env.Out, s)
}

type contractDrop struct {
	operator
	env    *Env
	Expect uint64 `long:"expect" value-name:"VERSION" required:"true" description:"version that is to be removed"`
	Change string `long:"change" value-name:"ID" description:"ID of the change; a new one if not given"`
	Wait   bool   `long:"wait" description:"return once the change is in force everywhere"`
	Args   struct {
		Customer string `positional-arg-name:"CUSTOMER" required:"yes"`
	} `positional-args:"yes"`
}

// Execute runs the command.
func (c *contractDrop) Execute([]string) error {
	if c.Change == "" {
		c.Change = uuid.NewString()
	}
	v := url.Values{"expect": {fmt.Sprint(c.Expect)}, "change": {c.Change}, "author": {userName()}, "wait": {fmt.Sprint(c.Wait)}}
	status, body, err := c.call(http.MethodDelete, "/v1/contracts/"+url.PathEscape(c.Args.Customer)+"?"+v.Encode(), nil)
	if err != nil {
		return fmt.Errorf("%w (send it again with --change %s)", err, c.Change)
	}
	return printChanged(c.env, status, body)
}

type contractKey struct {
	env *Env
}

// Execute runs the command.
func (c *contractKey) Execute([]string) error {
	key := newKey()
	_, err := fmt.Fprintf(c.env.Out, "key   %s\nhash  %s\n", key, contr.Hash(key))
	return err
}
