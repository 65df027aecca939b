package broker

import (
	"context"
	"net/netip"
	"time"

	"github.com/greengagewheel/greengagewheel/internal/cell"
	"github.com/greengagewheel/greengagewheel/pkg/endpt"
)

// Announce forwards an announcement to the schedulers of all its cells; an error means that not each of them has it.
func (b *Broker) Announce(ctx context.Context, cells []string, a endpt.Announce) error {
	var failed error
	for _, name := range cells {
		if err := b.announce(ctx, name, a); err != nil {
			failed = err
		}
	}
	return failed
}

func (b *Broker) announce(ctx context.Context, name string, a endpt.Announce) error {
	const tries = 3
	o := b.cellClient(name)
	o.mu.Lock()
	at := time.Now()
	o.anns[a.Name] = announcement{ann: a, at: at}
	o.mu.Unlock()
	var err error
	for range tries {
		var addr netip.AddrPort
		if addr, err = b.holder(ctx, o, a.Kind); err != nil {
			return err
		}
		if _, err = b.call(ctx, o, addr, cell.Order{Announce: &a, Age: time.Since(at)}, callTimeout); err == nil {
			return nil
		}
	}
	return err
}
