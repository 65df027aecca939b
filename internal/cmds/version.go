package cmds

import "fmt"

// Version is the program's version.
const Version = "0.1.0"

func init() {
	register(command{
		name: "version", short: "Print the version", long: "Print the version.",
		newData: func(env *Env) any { return &versionCmd{env: env} },
	})
}

// versionCmd is the command "version".
type versionCmd struct {
	env *Env
}

// Execute prints the name and version of the program.
func (c *versionCmd) Execute([]string) error {
	_, err := fmt.Fprintln(c.env.Out, "greengagewheel", Version)
	return err
}
