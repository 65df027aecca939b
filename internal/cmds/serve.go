package cmds

import (
	"context"
	"os/signal"
	"syscall"

	"github.com/greengagewheel/greengagewheel/internal/conf"
	"github.com/greengagewheel/greengagewheel/internal/logs"
	"github.com/greengagewheel/greengagewheel/internal/node"
)

func init() {
	register(command{
		name: "serve", short: "Run an instance",
		long: "Run an instance until SIGTERM or SIGINT, then finish the requests in progress and exit.",
		data: func(env *Env) any { return &serveCmd{env: env} },
	})
}

type serveCmd struct {
	env  *Env
	Conf string `long:"conf" value-name:"FILE" required:"true" description:"settings file"`
}

// Execute runs the command.
func (c *serveCmd) Execute([]string) error {
	settings, err := conf.Load(c.Conf)
	if err != nil {
		return err
	}
	log, err := logs.New(c.env.Err, settings.Log.Level)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	n, err := node.New(settings, log)
	if err != nil {
		return err
	}
	return n.Run(ctx)
}
