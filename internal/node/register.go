package node

import (
	"context"

	"go.uber.org/zap"

	"github.com/greengagewheel/greengagewheel/internal/ctrl"
	"github.com/greengagewheel/greengagewheel/internal/pace"
	"github.com/greengagewheel/greengagewheel/internal/repl"
)

// register enters the instance into the list at regular times, and deregisters lost ones where it leads the log.
func (n *Node) register(ctx context.Context) {
	for ctx.Err() == nil {
		pause := registerEvery
		if err := n.propose(ctx, ctrl.Command{Register: &n.self}); err != nil {
			pause = registerRetry
		}
		if n.group != nil && n.group.Status().Role == repl.Leader.String() {
			n.deregisterLost(ctx)
		}
		pace.Pause(ctx, pause)
	}
}

func (n *Node) deregisterLost(ctx context.Context) {
	for _, i := range n.machine.Lost(lostAfter) {
		n.log.Warn("instance lost; deregistered", zap.String("name", i.Name), zap.String("boot", i.Boot))
		_ = n.propose(ctx, ctrl.Command{Deregister: &ctrl.Deregister{Name: i.Name, Boot: i.Boot}})
	}
}

func (n *Node) propose(ctx context.Context, cmd ctrl.Command) error {
	ctx, cancel := context.WithTimeout(ctx, registerTimeout)
	defer cancel()
	_, err := n.quorum.Propose(ctx, cmd)
	return err
}
