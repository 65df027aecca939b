package quorum

import (
	"context"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/greengagewheel/greengagewheel/internal/ctrl"
	"github.com/greengagewheel/greengagewheel/internal/pace"
)

const (
	// registerInterval is the time between two registrations of an instance.
	registerInterval   = 20 * time.Second
	registerRetryDelay = 300 * time.Millisecond
	registerTimeout    = 3 * time.Second
	// deregisterAfter is the time since its last registration after which an instance is deregistered.
	deregisterAfter = 120 * time.Second
)

// Registrar keeps an instance registered in the list of instances.
type Registrar struct {
	Client *Client
	Self   ctrl.Instance
	// SilentInstances returns the instances that have not registered for the given time, and none unless this instance leads the log.
	// It is nil on instances that hold no replica.
	SilentInstances func(age time.Duration) []ctrl.Instance
	// Delay waits before the first registration, and returns early when the context ends. It may be nil.
	Delay func(ctx context.Context)
	Log   *zap.Logger
	// registered is set after the first registration.
	registered atomic.Bool
}

// Run registers the instance periodically and deregisters lost instances, until the context ends.
func (r *Registrar) Run(ctx context.Context) {
	if r.Delay != nil {
		r.Delay(ctx)
	}
	for ctx.Err() == nil {
		wait := registerInterval
		if err := r.propose(ctx, ctrl.Command{Register: &r.Self}); err != nil {
			r.Log.Debug("not registered", zap.Error(err))
			wait = registerRetryDelay
		} else {
			r.registered.Store(true)
		}
		if r.SilentInstances != nil {
			for _, instance := range r.SilentInstances(deregisterAfter) {
				r.Log.Warn("instance lost; deregistered", zap.String("name", instance.Name), zap.String("boot", instance.Boot))
				if err := r.propose(ctx, ctrl.Command{Deregister: &ctrl.Deregister{Name: instance.Name, Boot: instance.Boot}}); err != nil {
					r.Log.Warn("lost instance not deregistered", zap.String("name", instance.Name), zap.Error(err))
				}
			}
		}
		pace.Sleep(ctx, wait)
	}
}

// Deregister deregisters the instance. One that has not registered yet does so first, as it may be registered by its name under an
// earlier boot ID. Its errors are those of Client.Propose.
func (r *Registrar) Deregister(ctx context.Context) error {
	if !r.registered.Load() {
		if err := r.propose(ctx, ctrl.Command{Register: &r.Self}); err != nil {
			return err
		}
	}
	return r.propose(ctx, ctrl.Command{Deregister: &ctrl.Deregister{Name: r.Self.Name, Boot: r.Self.Boot}})
}

func (r *Registrar) propose(ctx context.Context, cmd ctrl.Command) error {
	ctx, cancel := context.WithTimeout(ctx, registerTimeout)
	defer cancel()
	_, err := r.Client.Propose(ctx, cmd)
	return err
}
