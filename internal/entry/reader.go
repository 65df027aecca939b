package entry

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/gofiber/fiber/v2"
	"go.uber.org/zap"

	"github.com/greengagewheel/greengagewheel/internal/conns"
	"github.com/greengagewheel/greengagewheel/internal/relay"
	"github.com/greengagewheel/greengagewheel/pkg/chat"
)

// outcomeOK is the outcome of a request that was answered completely.
const outcomeOK = "ok"

// reader sends one run to one caller.
type reader struct {
	entry      *Entry
	run        *run
	req        chat.Request
	isChat     bool
	caller     *caller
	conn       net.Conn
	eventsRead int
	tokensSent int
	closed     bool
	// checkedAt is when the caller's connection was last checked.
	checkedAt time.Time
}

// close leaves the run, and counts and logs the outcome. Only the first call has an effect.
func (r *reader) close(outcome string) {
	if r.closed {
		return
	}
	r.closed = true
	generated := r.run.tokensReceived()
	r.run.removeReader()
	r.entry.inProgress.Add(-1)
	r.caller.metrics.CountTokens(r.tokensSent, max(generated-r.tokensSent, 0))
	if outcome == outcomeOK {
		r.caller.metrics.CountOutcome(outcome)
	}
	r.entry.opt.Log.Info("request ended", zap.String("customer", r.caller.contract.Customer), zap.String("class", r.caller.class.Name),
		zap.String("id", r.run.id), zap.String("outcome", outcome), zap.Int("tokens", r.tokensSent),
		zap.Duration("took", time.Since(r.caller.arrived)))
}

// next waits for events that the reader hasn't read yet or for the end of the run. callerGone reports whether the caller has closed
// its connection.
func (r *reader) next() (events []relay.Event, ended bool, p *problem, callerGone bool) {
	ticker := time.NewTicker(callerCheckInterval)
	defer ticker.Stop()
	for {
		if r.callerCheckDue(time.Now()) && conns.PeerClosed(r.conn) {
			return nil, false, nil, true
		}
		events, ended, p, changed := r.run.eventsFrom(r.eventsRead)
		if len(events) > 0 || ended {
			return events, ended, p, false
		}
		select {
		case <-changed:
		case <-ticker.C:
		}
	}
}

// callerCheckDue reports whether the next check of the caller's connection is due, and if so sets checkedAt.
func (r *reader) callerCheckDue(now time.Time) bool {
	if now.Sub(r.checkedAt) < callerCheckInterval {
		return false
	}
	r.checkedAt = now
	return true
}

// awaitFirstEvent waits until the run has its first event or has ended. A problem up to then can still be returned as an HTTP status.
func (r *reader) awaitFirstEvent() *problem {
	events, ended, p, callerGone := r.next()
	switch {
	case callerGone:
		return newProblem(http.StatusServiceUnavailable, codeCallerGone, chat.RanUnknown, "the caller has gone")
	case len(events) == 0 && ended && p != nil:
		return p
	}
	return nil
}

// respondWhole responds with the complete text, or with a problem if the run failed.
func (r *reader) respondWhole(c *fiber.Ctx) error {
	var text strings.Builder
	var last relay.Event
	for {
		events, ended, p, callerGone := r.next()
		for _, event := range events {
			text.WriteString(event.Text)
			last = event
		}
		r.eventsRead += len(events)
		switch {
		case callerGone:
			r.close(codeCallerGone)
			return r.entry.respondProblem(c, newProblem(http.StatusServiceUnavailable, codeCallerGone, chat.RanYes, "the caller has gone"))
		case ended && p != nil:
			r.close(p.code)
			return r.entry.refuse(c, r.caller, afterFirstToken(p))
		case ended && len(events) == 0:
			r.tokensSent = last.Offset
			r.close(outcomeOK)
			return c.JSON(r.newAnswer(text.String(), last))
		}
	}
}

// afterFirstToken returns a copy of a problem for a run that has already produced a token.
func afterFirstToken(p *problem) *problem {
	copied := *p
	copied.ran = chat.RanYes
	return &copied
}

func (r *reader) newAnswer(text string, last relay.Event) chat.Completion {
	answer := r.emptyAnswer("chat.completion", "text_completion")
	choice := chat.Choice{FinishReason: &last.FinishReason}
	if r.isChat {
		choice.Message = &chat.Message{Role: "assistant", Content: chat.Content(text)}
	} else {
		choice.Text = &text
	}
	answer.Choices, answer.Usage = []chat.Choice{choice}, last.Usage
	return answer
}

// emptyAnswer returns an answer without choices and usage.
func (r *reader) emptyAnswer(chatObject, textObject string) chat.Completion {
	object := textObject
	prefix := "cmpl-"
	if r.isChat {
		object, prefix = chatObject, "chatcmpl-"
	}
	_, id, _ := strings.Cut(r.run.id, ":")
	return chat.Completion{ID: prefix + id, Object: object, Created: r.caller.arrived.Unix(), Model: r.req.Model, Choices: []chat.Choice{}}
}

// respondStream responds with server-sent events. The stream of a failed run ends with an error event and without "data: [DONE]".
func (r *reader) respondStream(c *fiber.Ctx) error {
	c.Set("Content-Type", "text/event-stream")
	c.Set("Cache-Control", "no-cache")
	c.Context().SetBodyStreamWriter(func(w *bufio.Writer) {
		outcome := r.copyEvents(w)
		r.close(outcome)
	})
	return nil
}

// copyEvents writes the run's events until the run has ended or the caller has gone, and returns the outcome.
func (r *reader) copyEvents(w *bufio.Writer) string {
	first := true
	for {
		events, ended, p, callerGone := r.next()
		if callerGone {
			return codeCallerGone
		}
		for _, event := range events {
			r.writeEvent(w, event, first)
			first = false
		}
		r.eventsRead += len(events)
		if ended && len(events) == 0 {
			return r.finishStream(w, p)
		}
		if w.Flush() != nil {
			return codeCallerGone
		}
		if n := len(events); n > 0 {
			r.tokensSent = events[n-1].Offset
		}
	}
}

// finishStream writes the end of the stream and returns the outcome.
func (r *reader) finishStream(w *bufio.Writer, p *problem) string {
	if p != nil {
		writeData(w, afterFirstToken(p).response())
		_ = w.Flush()
		return p.code
	}
	_, _ = io.WriteString(w, "data: "+chat.EndOfStream+"\n\n")
	if w.Flush() != nil {
		return codeCallerGone
	}
	return outcomeOK
}

func (r *reader) writeEvent(w *bufio.Writer, event relay.Event, first bool) {
	answer := r.emptyAnswer("chat.completion.chunk", "text_completion")
	choice := chat.Choice{}
	if r.isChat {
		choice.Delta = &chat.Message{Content: chat.Content(event.Text)}
		if first {
			choice.Delta.Role = "assistant"
		}
	} else {
		choice.Text = &event.Text
	}
	if event.FinishReason != "" {
		choice.FinishReason = &event.FinishReason
	}
	answer.Choices = []chat.Choice{choice}
	writeData(w, answer)
	if event.FinishReason != "" && r.req.StreamOptions != nil && r.req.StreamOptions.IncludeUsage {
		answer.Choices, answer.Usage = []chat.Choice{}, event.Usage
		writeData(w, answer)
	}
}

func writeData(w io.Writer, payload any) {
	data, err := json.Marshal(payload)
	if err != nil {
		return
	}
	_, _ = fmt.Fprintf(w, "data: %s\n\n", data)
}
