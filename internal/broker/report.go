package broker

import (
	"context"
	"net/netip"
	"time"

	"go.uber.org/zap"

	"github.com/greengagewheel/greengagewheel/internal/cell"
	"github.com/greengagewheel/greengagewheel/internal/pace"
	"github.com/greengagewheel/greengagewheel/internal/sched"
)

// Finish reports the end of a run.
func (b *Broker) Finish(name string, r *Run, d sched.Done) {
	o := b.cellClient(name)
	d.ID, d.Attempt = r.ask.ID, r.ask.Attempt
	o.mu.Lock()
	if o.runs[d.ID] == r {
		delete(o.runs, d.ID)
	}
	o.mu.Unlock()
	b.finish(o, d)
}

func (b *Broker) finish(o *cellClient, d sched.Done) {
	select {
	case o.dones <- d:
	default:
	}
}

// finishes sends reports of ended runs in batches.
func (b *Broker) finishes(o *cellClient) {
	for {
		var batch []sched.Done
		select {
		case <-b.ctx.Done():
			return
		case d := <-o.dones:
			batch = append(batch, d)
		}
		for len(o.dones) > 0 && len(batch) < maxDones {
			batch = append(batch, <-o.dones)
		}
		b.sendDones(o, batch)
	}
}

// sendDones retries for a while; the regular report frees what it could not tell.
func (b *Broker) sendDones(o *cellClient, batch []sched.Done) {
	ctx, cancel := context.WithTimeout(b.ctx, doneTimeout)
	defer cancel()
	for ctx.Err() == nil {
		addr, err := b.holder(ctx, o, "")
		if err == nil {
			if _, err = b.call(ctx, o, addr, cell.Order{Done: batch}, callTimeout); err == nil {
				return
			}
		}
		pace.Pause(ctx, retryPause)
	}
}

// reports tells the scheduler at regular times what runs here.
func (b *Broker) reports(o *cellClient) {
	pace.Every(b.ctx, syncEvery, func() {
		o.mu.Lock()
		idle := len(o.runs) == 0
		o.mu.Unlock()
		if idle {
			return
		}
		if addr, err := b.holder(b.ctx, o, ""); err == nil {
			b.report(o, addr)
		}
	})
}

func (b *Broker) report(o *cellClient, to netip.AddrPort) {
	now := time.Now()
	rep := sched.Report{Entry: b.opt.Self.Boot}
	o.mu.Lock()
	for _, r := range o.runs {
		r.mu.Lock()
		rep.Runs = append(rep.Runs, sched.Progress{Ask: r.ask, Target: r.target, Gap: r.gap, Since: now.Sub(r.since)})
		r.mu.Unlock()
	}
	o.mu.Unlock()
	if _, err := b.call(b.ctx, o, to, cell.Order{Report: &rep}, callTimeout); err != nil {
		b.opt.Log.Debug("report failed", zap.String("cell", o.name), zap.Error(err))
	}
}
