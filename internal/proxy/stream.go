package proxy

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"go.uber.org/zap"

	"github.com/greengagewheel/greengagewheel/internal/answer"
	"github.com/greengagewheel/greengagewheel/internal/egress"
	"github.com/greengagewheel/greengagewheel/internal/place"
)

const (
	// streamBufferBytes is the buffer size for reads from a stream.
	streamBufferBytes = 8 << 10
	// The wait for the next event of a resumable stream is gapTimeoutFactor times the route's gap target, at least minGapTimeout.
	gapTimeoutFactor = 4
	minGapTimeout    = 1200 * time.Millisecond
	// maxEventBytes is the largest event of a stream.
	maxEventBytes = 1 << 20
)

var (
	errEventOrder    = errors.New("the events of the stream are out of order")
	errEventTooLarge = errors.New("an event of the stream is too large")
	errCallerWrite   = errors.New("the caller does not take the stream")
	errTaken         = errors.New("another endpoint has taken the stream")
)

// streamRelay forwards one event stream to the caller. Several endpoints may produce it in turn.
type streamRelay struct {
	req        *request
	controller *http.ResponseController
	header     http.Header
	headerSent bool
	lastWrite  time.Time
	// lastID is the ID of the last forwarded event, or -1.
	lastID int64
	// buffered holds the received data that was not forwarded yet.
	buffered []byte
	// fresh holds the events of the latest read that the caller does not have yet.
	fresh []byte
	// anyEvent is set once the current endpoint has sent a complete event.
	anyEvent bool
	// choice is the current endpoint, call the exchange with it, silence the handover from it.
	choice  place.Choice
	call    exchange
	silence *handover
}

// relayStream forwards an event stream and resumes it on another endpoint where the route allows this.
func (req *request) relayStream(choice place.Choice, call exchange, resp *http.Response, info ResponseInfo,
	start time.Time) attemptResult {
	s := &streamRelay{req: req, controller: http.NewResponseController(req.writer), header: endToEnd(resp.Header), lastID: -1}
	for {
		s.choice, s.call = choice, call
		s.silence = req.watchSilence(choice, call, s.lastEvent(), s.mayResume)
		err := s.relay(call, resp, req.firstResponseTimeout(start, &choice), func() {
			req.proxy.opt.Chooser.RecordFirstAnswer(req.attemptID, req.proxy.opt.Now().Sub(start))
		})
		var next *begun
		if err == nil || errors.Is(err, errCallerWrite) {
			next, _ = s.silence.end(nil)
		} else {
			next, err = s.silence.end(err)
		}
		if err == nil {
			next.abandon()
			s.sendHeader()
			call.Release(req.proxy.opt.Now(), resp, egress.IdleTimeout(info.IdleTimeout))
			if req.route.GapTarget > 0 && req.sentCount == 1 {
				req.proxy.opt.Chooser.RecordPause(req.attemptID, req.maxGap)
			}
			req.proxy.opt.Chooser.RecordOutcome(req.attemptID, place.Completed)
			req.clearCrashReport()
			if !req.sound {
				req.markSound()
			}
			req.finish("answered", http.StatusOK)
			return attemptResult{done: true}
		}
		result := req.handleBroken(choice, call, err)
		if result.done || errors.Is(err, errCallerWrite) {
			next.abandon()
			req.abort(result)
		}
		if next == nil {
			if !s.mayResume() {
				return s.endBroken(result)
			}
			req.excluded = append(req.excluded, choice.ID)
			next = req.seek(s.lastEvent())
			switch {
			case next == nil && req.callerGone():
				req.finish("caller left", 0)
				req.abort(attemptResult{done: true})
			case next == nil:
				return s.endBroken(result)
			}
		}
		req.log.Info("stream resumed", zap.String("run", next.req.attemptID), zap.String("endpoint", next.choice.ID),
			zap.Int64("after", s.lastID), zap.String("build", req.buildOf(next.choice)), zap.String("from", req.buildOf(choice)))
		req.adopt(next.req)
		choice, call, resp, info, start = next.choice, next.call, next.resp, next.info, next.start
	}
}

// lastEvent returns the ID of the last event that was forwarded, or an empty text if there is none.
func (s *streamRelay) lastEvent() string {
	if s.lastID < 0 {
		return ""
	}
	return strconv.FormatInt(s.lastID, 10)
}

// gapTimeout returns how long to wait for the next event before another endpoint is sought, if that can resume the stream.
func (req *request) gapTimeout() time.Duration {
	left := req.deadline.Sub(req.proxy.opt.Now())
	if !req.mayRetry() {
		return left
	}
	return min(left, req.silenceTimeout())
}

// silenceTimeout returns how long an endpoint may be silent before another one is sought. It is longer than any gap within the target but
// shorter than callers wait.
func (req *request) silenceTimeout() time.Duration {
	return max(gapTimeoutFactor*req.route.GapTarget, minGapTimeout)
}

// mayResume reports whether the stream may be resumed on another endpoint. Once the caller has a part of it, the software version must
// be certain.
func (s *streamRelay) mayResume() bool {
	req := s.req
	if s.headerSent && !req.isOriginCertain() {
		return false
	}
	now := req.proxy.opt.Now()
	return req.route.Resumable && req.mayRetry() && req.attempts < maxAttempts && req.deadline.Sub(now) > minTimeLeft &&
		req.takeRetry(now)
}

// endBroken ends a stream that cannot be resumed. If nothing was sent to the caller yet, it still gets an error
// response.
func (s *streamRelay) endBroken(result attemptResult) attemptResult {
	if s.headerSent {
		s.req.abort(result)
	}
	result.retry = false
	return result
}

// sendHeader sends the response header unless it was sent before.
func (s *streamRelay) sendHeader() {
	if s.headerSent {
		return
	}
	s.headerSent = true
	s.req.keepOrigin(s.choice, s.call)
	h := s.req.writer.Header()
	for k, v := range s.header {
		h[k] = v
	}
	s.req.writer.WriteHeader(http.StatusOK)
}

// relay forwards complete events until the stream ends. It waits up to timeout for the first event and then calls
// onFirst. A nil error means that the stream is complete.
func (s *streamRelay) relay(call exchange, resp *http.Response, timeout time.Duration, onFirst func()) error {
	s.buffered, s.anyEvent, s.req.firstEventAt = s.buffered[:0], false, time.Time{}
	buf := make([]byte, streamBufferBytes)
	firstSeen := false
	for {
		if err := call.SetReadTimeout(timeout); err != nil {
			return err
		}
		n, err := resp.Body.Read(buf)
		if n > 0 && !s.silence.beginForward() {
			return errTaken
		}
		timeout = s.req.gapTimeout()
		if n > 0 {
			if !s.req.detoured() {
				s.req.proxy.links.answered(s.req.proxy.opt.Now(), false)
			}
			s.buffered = append(s.buffered, buf[:n]...)
			if !firstSeen {
				firstSeen = true
				onFirst()
			}
			if writeErr := s.forwardComplete(); writeErr != nil {
				return writeErr
			}
			s.checkSound()
		}
		s.req.partialBytes = len(s.buffered)
		if errors.Is(err, io.EOF) {
			return s.finishBody(answer.FramingOf(resp))
		}
		if err != nil {
			return err
		}
		s.silence.endForward(s.lastEvent())
	}
}

// checkSound marks the request's parts as sound once the answer of the current endpoint has gone on for long enough.
func (s *streamRelay) checkSound() {
	if s.req.sound || !s.anyEvent {
		return
	}
	now := s.req.proxy.opt.Now()
	if s.req.firstEventAt.IsZero() {
		s.req.firstEventAt = now
	}
	if now.Sub(s.req.firstEventAt) >= soundAfter {
		s.req.markSound()
	}
}

// forwardComplete forwards the complete events received so far, up to the first one whose ID is not the next.
func (s *streamRelay) forwardComplete() error {
	size, orderErr := s.takeComplete()
	if s.anyEvent {
		s.req.countUsage()
	}
	if size == 0 && len(s.buffered) > maxEventBytes {
		return errEventTooLarge
	}
	if len(s.fresh) > 0 {
		if err := s.write(s.fresh); err != nil {
			return err
		}
	}
	s.buffered = append(s.buffered[:0], s.buffered[size:]...)
	return orderErr
}

// takeComplete copies the complete events to fresh, without those that the caller already has, and returns the size of all.
func (s *streamRelay) takeComplete() (size int, err error) {
	s.fresh = s.fresh[:0]
	for {
		length := answer.EventEnd(s.buffered[size:])
		if length < 0 {
			return size, nil
		}
		event := s.buffered[size : size+length]
		repeated, err := s.checkOrder(event)
		if err != nil {
			return size, err
		}
		if !repeated {
			s.fresh = append(s.fresh, event...)
		}
		size += length
	}
}

// checkOrder reports whether the caller already has an event, or returns an error if events before it are missing.
func (s *streamRelay) checkOrder(event []byte) (repeated bool, err error) {
	s.anyEvent = s.anyEvent || answer.HasFields(event)
	id, ok := answer.EventID(event)
	switch {
	case !ok:
		return false, nil
	case id <= s.lastID:
		return true, nil
	case s.lastID >= 0 && id > s.lastID+1:
		return false, errEventOrder
	}
	s.lastID = id
	s.req.eventCount++
	return false, nil
}

// finishBody forwards what follows the last event of a stream, or returns an error if the stream was cut.
func (s *streamRelay) finishBody(framing answer.Framing) error {
	if err := answer.CheckStreamEnd(framing, s.anyEvent, s.buffered); err != nil {
		return err
	}
	if len(s.buffered) == 0 {
		return nil
	}
	return s.write(s.buffered)
}

func (s *streamRelay) write(b []byte) error {
	s.sendHeader()
	now := s.req.proxy.opt.Now()
	if !s.lastWrite.IsZero() {
		s.req.maxGap = max(s.req.maxGap, now.Sub(s.lastWrite))
	}
	s.lastWrite = now
	if _, err := s.req.writer.Write(b); err != nil {
		return errors.Join(errCallerWrite, err)
	}
	if err := s.controller.Flush(); err != nil {
		return errors.Join(errCallerWrite, err)
	}
	return nil
}
