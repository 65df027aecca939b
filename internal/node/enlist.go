package node

import (
	"context"

	"go.uber.org/zap"

	"github.com/greengagewheel/greengagewheel/internal/ctrl"
	"github.com/greengagewheel/greengagewheel/internal/pace"
	"github.com/greengagewheel/greengagewheel/internal/repl"
)

// enlist enters the instance into the list at regular times, and strikes lost ones where it leads the log.
func (n *Node) enlist(ctx context.Context) {
	for ctx.Err() == nil {
		pause := enlistEvery
		if err := n.propose(ctx, ctrl.Command{Enlist: &n.self}); err != nil {
			pause = enlistRetry
		}
		if n.group != nil && n.group.Status().Role == repl.Leader.String() {
			n.strikeLost(ctx)
		}
		pace.Pause(ctx, pause)
	}
}

func (n *Node) strikeLost(ctx context.Context) {
	for _, i := range n.machine.Lost(lostAfter) {
		n.log.Warn("instance lost; struck from the list", zap.String("name", i.Name), zap.String("boot", i.Boot))
		_ = n.propose(ctx, ctrl.Command{Strike: &ctrl.Strike{Name: i.Name, Boot: i.Boot}})
	}
}

func (n *Node) propose(ctx context.Context, cmd ctrl.Command) error {
	ctx, cancel := context.WithTimeout(ctx, enlistTimeout)
	defer cancel()
	_, err := n.quorum.Propose(ctx, cmd)
	return err
}
