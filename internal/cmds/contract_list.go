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
		group: "contract", name: "list", short: "List the contracts", long: "List the classes of all contracts.",
		newData: func(env *Env) any { return &contractListCmd{env: env} },
	})
	register(command{
		group: "contract", name: "show", short: "Show a contract", long: "Show a contract with its version and author, as JSON.",
		newData: func(env *Env) any { return &contractShowCmd{env: env} },
	})
	register(command{
		group: "contract", name: "drop", short: "Remove a contract", long: "Remove a contract. Its keys are refused from then on.",
		newData: func(env *Env) any { return &contractDropCmd{env: env} },
	})
	register(command{
		group: "contract", name: "key", short: "Create a caller key",
		long:    "Create a key for a caller and print it with its hash. Add the hash to the keys of a contract; the key itself is not stored.",
		newData: func(env *Env) any { return &contractKeyCmd{env: env} },
	})
}

// contractListCmd is the command "contract list".
type contractListCmd struct {
	operatorClient
	env *Env
}

// Execute prints the classes of all contracts as a table.
func (c *contractListCmd) Execute([]string) error {
	var contracts []contr.Contract
	if err := c.get("/v1/contracts", &contracts); err != nil {
		return err
	}
	sort.Slice(contracts, func(i, j int) bool { return contracts[i].Customer < contracts[j].Customer })
	w := tabwriter.NewWriter(c.env.Out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "CUSTOMER\tCLASS\tTIER\tSHARE\tRATE\tCEILING")
	for _, contract := range contracts {
		for _, class := range contract.Classes {
			_, _ = fmt.Fprintf(w, "%s\t%s\t%d\t%g%%\t%g/s\t%d\n",
				contract.Customer, class.Name, class.Tier, class.Share, class.RequestRate, contract.Ceiling)
		}
	}
	return w.Flush()
}

// contractShowCmd is the command "contract show".
type contractShowCmd struct {
	operatorClient
	env  *Env
	Args struct {
		Customer string `positional-arg-name:"CUSTOMER" required:"yes"`
	} `positional-args:"yes"`
}

// Execute prints a contract as JSON.
func (c *contractShowCmd) Execute([]string) error {
	var contract ctrl.VersionedContract
	if err := c.get("/v1/contracts/"+url.PathEscape(c.Args.Customer), &contract); err != nil {
		return err
	}
	return printJSON(c.env.Out, contract)
}

// contractDropCmd is the command "contract drop".
type contractDropCmd struct {
	operatorClient
	env    *Env
	Expect uint64 `long:"expect" value-name:"VERSION" required:"true" description:"version that is to be removed"`
	Change string `long:"change" value-name:"ID" description:"ID of the change; a new one if not given"`
	Wait   bool   `long:"wait" description:"return once the change is in force everywhere"`
	Args   struct {
		Customer string `positional-arg-name:"CUSTOMER" required:"yes"`
	} `positional-args:"yes"`
}

// Execute removes a contract and prints the result.
func (c *contractDropCmd) Execute([]string) error {
	if c.Change == "" {
		c.Change = uuid.NewString()
	}
	query := url.Values{"expect": {fmt.Sprint(c.Expect)}, "change": {c.Change}, "author": {userName()}, "wait": {fmt.Sprint(c.Wait)}}
	status, body, err := c.call(http.MethodDelete, "/v1/contracts/"+url.PathEscape(c.Args.Customer)+"?"+query.Encode(), nil)
	if err != nil {
		return fmt.Errorf("%w (to retry, add --change %s)", err, c.Change)
	}
	return printResult(c.env, status, body)
}

// contractKeyCmd is the command "contract key".
type contractKeyCmd struct {
	env *Env
}

// Execute prints a new key and its hash.
func (c *contractKeyCmd) Execute([]string) error {
	key := newKey()
	_, err := fmt.Fprintf(c.env.Out, "key   %s\nhash  %s\n", key, contr.HashKey(key))
	return err
}
