package node

import (
	"context"
	"time"

	"github.com/greengagewheel/greengagewheel/internal/cell"
	"github.com/greengagewheel/greengagewheel/internal/ctrl"
	"github.com/greengagewheel/greengagewheel/internal/fault"
)

// Put commits a contract.
func (n *Node) Put(ctx context.Context, p ctrl.PutContract) (ctrl.Result, error) {
	return n.quorum.Propose(ctx, ctrl.Command{Put: &p})
}

// AwaitCells waits until each of the models and services is served in this instance's region, and the instance is ready.
func (n *Node) AwaitCells(ctx context.Context, limit time.Duration, names ...string) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	for !n.served(names) || n.Ready() != nil {
		select {
		case <-ctx.Done():
			return fault.At("wait for endpoints", "", ctx.Err())
		case <-time.After(drainCheck):
		}
	}
	return nil
}

func (n *Node) served(names []string) bool {
	for _, name := range names {
		if _, ok := n.spread.View().Cells[cell.Name(name, n.self.Region)]; !ok {
			return false
		}
	}
	return true
}
