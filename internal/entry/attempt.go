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

// streamFrom streams the run from one endpoint, starting after the last token received. done reports whether the run has ended, p is
// the problem that ended it.
func (e *Entry) streamFrom(ctx context.Context, j *job, decision sched.Decision, grant *broker.Grant) (done bool, p *problem) {
	j.sentAt, j.endpointFirstTokenTime = time.Now(), 0
	// The engine at the address may have started again since its announcement, also between two connections.
	stream, build := j.stream, decision.Target.Build
	stream.CheckBuild = func(told string) bool {
		if told != "" && !j.bound {
			build = told
		}
		return told == "" || !j.bound || told == j.build
	}
	err := e.relay.Fetch(ctx, decision.Target.Addr, stream, j.run.tokensReceived(), func(ev relay.Event) error {
		j.bind(build)
		j.recordToken(time.Now(), ev, grant)
		j.run.addEvent(ev)
		return nil
	})
	e.countCrossZoneBytes(j, decision.Target.Zone)
	completion := sched.Completion{
		FirstTokenTime: j.endpointFirstTokenTime, TokenInterval: j.meanTokenInterval(), OutputTokens: j.run.tokensReceived(),
	}
	if err == nil {
		e.opt.Broker.Finish(j.cell, grant, completion)
		e.recordSuccess(j)
		return true, nil
	}
	if ctx.Err() != nil {
		_ = e.relay.Cancel(e.ctx, decision.Target.Addr, j.stream.ID)
		e.opt.Broker.Finish(j.cell, grant, completion)
		return true, callerGoneProblem(j.ran())
	}
	var refusal *relay.Refusal
	if errors.As(err, &refusal) {
		mayHaveRun := refusal.MayHaveRun()
		if mayHaveRun {
			j.sendCount++
		}
		e.opt.Broker.Finish(j.cell, grant, sched.Completion{Unsent: true, MayHaveRun: mayHaveRun})
		return true, endpointProblem(err, j.ran())
	}
	return e.afterFailure(j, decision, grant, err)
}

// afterFailure prepares the next attempt after an endpoint failed, or ends the run.
func (e *Entry) afterFailure(j *job, decision sched.Decision, grant *broker.Grant, err error) (done bool, p *problem) {
	// ErrUnsent together with ErrBroken means that the connection broke and the endpoint could not be reached again: it has crashed.
	unsent := errors.Is(err, relay.ErrUnsent) && !errors.Is(err, relay.ErrBroken)
	crashed := errors.Is(err, relay.ErrUnsent) && !unsent
	e.opt.Log.Warn("endpoint failed", zap.String("step", "stream"), zap.String("peer", decision.Target.Name),
		zap.String("id", j.run.id), zap.Int("offset", j.run.tokensReceived()), zap.Bool("crashed", crashed), zap.Error(err))
	e.opt.Broker.Finish(j.cell, grant, sched.Completion{EndpointFailed: true, Unsent: unsent, OutputTokens: j.run.tokensReceived()})
	if !unsent && !crashed {
		e.wg.Go(func() { _ = e.relay.Cancel(e.ctx, decision.Target.Addr, j.stream.ID) })
	}
	blind := e.opt.Limits.RetryMode == conf.RetryModeBlind
	if crashed && !blind {
		j.crashCount++
		j.exclusive = true
		e.reportCrash(j.fingerprint, decision.Target.Boot)
	}
	j.attempt++
	if !unsent {
		j.sendCount++
	}
	j.excludedBoots = append(j.excludedBoots, decision.Target.Boot)
	switch {
	case blind && j.run.tokensReceived() == 0 && j.attempt < retry.MaxAttempts:
		return false, nil
	case blind:
		return true, endpointProblem(err, j.ran())
	case j.crashCount >= 2:
		return true, quarantinedProblem(j.ran())
	case j.attempt >= retry.MaxAttempts || !e.retryBudget.AllowRetry():
		return true, endpointProblem(err, j.ran())
	}
	return false, nil
}

// reportCrash commits a crash to the log before the request runs on another endpoint.
func (e *Entry) reportCrash(fingerprint, boot string) {
	ctx, cancel := context.WithTimeout(e.ctx, crashReportTimeout)
	defer cancel()
	cmd := ctrl.Command{CrashReport: &ctrl.CrashReport{Fingerprint: fingerprint, Boot: boot}}
	if _, err := e.opt.Quorum.Propose(ctx, cmd); err != nil {
		e.opt.Log.Warn("crash not reported", zap.String("print", fingerprint), zap.Error(err))
	}
}

// recordSuccess records the latencies of a completed run. If the run was suspected of crashing endpoints, it clears the suspicion.
func (e *Entry) recordSuccess(j *job) {
	j.caller.metrics.RecordFirstTokenTime(j.firstTokenTime)
	if tokenInterval := j.meanTokenInterval(); tokenInterval > 0 {
		j.caller.metrics.RecordTokenInterval(tokenInterval)
	}
	if !j.exclusive {
		return
	}
	e.wg.Go(func() {
		ctx, cancel := context.WithTimeout(e.ctx, crashReportTimeout)
		defer cancel()
		_, _ = e.opt.Quorum.Propose(ctx, ctrl.Command{CrashReport: &ctrl.CrashReport{Fingerprint: j.fingerprint, Clear: true}})
	})
}

// countCrossZoneBytes counts the request and response bytes of a run on an endpoint in another zone.
func (e *Entry) countCrossZoneBytes(j *job, zone string) {
	if zone != e.opt.Self.Zone {
		e.opt.Meter.AddToCounter("cross_zone_bytes", int64(len(j.stream.Body)+j.run.receivedBytes()))
	}
}
