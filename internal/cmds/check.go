package cmds

import (
	"fmt"

	"github.com/greengagewheel/greengagewheel/internal/conf"
)

func init() {
	register(command{
		name: "check", short: "Check a settings file",
		long:    "Check a settings file; each error is printed as FILE:LINE: KEY: REASON. With --sample, print a commented sample instead.",
		newData: func(env *Env) any { return &checkCmd{env: env} },
	})
}

// checkCmd is the command "check".
type checkCmd struct {
	env    *Env
	Conf   string `long:"conf" value-name:"FILE" description:"settings file"`
	Sample bool   `long:"sample" description:"print a commented sample instead"`
}

// Execute checks the settings file, or prints the sample.
func (c *checkCmd) Execute([]string) error {
	if c.Sample {
		_, err := c.env.Out.Write(conf.Sample)
		return err
	}
	if c.Conf == "" {
		return usageError{fmt.Errorf("check: --conf FILE or --sample is required")}
	}
	if _, err := conf.Load(c.Conf); err != nil {
		return err
	}
	_, err := fmt.Fprintf(c.env.Out, "%s: ok\n", c.Conf)
	return err
}
