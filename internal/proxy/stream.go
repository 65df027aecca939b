package proxy

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"go.uber.org/zap"

	"github.com/greengagewheel/greengagewheel/internal/egress"
	"github.com/greengagewheel/greengagewheel/internal/place"
)

const (
	// streamBuffer is the size of a read of a stream, in bytes.
	streamBuffer = 8 << 10
	// gapFactor and leastGap bound the wait for the next event of a stream that may be resumed.
	gapFactor = 4
	leastGap  = 1200 * time.Millisecond
	// maxEvent is the largest event of a stream, in bytes.
	maxEvent = 1 << 20
)

var (
	errOrder  = errors.New("the events of the stream are out of order")
	errLarge  = errors.New("an event of the stream is too large")
	errCaller = errors.New("the caller does not take the stream")
	endOfLine = []byte("\n")
	idField   = []byte("id:")
	endEvent  = []byte("\n\n")
)

// events relays one stream, which may be that of several endpoints in turn.
type events struct {
	q       *request
	control *http.ResponseController
	header  http.Header
	began   bool
	at      time.Time
	last    int64
	partial []byte
}

// stream relays a stream of events, and goes on at another endpoint where the route allows it.
func (q *request) stream(c place.Choice, call *egress.Call, resp *http.Response, ans Answer, began time.Time) next {
	s := &events{q: q, control: http.NewResponseController(q.w), header: endToEnd(resp.Header), last: -1}
	for {
		err := s.relay(call, resp.Body, q.firstPatience(began, &c), func() {
			q.p.opt.Chooser.First(q.run, q.p.opt.Now().Sub(began))
		})
		if err == nil {
			s.begin()
			call.Keep(q.p.opt.Now(), resp, egress.Idle(ans.Keep))
			q.p.opt.Chooser.End(q.run, place.Completed)
			q.absolve()
			q.end("answered", http.StatusOK)
			return next{done: true}
		}
		n := q.broken(c, call, err)
		if n.done || errors.Is(err, errCaller) {
			q.abort(n)
		}
		if !q.mayResume() {
			return s.giveUp(n)
		}
		q.avoid = append(q.avoid, c.ID)
		began = q.p.opt.Now()
		var ok bool
		if c, call, resp, ans, ok = q.resume(s.last); !ok {
			return s.giveUp(n)
		}
	}
}

// gapPatience returns how long the next event is waited for: longer than any pause that is on time, but shorter than callers
// wait, where another endpoint may go on.
func (q *request) gapPatience() time.Duration {
	left := q.until.Sub(q.p.opt.Now())
	if !q.mayTryAgain() {
		return left
	}
	return min(left, max(gapFactor*q.route.Gap, leastGap))
}

// mayResume reports whether the stream may go on at another endpoint.
func (q *request) mayResume() bool {
	now := q.p.opt.Now()
	return q.route.Resume && q.mayTryAgain() && q.tries < maxTries && q.until.Sub(now) > leastLeft && q.mayRepeat(now)
}

// resume has another endpoint go on after an event.
func (q *request) resume(last int64) (c place.Choice, call *egress.Call, resp *http.Response, ans Answer, ok bool) {
	after := ""
	if last >= 0 {
		after = strconv.FormatInt(last, 10)
	}
	for q.tries < maxTries {
		if c, ok = q.choose(); !ok {
			return c, nil, nil, ans, false
		}
		var err error
		call, err = q.send(c, after)
		if call == nil {
			q.unsent(c, err)
			q.avoid = append(q.avoid, c.ID)
			continue
		}
		q.sent++
		if err == nil {
			resp, ans, err = q.answer(call)
		}
		if err == nil && ans.Signed && resp.StatusCode == http.StatusOK {
			q.log.Info("stream resumed", zap.String("run", q.run), zap.String("endpoint", c.ID), zap.Int64("after", last))
			return c, call, resp, ans, true
		}
		if err == nil {
			err = fmt.Errorf("resumption answered with status %d", resp.StatusCode)
		}
		q.broken(c, call, err)
		return c, nil, nil, ans, false
	}
	return c, nil, nil, ans, false
}

// giveUp ends a stream that does not go on. As long as the caller has nothing of it, it gets an answer.
func (s *events) giveUp(n next) next {
	if s.began {
		s.q.abort(n)
	}
	n.again = false
	return n
}

// begin passes the header on, once.
func (s *events) begin() {
	if s.began {
		return
	}
	s.began = true
	h := s.q.w.Header()
	for k, v := range s.header {
		h[k] = v
	}
	s.q.w.WriteHeader(http.StatusOK)
}

// relay passes on whole events until the stream ends; first is called at its first event, which is waited for as long as
// patience says. A nil error tells that it is complete.
func (s *events) relay(call *egress.Call, body io.Reader, patience time.Duration, first func()) error {
	s.partial = s.partial[:0]
	buf := make([]byte, streamBuffer)
	told := false
	for {
		if err := call.Await(patience); err != nil {
			return err
		}
		n, err := body.Read(buf)
		patience = s.q.gapPatience()
		if n > 0 {
			s.partial = append(s.partial, buf[:n]...)
			if !told {
				told = true
				first()
			}
			if e := s.passWhole(); e != nil {
				return e
			}
		}
		if errors.Is(err, io.EOF) {
			return s.rest()
		}
		if err != nil {
			return err
		}
	}
}

// passWhole passes on the whole events that have come.
func (s *events) passWhole() error {
	end := bytes.LastIndex(s.partial, endEvent)
	if end < 0 {
		if len(s.partial) > maxEvent {
			return errLarge
		}
		return nil
	}
	end += len(endEvent)
	whole, err := s.check(s.partial[:end])
	if err != nil {
		return err
	}
	if len(whole) > 0 {
		if err := s.write(whole); err != nil {
			return err
		}
	}
	s.partial = append(s.partial[:0], s.partial[end:]...)
	return nil
}

// rest passes on what stands behind the last whole event of a complete stream.
func (s *events) rest() error {
	if len(s.partial) == 0 {
		return nil
	}
	return s.write(s.partial)
}

// check makes sure that events follow one another, and drops those that the caller has.
func (s *events) check(whole []byte) ([]byte, error) {
	out := whole[:0:0]
	from := 0
	for at := 0; at < len(whole); {
		end := at + bytes.Index(whole[at:], endEvent) + len(endEvent)
		id, ok := eventID(whole[at:end])
		switch {
		case ok && s.last >= 0 && id > s.last+1:
			return nil, errOrder
		case ok && id <= s.last:
			out = append(out, whole[from:at]...)
			from = end
		case ok:
			s.last = id
			s.q.events++
		}
		at = end
	}
	if from == 0 {
		return whole, nil
	}
	return append(out, whole[from:]...), nil
}

// eventID returns the number of an event, if it has one.
func eventID(event []byte) (int64, bool) {
	for line := range bytes.SplitSeq(event, endOfLine) {
		if rest, ok := bytes.CutPrefix(line, idField); ok {
			id, err := strconv.ParseInt(string(bytes.TrimSpace(rest)), 10, 64)
			return id, err == nil
		}
	}
	return 0, false
}

func (s *events) write(b []byte) error {
	s.begin()
	now := s.q.p.opt.Now()
	if !s.at.IsZero() {
		s.q.gap = max(s.q.gap, now.Sub(s.at))
	}
	s.at = now
	if _, err := s.q.w.Write(b); err != nil {
		return errors.Join(errCaller, err)
	}
	if err := s.control.Flush(); err != nil {
		return errors.Join(errCaller, err)
	}
	return nil
}
