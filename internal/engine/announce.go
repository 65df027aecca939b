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
	// Source is a stand-in that can announce itself.
	Source interface {
		Announce() endpt.Announcement
	}

	// Announcer sends a stand-in's announcements to one instance after another until one accepts.
	Announcer struct {
		src    Source
		to     []netip.AddrPort
		key    string
		client *http.Client
		next   int
		all    bool
	}
)

// NewAnnouncer returns an announcer that knows the instances and the endpoints' key.
func NewAnnouncer(src Source, to []netip.AddrPort, key string) *Announcer {
	return &Announcer{src: src, to: to, key: key, client: &http.Client{Timeout: endpt.AnnounceInterval}}
}

// ToAll makes the announcer announce to each instance instead of one.
func (a *Announcer) ToAll() *Announcer {
	a.all = true
	return a
}

// Run announces every interval until the context ends.
func (a *Announcer) Run(ctx context.Context) {
	t := time.NewTicker(endpt.AnnounceInterval)
	defer t.Stop()
	for {
		_ = a.Once(ctx)
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

// Once announces to each instance in turn until one accepts; the last failure is returned.
func (a *Announcer) Once(ctx context.Context) error {
	body, err := json.Marshal(a.src.Announce())
	if err != nil {
		return err
	}
	for range a.to {
		addr := a.to[a.next%len(a.to)]
		if err = a.post(ctx, addr, body); err == nil && !a.all {
			return nil
		}
		a.next++
	}
	return err
}

func (a *Announcer) post(ctx context.Context, addr netip.AddrPort, body []byte) error {
	url := fmt.Sprintf("http://%s/v1/announce", addr)
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return err
	}
	q.Header.Set("Authorization", "Bearer "+a.key)
	q.Header.Set("Content-Type", "application/json")
	resp, err := a.client.Do(q)
	if err != nil {
		return fault.At("announce", addr.String(), err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return fault.New("announce", addr.String(), "status %d", resp.StatusCode)
	}
	return nil
}
