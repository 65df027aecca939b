package proxy

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"

	"go.uber.org/zap"

	"github.com/greengagewheel/greengagewheel/internal/answer"
	"github.com/greengagewheel/greengagewheel/internal/budget"
	"github.com/greengagewheel/greengagewheel/internal/egress"
	"github.com/greengagewheel/greengagewheel/internal/place"
)

const (
	// maxBufferedResponseBytes is the largest response that is buffered completely before it is forwarded, in bytes.
	maxBufferedResponseBytes = 1 << 20
)

// bufferedResponse is a complete response of an endpoint.
type bufferedResponse struct {
	status int
	header http.Header
	body   []byte
}

// relayBuffered forwards a response once it is complete, or as it arrives if it is larger than maxBufferedResponseBytes.
func (req *request) relayBuffered(choice place.Choice, call exchange, resp *http.Response, info ResponseInfo) attemptResult {
	if resp.ContentLength > maxBufferedResponseBytes {
		return req.relayUnbuffered(choice, call, resp, info)
	}
	if req.hold == nil {
		req.hold = req.proxy.opt.Budget.Open(req.client())
	}
	buf := budget.NewBuffer(req.hold, resp.ContentLength)
	defer buf.Drop()
	ended, err := buf.Fill(resp.Body, maxBufferedResponseBytes+1)
	var body []byte
	if err == nil && ended {
		body, err = buf.Bytes()
	}
	switch {
	case errors.Is(err, budget.ErrFull), err == nil && !ended:
		resp.Body = readCloser{io.MultiReader(buf.Reader(), resp.Body), resp.Body}
		return req.relayUnbuffered(choice, call, resp, info)
	case err != nil:
		return req.handleBroken(choice, call, err)
	}
	if err := answer.CheckBody(req.framing, resp.Header, body); err != nil {
		return req.handleBroken(choice, call, err)
	}
	buffered := &bufferedResponse{status: resp.StatusCode, header: endToEnd(resp.Header), body: body}
	call.Release(req.proxy.opt.Now(), resp, egress.IdleTimeout(info.IdleTimeout))
	if buffered.status < http.StatusInternalServerError && !impliesNotRun(buffered.status) {
		req.proxy.opt.Chooser.RecordOutcome(req.attemptID, place.Completed)
		req.clearCrashReport()
		req.markSound()
		req.writeBuffered(buffered)
		req.finish("answered", buffered.status)
		return attemptResult{done: true}
	}
	req.proxy.opt.Chooser.RecordOutcome(req.attemptID, place.Failed)
	retry := req.mayRetry()
	req.log.Info("endpoint answered with a failure", zap.String("run", req.attemptID),
		zap.String("endpoint", choice.ID), zap.Int("status", buffered.status),
		zap.Bool("again", retry))
	if impliesNotRun(buffered.status) {
		return attemptResult{retry: retry, rejection: &rejection{status: http.StatusBadGateway, reason: "the endpoint failed"}}
	}
	return attemptResult{retry: retry, response: buffered, rejection: &rejection{status: http.StatusBadGateway, reason: "the endpoint failed"}}
}

type readCloser struct {
	io.Reader
	io.Closer
}

// writeBuffered writes a buffered response of an endpoint to the caller.
func (req *request) writeBuffered(resp *bufferedResponse) {
	h := req.writer.Header()
	for k, v := range resp.header {
		h[k] = v
	}
	if _, ok := h["Content-Type"]; !ok {
		h["Content-Type"] = nil
	}
	h.Set("Content-Length", strconv.Itoa(len(resp.body)))
	req.writer.WriteHeader(resp.status)
	if _, err := req.writer.Write(resp.body); err != nil {
		req.log.Info("answer not delivered", zap.Error(err))
	}
}

// relayUnbuffered forwards a large response as it arrives.
func (req *request) relayUnbuffered(choice place.Choice, call exchange, resp *http.Response, info ResponseInfo) attemptResult {
	if impliesNotRun(resp.StatusCode) {
		return req.handleBroken(choice, call, fmt.Errorf("%w: status %d of a request that has run", errForeignResponse, resp.StatusCode))
	}
	h := req.writer.Header()
	for k, v := range endToEnd(resp.Header) {
		h[k] = v
	}
	if resp.ContentLength >= 0 {
		h.Set("Content-Length", strconv.FormatInt(resp.ContentLength, 10))
	}
	req.writer.WriteHeader(resp.StatusCode)
	if _, err := io.Copy(req.writer, resp.Body); err != nil {
		result := req.handleBroken(choice, call, err)
		req.abort(result)
	}
	call.Release(req.proxy.opt.Now(), resp, egress.IdleTimeout(info.IdleTimeout))
	req.proxy.opt.Chooser.RecordOutcome(req.attemptID, place.Completed)
	req.finish("answered", resp.StatusCode)
	return attemptResult{done: true}
}

// abort closes the caller's connection so that a partial response is not mistaken for a complete one.
func (req *request) abort(result attemptResult) {
	if !result.done {
		req.finish("broken off: "+result.rejection.reason, 0)
	}
	if !req.httpReq.ProtoAtLeast(1, 1) {
		req.resetConnection()
	}
	panic(http.ErrAbortHandler)
}

// resetConnection resets the caller's connection, so that its end is not taken for the end of a response without chunks.
func (req *request) resetConnection() {
	c, _, err := http.NewResponseController(req.writer).Hijack()
	if err != nil {
		req.log.Warn("connection of the caller not reset", zap.Error(err))
		return
	}
	lingerer, ok := c.(interface{ SetLinger(seconds int) error })
	if !ok || lingerer.SetLinger(0) != nil {
		req.log.Warn("connection of the caller not reset", zap.String("type", fmt.Sprintf("%T", c)))
	}
	_ = c.Close()
}
