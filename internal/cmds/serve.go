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
		long:    "Run an instance until SIGTERM or SIGINT, then finish the requests in progress and exit.",
		newData: func(env *Env) any { return &serveCmd{env: env} },
	})
}

// serveCmd is the command "serve".
type serveCmd struct {
	env  *Env
	Conf string `long:"conf" value-name:"FILE" description:"settings file; the platform's where none is named"`
}

// Execute runs an instance in the mode that the settings name.
func (c *serveCmd) Execute([]string) error {
	if c.Conf == "" {
		c.Conf = c.env.SettingsFile
	}
	if c.Conf == "" {
		return usageError{errors.New("serve: --conf FILE is required")}
	}
	settings, err := conf.Load(c.Conf)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if settings.Mode == conf.ModeRoutes {
		return c.runRouter(ctx, settings)
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

// runRouter runs an instance that routes by a routing table. It logs to standard output through a queue.
func (c *serveCmd) runRouter(ctx context.Context, settings conf.Settings) error {
	queue := logs.NewQueue(c.env.Out, time.Now)
	log, err := logs.New(queue, settings.Log.Level)
	if err != nil {
		return err
	}
	r, err := router.New(settings, c.Conf, c.env.Wire, log.With(zap.String("instance", settings.Instance.Name)))
	if err == nil {
		err = r.Run(ctx)
	}
	if syncErr := queue.Sync(); syncErr != nil {
		return errors.Join(err, syncErr)
	}
	return err
}
