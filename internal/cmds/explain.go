package cmds

import (
	"fmt"
	"io"
	"os"

	"github.com/greengagewheel/greengagewheel/internal/explan"
)

func init() {
	register(command{
		name: "explain", short: "Print the events of a request from logs",
		long: "Print the events of one request from the logs of several instances, in order of time. Other events of the instances and " +
			"endpoints that handled it, from 3 s before to 1 s after it, are indented. Logs are read from each FILE, or from standard " +
			"input if there is none.",
		newData: func(env *Env) any { return &explainCmd{env: env} },
	})
}

// explainCmd is the command "explain".
type explainCmd struct {
	env  *Env
	Args struct {
		ID    string   `positional-arg-name:"ID" required:"true" description:"the request's ID"`
		Files []string `positional-arg-name:"FILE" description:"logs"`
	} `positional-args:"true"`
}

// Execute reads the logs and prints the report on the request.
func (c *explainCmd) Execute([]string) error {
	var events []explan.Event
	addLog := func(r io.Reader) error {
		parsed, err := explan.Read(r)
		events = append(events, parsed...)
		return err
	}
	if len(c.Args.Files) == 0 {
		if err := addLog(os.Stdin); err != nil {
			return err
		}
	}
	for _, name := range c.Args.Files {
		if err := c.addFile(name, addLog); err != nil {
			return err
		}
	}
	report := explan.NewReport(c.Args.ID, events)
	return report.Print(c.env.Out)
}

// addFile passes the named file to addLog.
func (c *explainCmd) addFile(name string, addLog func(io.Reader) error) error {
	f, err := os.Open(name)
	if err != nil {
		return fmt.Errorf("explain: %w", err)
	}
	defer func() { _ = f.Close() }()
	return addLog(f)
}
