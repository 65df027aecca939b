package entry

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"net/url"
	"time"

	"github.com/greengagewheel/greengagewheel/internal/conns"
	"github.com/greengagewheel/greengagewheel/internal/fault"
	"github.com/greengagewheel/greengagewheel/internal/relay"
	"github.com/greengagewheel/greengagewheel/internal/retry"
	"github.com/greengagewheel/greengagewheel/internal/sched"
	"github.com/greengagewheel/greengagewheel/pkg/chat"
)

// RunsPath is the path under which an instance shows its runs to the others.
const RunsPath = "/runs/"

const (
	followFirst = 3 * time.Second
	followGap   = 3 * time.Second
	followBeat  = time.Second
)

// page is one line of a run as shown to another instance; an empty one only tells that the run goes on.
type page struct {
	Event *relay.Event `json:"event,omitempty"`
	End   bool         `json:"end,omitempty"`
	Fault *chat.Error  `json:"fault,omitempty"`
	Code  int          `json:"code,omitempty"`
}

// elsewhere follows a run that another instance has; if that instance does not answer, the run is taken over.
func (e *Entry) elsewhere(ctx context.Context, j *job, v sched.Decision) (done bool, p *problem) {
	p, err := e.follow(ctx, j, v.EntryAddr)
	if err == nil {
		return true, p
	}
	if ctx.Err() != nil {
		return true, callerGone(chat.RanUnknown)
	}
	j.steal = true
	j.sends++
	j.attempt++
	if j.attempt >= retry.MaxAttempts {
		return true, failed(err, chat.RanUnknown)
	}
	return false, nil
}

// follow copies the events of another instance's run; an error means that they broke off.
func (e *Entry) follow(ctx context.Context, j *job, from netip.AddrPort) (*problem, error) {
	quiet, feed, stop := conns.WithIdleTimeout(ctx, followFirst)
	defer stop()
	at := fmt.Sprintf("http://%s%s%s?from=%d", from, RunsPath, url.PathEscape(j.run.id), j.run.offset())
	q, err := http.NewRequestWithContext(quiet, http.MethodGet, at, nil)
	if err != nil {
		return nil, err
	}
	q.Header.Set("Authorization", "Bearer "+e.opt.Secret)
	resp, err := e.follows.Pool(from).Do(q)
	if err != nil {
		e.follows.Pool(from).Renew()
		return nil, fault.At("follow", from.String(), err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return nil, fault.New("follow", from.String(), "status %d", resp.StatusCode)
	}
	d := json.NewDecoder(resp.Body)
	for {
		var pg page
		if err := d.Decode(&pg); err != nil {
			return nil, fault.At("follow", from.String(), err)
		}
		feed(followGap)
		switch {
		case pg.Event != nil:
			j.run.add(*pg.Event)
		case pg.End && pg.Fault != nil:
			return &problem{status: pg.Code, code: pg.Fault.Code, message: pg.Fault.Message, ran: pg.Fault.Ran,
				retry: time.Duration(pg.Fault.Retry) * time.Second}, nil
		case pg.End:
			return nil, nil
		}
	}
}

// ShowRun serves one of this instance's runs to another instance.
func (e *Entry) ShowRun(w http.ResponseWriter, q *http.Request) {
	id, err := url.PathUnescape(q.URL.EscapedPath()[len(RunsPath):])
	if err != nil {
		http.Error(w, "bad run ID", http.StatusBadRequest)
		return
	}
	r := e.runs.join(id)
	if r == nil {
		http.Error(w, "no such run", http.StatusNotFound)
		return
	}
	defer r.leave()
	from := 0
	_, _ = fmt.Sscan(q.URL.Query().Get("from"), &from)
	if err := show(q.Context(), w, r, from); err != nil && !errors.Is(err, context.Canceled) {
		return
	}
}

func show(ctx context.Context, w http.ResponseWriter, r *run, from int) error {
	out := http.NewResponseController(w)
	enc := json.NewEncoder(w)
	t := time.NewTicker(followBeat)
	defer t.Stop()
	seen := 0
	for {
		events, ended, p, change := r.after(seen)
		seen += len(events)
		for i := range events {
			if events[i].Offset <= from && events[i].Finish == "" {
				continue
			}
			if err := enc.Encode(page{Event: &events[i]}); err != nil {
				return err
			}
		}
		if ended && len(events) == 0 {
			return enc.Encode(ending(p))
		}
		if err := out.Flush(); err != nil {
			return err
		}
		select {
		case <-change:
		case <-t.C:
			if err := enc.Encode(page{}); err != nil {
				return err
			}
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func ending(p *problem) page {
	if p == nil {
		return page{End: true}
	}
	f := p.body().Error
	return page{End: true, Fault: &f, Code: p.status}
}
