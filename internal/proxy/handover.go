package proxy

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/greengagewheel/greengagewheel/internal/answer"
	"github.com/greengagewheel/greengagewheel/internal/place"
	"github.com/greengagewheel/greengagewheel/pkg/table"
)

type (
	// handover moves a request from an endpoint that is silent to another one. It keeps the silent endpoint until the other one has begun
	// to answer, as there may be none with room, and the silent one may go on.
	handover struct {
		req    *request
		choice place.Choice
		call   exchange
		// allowed reports whether the request may be sent to another endpoint, and takes a retry for it.
		allowed func() bool

		mu sync.Mutex
		// after is the last event that the caller has, or empty.
		after string
		// busy is set while received data is forwarded, ended once the exchange with the endpoint has ended.
		busy  bool
		ended bool
		// search is the search for another endpoint that is in progress, taken its result.
		search *search
		taken  *begun
	}

	// search is a search for another endpoint.
	search struct {
		cancel context.CancelFunc
		done   chan struct{}
	}

	// begun is a request that an endpoint has begun to answer. req is the state of the attempt.
	begun struct {
		req    *request
		choice place.Choice
		call   exchange
		resp   *http.Response
		info   ResponseInfo
		start  time.Time
	}
)

// watchSilence prepares a handover of the request from an endpoint, which starts when reads from it time out.
func (req *request) watchSilence(choice place.Choice, call exchange, after string, allowed func() bool) *handover {
	h := &handover{req: req, choice: choice, call: call, after: after, allowed: allowed}
	call.OnTimeout(h.onSilence)
	return h
}

// onSilence starts the search for another endpoint, and returns how much longer to wait for this one.
func (h *handover) onSilence() time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	left := h.req.deadline.Sub(h.req.proxy.opt.Now())
	if h.ended || h.taken != nil || left <= 0 {
		return 0
	}
	if !h.busy {
		h.recordSilence()
		if h.search == nil && h.allowed() {
			h.startSearch()
		}
	}
	return min(left, h.req.silenceTimeout())
}

// recordSilence records that nothing comes from the endpoint, which may be due to the links of this instance.
func (h *handover) recordSilence() {
	if req := h.req; !req.detoured() {
		req.proxy.links.broken(req.proxy.opt.Now(), h.choice.ID, h.call.Reused(), true, req.answered)
	}
}

// startSearch starts the search for another endpoint. The caller holds h.mu.
func (h *handover) startSearch() {
	ctx, cancel := context.WithCancel(h.req.httpReq.Context())
	s := &search{cancel: cancel, done: make(chan struct{})}
	next, after := h.req.fork(ctx, h.choice), h.after
	h.req.attempts++
	h.req.sentCount++
	h.search = s
	h.req.log.Info("endpoint is silent: another one is sought", zap.String("run", h.req.attemptID), zap.String("endpoint", h.choice.ID),
		zap.String("after", after))
	go func() {
		defer close(s.done)
		got := next.seek(after)
		h.mu.Lock()
		defer h.mu.Unlock()
		if h.search != s {
			got.abandon()
			return
		}
		h.search = nil
		if got == nil {
			cancel()
			h.req.attempts, h.req.sentCount, h.req.declinedCount = next.attempts, next.sentCount, next.declinedCount
			h.req.mayHaveRun = h.req.mayHaveRun || next.mayHaveRun
			return
		}
		h.taken = got
		h.call.Abort()
	}()
}

// cancelSearch ends a search as the endpoint goes on. The caller holds h.mu.
func (h *handover) cancelSearch() {
	if h.search != nil {
		h.search.cancel()
		h.search = nil
	}
}

// beginForward tells that data was received from the endpoint. It returns false if another one has taken the request.
func (h *handover) beginForward() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.taken != nil {
		return false
	}
	h.cancelSearch()
	h.busy = true
	return true
}

// endForward tells that the data was forwarded, up to the event after.
func (h *handover) endForward(after string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.busy, h.after = false, after
}

// end ends the exchange with the endpoint, which has failed unless err is nil. It returns the exchange that takes its place, or nil, and
// the cause of the failure. After a failure it waits for the result of a search that is in progress.
func (h *handover) end(err error) (next *begun, cause error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ended = true
	if h.taken != nil {
		// The exchange was ended as the endpoint was silent.
		return h.taken, os.ErrDeadlineExceeded
	}
	if s := h.search; err != nil && s != nil {
		h.mu.Unlock()
		<-s.done
		h.mu.Lock()
	}
	h.cancelSearch()
	return h.taken, err
}

// fork returns a copy of the request for the search for another endpoint, which must not be the given one.
func (req *request) fork(ctx context.Context, silent place.Choice) *request {
	next := *req
	next.httpReq = req.httpReq.WithContext(ctx)
	next.excluded = slices.Clone(req.excluded)
	next.silent = silent.ID
	return &next
}

// adopt takes over the state of the attempt that goes on with the request.
func (req *request) adopt(next *request) {
	if next == req {
		return
	}
	req.attemptID, req.via, req.answered, req.sentAt, req.framing = next.attemptID, next.via, next.answered, next.sentAt, next.framing
	req.attempts, req.sentCount, req.declinedCount = next.attempts, next.sentCount, next.declinedCount
	req.excluded = append(next.excluded, next.silent)
	req.trial = next.trial
}

// abandon ends an exchange that is not needed.
func (b *begun) abandon() {
	if b == nil {
		return
	}
	b.call.Abort()
	b.req.proxy.opt.Chooser.RecordOutcome(b.req.attemptID, place.CallerLeft)
}

// mayTryOther reports whether the request may be sent to another endpoint while one has it, and takes a retry for it.
func (req *request) mayTryOther() bool {
	now := req.proxy.opt.Now()
	return req.mayRetry() && req.attempts < maxAttempts && req.deadline.Sub(now) > minTimeLeft && req.takeRetry(now)
}

// seek sends the request, which goes on after an event if that is not empty, to other endpoints until one begins to answer it. It returns
// nil if none does. A retry was taken for the first of them.
func (req *request) seek(after string) *begun {
	for req.attempts < maxAttempts {
		if req.checkParts() != nil {
			return nil
		}
		choice, ok := req.chooseEndpoint()
		if !ok {
			return nil
		}
		start := req.proxy.opt.Now()
		call, err := req.send(choice, after)
		if call == nil {
			req.handleUnsent(choice, err)
			req.excluded = append(req.excluded, choice.ID)
			continue
		}
		req.sentCount++
		var resp *http.Response
		var info ResponseInfo
		if err == nil {
			resp, info, err = req.readResponseHead(choice, call)
		}
		switch {
		case req.callerGone():
			call.Abort()
			req.proxy.opt.Chooser.RecordOutcome(req.attemptID, place.CallerLeft)
			return nil
		case err != nil:
		case info.NotRun || info.Misdirected:
			_, declined := req.handleNotRun(choice, call, resp, info, refusalOutcome(info))
			req.excluded = append(req.excluded, choice.ID)
			if !declined || !req.takeRetry(req.proxy.opt.Now()) {
				return nil
			}
			continue
		case !req.goesOn(resp, info, after):
			err = fmt.Errorf("the request is answered with status %d", resp.StatusCode)
		default:
			return &begun{req: req, choice: choice, call: call, resp: resp, info: info, start: start}
		}
		req.handleBroken(choice, call, err)
		return nil
	}
	return nil
}

// goesOn reports whether a response can take the place of that of another endpoint. A failure cannot, as the other endpoint may succeed.
func (req *request) goesOn(resp *http.Response, info ResponseInfo, after string) bool {
	switch {
	case !info.Signed || resp.Header.Get("Content-Encoding") != "":
		return false
	case req.route.Kind == table.Streaming:
		return resp.StatusCode == http.StatusOK && (after == "" || !answer.IsJSON(resp.Header))
	}
	return resp.StatusCode < http.StatusInternalServerError && !impliesNotRun(resp.StatusCode)
}
