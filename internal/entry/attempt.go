package entry

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"github.com/greengagewheel/greengagewheel/internal/broker"
	"github.com/greengagewheel/greengagewheel/internal/conf"
	"github.com/greengagewheel/greengagewheel/internal/ctrl"
	"github.com/greengagewheel/greengagewheel/internal/relay"
	"github.com/greengagewheel/greengagewheel/internal/retry"
	"github.com/greengagewheel/greengagewheel/internal/sched"
)

// attempt relays the run from one endpoint, from where it stands.
func (e *Entry) attempt(ctx context.Context, j *job, v sched.Decision, held *broker.Run) (done bool, p *problem) {
	j.sent, j.served = time.Now(), 0
	err := e.relay.Fetch(ctx, v.Target.Addr, j.stream, j.run.offset(), func(ev relay.Event) error {
		j.observe(time.Now(), ev, held)
		j.run.add(ev)
		return nil
	})
	e.countZones(j, v.Target.Zone)
	d := sched.Completion{FirstTokenTime: j.served, TokenInterval: j.meanGap(), OutputTokens: j.run.offset()}
	if err == nil {
		e.opt.Broker.Finish(j.cell, held, d)
		e.succeeded(j)
		return true, nil
	}
	if ctx.Err() != nil {
		_ = e.relay.Cancel(e.ctx, v.Target.Addr, j.stream.ID)
		e.opt.Broker.Finish(j.cell, held, d)
		return true, callerGone(j.ran())
	}
	var refusal *relay.Refusal
	if errors.As(err, &refusal) {
		e.opt.Broker.Finish(j.cell, held, sched.Completion{Unsent: true})
		return true, failed(err, j.ran())
	}
	return e.again(j, v, held, err)
}

// again prepares the next attempt after an endpoint failed, or gives the run up.
func (e *Entry) again(j *job, v sched.Decision, held *broker.Run, err error) (done bool, p *problem) {
	unsent := errors.Is(err, relay.ErrUnsent) && !errors.Is(err, relay.ErrBroken)
	crashed := errors.Is(err, relay.ErrUnsent) && !unsent
	e.opt.Log.Warn("endpoint failed", zap.String("step", "stream"), zap.String("peer", v.Target.Name),
		zap.String("id", j.run.id), zap.Int("offset", j.run.offset()), zap.Bool("crashed", crashed), zap.Error(err))
	e.opt.Broker.Finish(j.cell, held, sched.Completion{EndpointFailed: true, Unsent: unsent, OutputTokens: j.run.offset()})
	if !unsent && !crashed {
		e.wg.Go(func() { _ = e.relay.Cancel(e.ctx, v.Target.Addr, j.stream.ID) })
	}
	blind := e.opt.Limits.Retry == conf.RetryBlind
	if crashed && !blind {
		j.crashes++
		j.solo = true
		e.reportCrash(j.print, v.Target.Boot)
	}
	j.attempt++
	if !unsent {
		j.sends++
	}
	j.avoid = append(j.avoid, v.Target.Boot)
	switch {
	case blind && j.run.offset() == 0 && j.attempt < retry.MaxAttempts:
		return false, nil
	case blind:
		return true, failed(err, j.ran())
	case j.crashes >= 2:
		return true, crashing(j.ran())
	case j.attempt >= retry.MaxAttempts || !e.budget.Spend():
		return true, failed(err, j.ran())
	}
	return false, nil
}

// reportCrash reports a crash through the log before the request runs anywhere else.
func (e *Entry) reportCrash(print, boot string) {
	ctx, cancel := context.WithTimeout(e.ctx, poisonTimeout)
	defer cancel()
	cmd := ctrl.Command{Poison: &ctrl.Poison{Print: print, Boot: boot}}
	if _, err := e.opt.Quorum.Propose(ctx, cmd); err != nil {
		e.opt.Log.Warn("crash not reported", zap.String("print", print), zap.Error(err))
	}
}

// succeeded clears a suspicion and counts the run.
func (e *Entry) succeeded(j *job) {
	j.cl.series.First(j.first)
	if g := j.meanGap(); g > 0 {
		j.cl.series.Gap(g)
	}
	if !j.solo {
		return
	}
	e.wg.Go(func() {
		ctx, cancel := context.WithTimeout(e.ctx, poisonTimeout)
		defer cancel()
		_, _ = e.opt.Quorum.Propose(ctx, ctrl.Command{Poison: &ctrl.Poison{Print: j.print, Clear: true}})
	})
}

// countZones counts the bytes of a run that crossed to another zone and back.
func (e *Entry) countZones(j *job, zone string) {
	if zone != e.opt.Self.Zone {
		e.opt.Meter.Count("cross_zone_bytes", int64(len(j.stream.Body)+j.run.bytes()))
	}
}
