package node

import (
	"context"
	"time"

	"go.uber.org/zap"
)

// stop shuts the instance down: it reports not ready, hands its schedulers over, finishes the requests in progress, and then
// deregisters and closes the rest.
func (n *Node) stop() {
	n.log.Info("instance stops", zap.Int("requests", n.entry.RequestsInProgress()))
	n.entry.Drain()
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	n.cells.Close(ctx)
	time.Sleep(drainNoticeTime)
	n.drainRequests()
	closeCtx, cancelClose := context.WithTimeout(context.Background(), closeTimeout)
	defer cancelClose()
	_ = n.entry.Close(closeCtx)
	_ = n.admin.Close(closeCtx)
	if err := n.registrar.Deregister(closeCtx); err != nil {
		n.log.Warn("not deregistered", zap.Error(err))
	}
	n.cancel()
	_ = n.peerServer.Close()
	n.wg.Wait()
	n.entry.Wait()
	_ = n.meter.Close()
}

// drainRequests closes the listener for callers and waits for the requests in progress, at most for the drain limit of the
// settings; 0 is no limit.
func (n *Node) drainRequests() {
	limit := n.conf.Limits.DrainTimeout.Std()
	start := time.Now()
	_ = n.listeners.callers.Close()
	for n.entry.RequestsInProgress() > 0 {
		if limit > 0 && time.Since(start) > limit {
			n.log.Warn("drain limit reached", zap.Int("requests", n.entry.RequestsInProgress()))
			return
		}
		time.Sleep(pollInterval)
	}
}
