package node

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/greengagewheel/greengagewheel/internal/ctrl"
)

// stop ends the instance: not ready first, then the schedulers handed over, the requests finished, and the rest.
func (n *Node) stop() {
	n.log.Info("instance stops", zap.Int("requests", n.entry.Busy()))
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
	n.leave(done)
	n.cancel()
	_ = n.peers.Close()
	n.wg.Wait()
	n.entry.Wait()
	_ = n.meter.Close()
}

// drainRequests waits for the requests in progress, for as long as the settings allow.
func (n *Node) drainRequests() {
	limit := n.conf.Limits.Drain.Std()
	start := time.Now()
	_ = n.lists.callers.Close()
	for n.entry.Busy() > 0 {
		if limit > 0 && time.Since(start) > limit {
			n.log.Warn("drain limit reached", zap.Int("requests", n.entry.Busy()))
			return
		}
		time.Sleep(drainCheck)
	}
}

// leave deregisters the instance.
func (n *Node) leave(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, registerTimeout)
	defer cancel()
	cmd := ctrl.Command{Deregister: &ctrl.Deregister{Name: n.self.Name, Boot: n.self.Boot}}
	if _, err := n.quorum.Propose(ctx, cmd); err != nil {
		n.log.Warn("not deregistered", zap.Error(err))
	}
}
