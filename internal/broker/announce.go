package broker

import (
	"context"
	"net/netip"
	"time"

	"github.com/greengagewheel/greengagewheel/internal/cell"
	"github.com/greengagewheel/greengagewheel/pkg/endpt"
)

// Announce forwards an endpoint's announcement to the schedulers of the given cells. An error means that at least one of them
// did not receive it; the announcement is repeated to a new scheduler of the cell while it is recent.
func (b *Broker) Announce(ctx context.Context, cells []string, ann endpt.Announcement) error {
	var failed error
	for _, name := range cells {
		if err := b.announceToCell(ctx, name, ann); err != nil {
			failed = err
		}
	}
	return failed
}

// announceToCell forwards an announcement to one cell. It retries at once, so that a change of the scheduler is followed.
func (b *Broker) announceToCell(ctx context.Context, name string, ann endpt.Announcement) error {
	const maxAttempts = 3
	client := b.clientFor(name)
	client.mu.Lock()
	receivedAt := time.Now()
	client.announcements[ann.Name] = announcement{ann: ann, receivedAt: receivedAt}
	client.mu.Unlock()
	var err error
	for range maxAttempts {
		var addr netip.AddrPort
		if addr, err = b.findHolder(ctx, client, ann.Kind); err != nil {
			return err
		}
		if _, err = b.call(
			ctx, client, addr, cell.Call{Announcement: &ann, AnnouncementAge: time.Since(receivedAt)}, callTimeout,
		); err == nil {
			return nil
		}
	}
	return err
}
