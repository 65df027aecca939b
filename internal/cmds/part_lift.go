package cmds

import (
	"fmt"
	"strconv"

	"github.com/greengagewheel/greengagewheel/internal/ctrl"
)

func init() {
	register(command{
		group: "part", name: "lift", short: "Let requests with a prompt part through again",
		long:    "Delete what is known against a prompt part, so that requests with it are served until endpoints go down under it again.",
		newData: func(env *Env) any { return &partLiftCmd{env: env} },
	})
}

// partLiftCmd is the command "part lift".
type partLiftCmd struct {
	replicaClient
	env  *Env
	Args struct {
		Part string `positional-arg-name:"PART" description:"ID of the part in hexadecimal, as \"part list\" prints it"`
	} `positional-args:"yes" required:"yes"`
}

// Execute lifts the part.
func (c *partLiftCmd) Execute([]string) error {
	part, err := strconv.ParseUint(c.Args.Part, 16, 64)
	if err != nil {
		return usageError{fmt.Errorf("%q is no hexadecimal ID of a part", c.Args.Part)}
	}
	result, err := c.propose(c.env, ctrl.Command{LiftPart: &ctrl.LiftPart{Part: part}})
	if err != nil {
		return err
	}
	if result.Code != ctrl.OK {
		return fmt.Errorf("lift part %x: %s", part, result.Reason)
	}
	_, _ = fmt.Fprintf(c.env.Out, "part %x lifted\n", part)
	return nil
}
