package quorum

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/greengagewheel/greengagewheel/internal/ctrl"
	"github.com/greengagewheel/greengagewheel/internal/pace"
)

const (
	// registerEvery is the time between two entries of an instance into the list of instances.
	registerEvery   = 20 * time.Second
	registerRetry   = 300 * time.Millisecond
	registerTimeout = 3 * time.Second
	// lostAfter is the silence after which an instance is deregistered.
	lostAfter = 120 * time.Second
)

// Registrar keeps an instance in the list of instances. Lost, which is nil on one that never leads the log, returns the
// instances that have not registered for the given time, where this one leads.
type Registrar struct {
	Client *Client
	Self   ctrl.Instance
	Lost   func(age time.Duration) []ctrl.Instance
	Log    *zap.Logger
}

// Run enters the instance at regular times and deregisters lost ones, until the context ends.
func (r *Registrar) Run(ctx context.Context) {
	for ctx.Err() == nil {
		wait := registerEvery
		if err := r.propose(ctx, ctrl.Command{Register: &r.Self}); err != nil {
			r.Log.Debug("not registered", zap.Error(err))
			wait = registerRetry
		}
		if r.Lost != nil {
			for _, i := range r.Lost(lostAfter) {
				r.Log.Warn("instance lost; deregistered", zap.String("name", i.Name), zap.String("boot", i.Boot))
				if err := r.propose(ctx, ctrl.Command{Deregister: &ctrl.Deregister{Name: i.Name, Boot: i.Boot}}); err != nil {
					r.Log.Warn("lost instance not deregistered", zap.String("name", i.Name), zap.Error(err))
				}
			}
		}
		pace.Pause(ctx, wait)
	}
}

// Leave deregisters the instance.
func (r *Registrar) Leave(ctx context.Context) error {
	return r.propose(ctx, ctrl.Command{Deregister: &ctrl.Deregister{Name: r.Self.Name, Boot: r.Self.Boot}})
}

func (r *Registrar) propose(ctx context.Context, cmd ctrl.Command) error {
	ctx, cancel := context.WithTimeout(ctx, registerTimeout)
	defer cancel()
	_, err := r.Client.Propose(ctx, cmd)
	return err
}
