package node

import (
	"context"
	"time"

	"github.com/greengagewheel/greengagewheel/internal/cell"
	"github.com/greengagewheel/greengagewheel/internal/ctrl"
	"github.com/greengagewheel/greengagewheel/internal/fault"
)

// PutContract commits a contract to the replicated log.
func (n *Node) PutContract(ctx context.Context, p ctrl.PutContract) (ctrl.Result, error) {
	return n.quorum.Propose(ctx, ctrl.Command{Put: &p})
}

// AwaitCells waits until the instance is ready and each of the named models and services has a cell in its region. It fails when
// the limit has passed or ctx is canceled.
func (n *Node) AwaitCells(ctx context.Context, limit time.Duration, names ...string) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	for !n.allCellsFound(names) || n.Ready() != nil {
		select {
		case <-ctx.Done():
			return fault.Wrap("wait for endpoints", "", ctx.Err())
		case <-time.After(pollInterval):
		}
	}
	return nil
}

// allCellsFound reports whether each of the named models and services has a cell in this instance's region.
func (n *Node) allCellsFound(names []string) bool {
	for _, name := range names {
		if _, ok := n.distributor.View().Cells[cell.Name(name, n.self.Region)]; !ok {
			return false
		}
	}
	return true
}
