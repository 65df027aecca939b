package node

import (
	"context"
	"time"

	"go.uber.org/zap"
)

// stop ends the instance: not ready first, then the schedulers handed over, the requests finished, and the rest.
func (n *Node) stop() {
	n.log.Info("instance stops", zap.Int("requests", n.entry.RequestsInProgress()))
	n.entry.Drain()
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	n.cells.Close(ctx)
	time.Sleep(settleStop)
	n.drainRequests()
	done, cancel2 := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel2()
	_ = n.entry.Close(done)
	_ = n.admin.Close(done)
	if err := n.members.Deregister(done); err != nil {
		n.log.Warn("not deregistered", zap.Error(err))
	}
	n.cancel()
	_ = n.peers.Close()
	n.wg.Wait()
	n.entry.Wait()
	_ = n.meter.Close()
}

// drainRequests waits for the requests in progress, for as long as the settings allow.
func (n *Node) drainRequests() {
	limit := n.conf.Limits.DrainTimeout.Std()
	start := time.Now()
	_ = n.lists.callers.Close()
	for n.entry.RequestsInProgress() > 0 {
		if limit > 0 && time.Since(start) > limit {
			n.log.Warn("drain limit reached", zap.Int("requests", n.entry.RequestsInProgress()))
			return
		}
		time.Sleep(drainCheck)
	}
}
