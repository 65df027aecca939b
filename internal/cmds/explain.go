package cmds

import (
	"fmt"
	"io"
	"os"

	"github.com/greengagewheel/greengagewheel/internal/explan"
)

func init() {
	register(command{
		name: "explain", short: "Print a request's way from the logs of several instances",
		long: "Print what happened to one request, from the logs of several instances, in the order of time. Events of its instance " +
			"and of the endpoints that it met, from 3 s before to 1 s after it, are indented. Logs are read from the files, or from " +
			"standard input.",
		data: func(env *Env) any { return &explainCmd{env: env} },
	})
}

type explainCmd struct {
	env  *Env
	Args struct {
		ID    string   `positional-arg-name:"ID" required:"true" description:"the request's ID"`
		Files []string `positional-arg-name:"FILE" description:"logs"`
	} `positional-args:"true"`
}

// Execute runs the command.
func (c *explainCmd) Execute([]string) error {
	var all []explan.Event
	add := func(r io.Reader) error {
		events, err := explan.Read(r)
		all = append(all, events...)
		return err
	}
	if len(c.Args.Files) == 0 {
		if err := add(os.Stdin); err != nil {
			return err
		}
	}
	for _, name := range c.Args.Files {
		if err := c.file(name, add); err != nil {
			return err
		}
	}
	r := explan.New(c.Args.ID, all)
	return r.Print(c.env.Out)
}

func (c *explainCmd) file(name string, add func(io.Reader) error) error {
	f, err := os.Open(name)
	if err != nil {
		return fmt.Errorf("explain: %w", err)
	}
	defer func() { _ = f.Close() }()
	return add(f)
}
