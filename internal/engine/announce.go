package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"time"

	"github.com/greengagewheel/greengagewheel/internal/fault"
	"github.com/greengagewheel/greengagewheel/pkg/endpt"
)

type (
	// AnnouncementSource supplies the announcements of a simulated endpoint.
	AnnouncementSource interface {
		NextAnnouncement() endpt.Announcement
	}

	// Announcer sends the announcements of a simulated endpoint to the router's instances. Each goes to one instance that accepts it,
	// or to all after ToAll.
	Announcer struct {
		source    AnnouncementSource
		instances []netip.AddrPort
		key       string
		client    *http.Client
		next      int
		toAll     bool
	}
)

// NewAnnouncer returns an announcer that sends to the given addresses and authenticates with the endpoint key.
func NewAnnouncer(source AnnouncementSource, instances []netip.AddrPort, key string) *Announcer {
	return &Announcer{source: source, instances: instances, key: key, client: &http.Client{Timeout: endpt.AnnounceInterval}}
}

// ToAll makes the announcer send each announcement to every instance, and returns the announcer.
func (a *Announcer) ToAll() *Announcer {
	a.toAll = true
	return a
}

// Run announces at once and then every endpt.AnnounceInterval until ctx is done. Failures are ignored.
func (a *Announcer) Run(ctx context.Context) {
	ticker := time.NewTicker(endpt.AnnounceInterval)
	defer ticker.Stop()
	for {
		_ = a.AnnounceOnce(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// AnnounceOnce sends one announcement to the instances in turn until one accepts it, beginning with the one that accepted the last. After
// ToAll it sends to each of them. It returns the error of the last attempt.
func (a *Announcer) AnnounceOnce(ctx context.Context) error {
	body, err := json.Marshal(a.source.NextAnnouncement())
	if err != nil {
		return err
	}
	for range a.instances {
		addr := a.instances[a.next%len(a.instances)]
		if err = a.post(ctx, addr, body); err == nil && !a.toAll {
			return nil
		}
		a.next++
	}
	return err
}

func (a *Announcer) post(ctx context.Context, addr netip.AddrPort, body []byte) error {
	url := fmt.Sprintf("http://%s/v1/announce", addr)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", "Bearer "+a.key)
	req.Header.Set("Content-Type", "application/json")
	resp, err := a.client.Do(req)
	if err != nil {
		return fault.Wrap("announce", addr.String(), err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return fault.Errorf("announce", addr.String(), "status %d", resp.StatusCode)
	}
	return nil
}
