package cmds

import (
	"context"
	"errors"
	"os/signal"
	"syscall"
	"time"

	"go.uber.org/zap"

	"github.com/greengagewheel/greengagewheel/internal/conf"
	"github.com/greengagewheel/greengagewheel/internal/logs"
	"github.com/greengagewheel/greengagewheel/internal/node"
	"github.com/greengagewheel/greengagewheel/internal/router"
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
	Conf string `long:"conf" value-name:"FILE" description:"settings file; the platform's where none is named"`
}

// Execute runs the command.
func (c *serveCmd) Execute([]string) error {
	if c.Conf == "" {
		c.Conf = c.env.Settings
	}
	if c.Conf == "" {
		return usage{errors.New("serve: --conf FILE is needed")}
	}
	settings, err := conf.Load(c.Conf)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if settings.Mode == conf.ModeRoutes {
		return c.routes(ctx, settings)
	}
	log, err := logs.New(c.env.Err, settings.Log.Level)
	if err != nil {
		return err
	}
	n, err := node.New(settings, log)
	if err != nil {
		return err
	}
	return n.Run(ctx)
}

// routes runs an instance that routes by a routing table.
func (c *serveCmd) routes(ctx context.Context, settings conf.Settings) error {
	queue := logs.NewQueue(c.env.Out, time.Now)
	log, err := logs.New(queue, settings.Log.Level)
	if err != nil {
		return err
	}
	r, err := router.New(settings, c.Conf, c.env.Wire, log.With(zap.String("instance", settings.Instance.Name)))
	if err == nil {
		err = r.Run(ctx)
	}
	if e := queue.Sync(); e != nil {
		return errors.Join(err, e)
	}
	return err
}
