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

// RunsPath is the path prefix under which an instance serves its runs to other instances.
const RunsPath = "/runs/"

const (
	// followFirstMessageTimeout is the timeout for the first message of a followed run.
	followFirstMessageTimeout = 3 * time.Second
	// followMessageTimeout is the timeout between two messages of a followed run.
	followMessageTimeout = 3 * time.Second
	// followHeartbeatInterval is the interval of the empty messages that keep a followed run from timing out.
	followHeartbeatInterval = time.Second
)

// runMessage is one line of a run as served to another instance: an event, or the end of the run. An empty message is a heartbeat.
type runMessage struct {
	Event *relay.Event `json:"event,omitempty"`
	// Build is the software version that the run is bound to; it comes with each event.
	Build  *string     `json:"build,omitempty"`
	End    bool        `json:"end,omitempty"`
	Error  *chat.Error `json:"fault,omitempty"`
	Status int         `json:"code,omitempty"`
}

// followOrTakeOver follows a run of another instance. If that instance doesn't respond, the next attempt takes the run over.
func (e *Entry) followOrTakeOver(ctx context.Context, j *job, decision sched.Decision) (done bool, p *problem) {
	p, err := e.follow(ctx, j, decision.EntryAddr)
	if err == nil {
		return true, p
	}
	if ctx.Err() != nil {
		return true, callerGoneProblem(chat.RanUnknown)
	}
	j.takeOver = true
	j.sendCount++
	j.attempt++
	if j.attempt >= retry.MaxAttempts {
		return true, endpointProblem(err, chat.RanUnknown)
	}
	return false, nil
}

// follow copies the events of another instance's run. It returns the problem that ended the run, if any; an error means that the
// stream of events was interrupted.
func (e *Entry) follow(ctx context.Context, j *job, addr netip.AddrPort) (*problem, error) {
	followCtx, extendTimeout, stopFollowing := conns.WithIdleTimeout(ctx, followFirstMessageTimeout)
	defer stopFollowing()
	target := fmt.Sprintf("http://%s%s%s?from=%d", addr, RunsPath, url.PathEscape(j.run.id), j.run.tokensReceived())
	req, err := http.NewRequestWithContext(followCtx, http.MethodGet, target, nil)
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+e.opt.ClusterSecret)
	resp, err := e.followPools.Pool(addr).Do(req)
	if err != nil {
		e.followPools.Pool(addr).Renew()
		return nil, fault.Wrap("follow", addr.String(), err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return nil, fault.Errorf("follow", addr.String(), "status %d", resp.StatusCode)
	}
	decoder := json.NewDecoder(resp.Body)
	for {
		var msg runMessage
		if err := decoder.Decode(&msg); err != nil {
			return nil, fault.Wrap("follow", addr.String(), err)
		}
		extendTimeout(followMessageTimeout)
		switch {
		case msg.Event != nil:
			if msg.Build != nil {
				j.bind(*msg.Build)
			}
			j.run.addEvent(*msg.Event)
		case msg.End && msg.Error != nil:
			return &problem{status: msg.Status, code: msg.Error.Code, message: msg.Error.Message, ran: msg.Error.Ran,
				retryAfter: time.Duration(msg.Error.RetryAfter) * time.Second}, nil
		case msg.End:
			return nil, nil
		}
	}
}

// ServeRun serves a run of this instance to another instance, from the token offset in the query parameter "from".
func (e *Entry) ServeRun(w http.ResponseWriter, req *http.Request) {
	id, err := url.PathUnescape(req.URL.EscapedPath()[len(RunsPath):])
	if err != nil {
		http.Error(w, "bad run ID", http.StatusBadRequest)
		return
	}
	r := e.runs.join(id)
	if r == nil {
		http.Error(w, "no such run", http.StatusNotFound)
		return
	}
	defer r.removeReader()
	offset := 0
	_, _ = fmt.Sscan(req.URL.Query().Get("from"), &offset)
	if err := streamRun(req.Context(), w, r, offset); err != nil && !errors.Is(err, context.Canceled) {
		return
	}
}

// streamRun writes the events of a run after a token offset, one message a line, until the run has ended.
func streamRun(ctx context.Context, w http.ResponseWriter, r *run, offset int) error {
	controller := http.NewResponseController(w)
	encoder := json.NewEncoder(w)
	heartbeat := time.NewTicker(followHeartbeatInterval)
	defer heartbeat.Stop()
	position := 0
	for {
		events, ended, p, changed := r.eventsFrom(position)
		position += len(events)
		for i := range events {
			if events[i].Offset <= offset && events[i].FinishReason == "" {
				continue
			}
			if err := encoder.Encode(runMessage{Event: &events[i], Build: r.boundBuild()}); err != nil {
				return err
			}
		}
		if ended && len(events) == 0 {
			return encoder.Encode(endMessage(p))
		}
		if err := controller.Flush(); err != nil {
			return err
		}
		select {
		case <-changed:
		case <-heartbeat.C:
			if err := encoder.Encode(runMessage{}); err != nil {
				return err
			}
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func endMessage(p *problem) runMessage {
	if p == nil {
		return runMessage{End: true}
	}
	failure := p.response().Error
	return runMessage{End: true, Error: &failure, Status: p.status}
}
