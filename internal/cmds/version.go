package cmds

import "fmt"

// Version is the program's version.
const Version = "0.1.0"

func init() {
	register(command{
		name: "version", short: "Print the version", long: "Print the version.",
		data: func(env *Env) any { return &versionCmd{env: env} },
	})
}

type versionCmd struct {
	env *Env
}

// Execute runs the command.
func (c *versionCmd) Execute([]string) error {
	_, err := fmt.Fprintln(c.env.Out, "greengagewheel", Version)
	return err
}
