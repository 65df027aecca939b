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

// Finish ends a grant and reports the completion of its request to the scheduler of the named cell.
func (b *Broker) Finish(name string, grant *Grant, completion sched.Completion) {
	client := b.clientFor(name)
	completion.ID, completion.Attempt = grant.req.ID, grant.req.Attempt
	client.mu.Lock()
	if client.grants[completion.ID] == grant {
		delete(client.grants, completion.ID)
	}
	client.mu.Unlock()
	b.queueCompletion(client, completion)
}

// queueCompletion queues a completion for sending. It is dropped if the queue is full; the scheduler then releases the run
// because this instance no longer reports it.
func (b *Broker) queueCompletion(client *cellClient, completion sched.Completion) {
	select {
	case client.completions <- completion:
	default:
	}
}

// sendCompletions sends the queued completions in batches until the context ends.
func (b *Broker) sendCompletions(client *cellClient) {
	for {
		var batch []sched.Completion
		select {
		case <-b.ctx.Done():
			return
		case completion := <-client.completions:
			batch = append(batch, completion)
		}
		for len(client.completions) > 0 && len(batch) < maxCompletionsPerCall {
			batch = append(batch, <-client.completions)
		}
		b.sendBatch(client, batch)
	}
}

// sendBatch sends a batch of completions and retries for completionTimeout. A run whose completion is not delivered is released by
// the scheduler because this instance no longer reports it.
func (b *Broker) sendBatch(client *cellClient, batch []sched.Completion) {
	ctx, cancel := context.WithTimeout(b.ctx, completionTimeout)
	defer cancel()
	for ctx.Err() == nil {
		addr, err := b.findHolder(ctx, client, "")
		if err == nil {
			if _, err = b.call(ctx, client, addr, cell.Call{Completions: batch}, callTimeout); err == nil {
				return
			}
		}
		pace.Sleep(ctx, retryDelay)
	}
}

// sendReports reports the running requests to the scheduler at regular intervals, if there are any.
func (b *Broker) sendReports(client *cellClient) {
	pace.Every(b.ctx, reportInterval, func() {
		client.mu.Lock()
		idle := len(client.grants) == 0
		client.mu.Unlock()
		if idle {
			return
		}
		if addr, err := b.findHolder(b.ctx, client, ""); err == nil {
			b.sendReport(client, addr)
		}
	})
}

// sendReport reports all running requests of a cell to its scheduler.
func (b *Broker) sendReport(client *cellClient, to netip.AddrPort) {
	now := time.Now()
	report := sched.EntryReport{Entry: b.opt.Self.Boot}
	client.mu.Lock()
	for _, grant := range client.grants {
		grant.mu.Lock()
		report.Runs = append(report.Runs, sched.RunReport{
			Request: grant.req, Target: grant.target, TokenInterval: grant.tokenInterval, RunningFor: now.Sub(grant.startedAt),
		})
		grant.mu.Unlock()
	}
	client.mu.Unlock()
	if _, err := b.call(b.ctx, client, to, cell.Call{Report: &report}, callTimeout); err != nil {
		b.opt.Log.Debug("report failed", zap.String("cell", client.name), zap.Error(err))
	}
}
