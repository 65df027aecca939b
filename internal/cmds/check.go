package cmds

import (
	"fmt"

	"github.com/greengagewheel/greengagewheel/internal/conf"
)

func init() {
	register(command{
		name: "check", short: "Check a settings file",
		long: "Check a settings file; a fault is printed as FILE:LINE: KEY: REASON. With --sample, print a commented sample.",
		data: func(env *Env) any { return &checkCmd{env: env} },
	})
}

type checkCmd struct {
	env    *Env
	Conf   string `long:"conf" value-name:"FILE" description:"settings file"`
	Sample bool   `long:"sample" description:"print a commented sample instead"`
}

// Execute runs the command.
func (c *checkCmd) Execute([]string) error {
	if c.Sample {
		_, err := c.env.Out.Write(conf.Sample)
		return err
	}
	if c.Conf == "" {
		return usage{fmt.Errorf("check: --conf FILE or --sample is needed")}
	}
	if _, err := conf.Load(c.Conf); err != nil {
		return err
	}
	_, err := fmt.Fprintf(c.env.Out, "%s: ok\n", c.Conf)
	return err
}
