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

// outcomeOK is the outcome of a request that was answered whole.
const outcomeOK = "ok"

// reader carries one run to one caller.
type reader struct {
	e    *Entry
	run  *run
	req  chat.Request
	chat bool
	cl   *caller
	conn net.Conn
	seen int
	sent int
	once bool
	// looked is when the caller's connection was last looked at.
	looked time.Time
}

// close ends the reading and counts how it ended.
func (r *reader) close(outcome string) {
	if r.once {
		return
	}
	r.once = true
	made := r.run.offset()
	r.run.leave()
	r.e.busy.Add(-1)
	r.cl.series.Tokens(r.sent, max(made-r.sent, 0))
	if outcome == outcomeOK {
		r.cl.series.Outcome(outcome)
	}
	r.e.opt.Log.Info("request ended", zap.String("customer", r.cl.contract.Customer), zap.String("class", r.cl.class.Name),
		zap.String("id", r.run.id), zap.String("outcome", outcome), zap.Int("tokens", r.sent),
		zap.Duration("took", time.Since(r.cl.arrived)))
}

// next waits for events beyond those seen; gone tells that the caller hung up.
func (r *reader) next() (events []relay.Event, ended bool, p *problem, gone bool) {
	t := time.NewTicker(hangCheck)
	defer t.Stop()
	for {
		if r.overdue(time.Now()) && conns.PeerClosed(r.conn) {
			return nil, false, nil, true
		}
		events, ended, p, change := r.run.after(r.seen)
		if len(events) > 0 || ended {
			return events, ended, p, false
		}
		select {
		case <-change:
		case <-t.C:
		}
	}
}

// overdue reports whether it is time to look again whether the caller is there, and notes that it is looked.
func (r *reader) overdue(now time.Time) bool {
	if now.Sub(r.looked) < hangCheck {
		return false
	}
	r.looked = now
	return true
}

// await waits until the run has its first token or has ended; a problem by then can still be told by status.
func (r *reader) await() *problem {
	events, ended, p, gone := r.next()
	switch {
	case gone:
		return newProblem(http.StatusServiceUnavailable, codeGone, chat.RanUnknown, "the caller has gone")
	case len(events) == 0 && ended && p != nil:
		return p
	}
	return nil
}

// whole answers with the complete text, or with a problem if the run broke off.
func (r *reader) whole(c *fiber.Ctx) error {
	var b strings.Builder
	var last relay.Event
	for {
		events, ended, p, gone := r.next()
		for _, ev := range events {
			b.WriteString(ev.Text)
			last = ev
		}
		r.seen += len(events)
		switch {
		case gone:
			r.close(codeGone)
			return r.e.fail(c, newProblem(http.StatusServiceUnavailable, codeGone, chat.RanYes, "the caller has gone"))
		case ended && p != nil:
			r.close(p.code)
			return r.e.refuse(c, r.cl, broken(p))
		case ended && len(events) == 0:
			r.sent = last.Offset
			r.close(outcomeOK)
			return c.JSON(r.answer(b.String(), last))
		}
	}
}

// broken is a problem that ended a run after its first token.
func broken(p *problem) *problem {
	q := *p
	q.ran = chat.RanYes
	return &q
}

func (r *reader) answer(text string, last relay.Event) chat.Answer {
	a := r.frame("chat.completion", "text_completion")
	ch := chat.Choice{FinishReason: &last.Finish}
	if r.chat {
		ch.Message = &chat.Message{Role: "assistant", Content: chat.Content(text)}
	} else {
		ch.Text = &text
	}
	a.Choices, a.Usage = []chat.Choice{ch}, last.Usage
	return a
}

// frame returns an answer without choices.
func (r *reader) frame(chatObject, textObject string) chat.Answer {
	object := textObject
	prefix := "cmpl-"
	if r.chat {
		object, prefix = chatObject, "chatcmpl-"
	}
	_, id, _ := strings.Cut(r.run.id, ":")
	return chat.Answer{ID: prefix + id, Object: object, Created: r.cl.arrived.Unix(), Model: r.req.Model, Choices: []chat.Choice{}}
}

// stream answers with server-sent events; a run that breaks off ends with an error event and without the closing mark.
func (r *reader) stream(c *fiber.Ctx) error {
	c.Set("Content-Type", "text/event-stream")
	c.Set("Cache-Control", "no-cache")
	c.Context().SetBodyStreamWriter(func(w *bufio.Writer) {
		outcome := r.copy(w)
		r.close(outcome)
	})
	return nil
}

// copy writes the run's events until it has ended or the caller has gone, and returns the outcome.
func (r *reader) copy(w *bufio.Writer) string {
	first := true
	for {
		events, ended, p, gone := r.next()
		if gone {
			return codeGone
		}
		for _, ev := range events {
			r.write(w, ev, first)
			first = false
		}
		r.seen += len(events)
		if ended && len(events) == 0 {
			return r.finish(w, p)
		}
		if w.Flush() != nil {
			return codeGone
		}
		if n := len(events); n > 0 {
			r.sent = events[n-1].Offset
		}
	}
}

// finish closes the stream and returns its outcome.
func (r *reader) finish(w *bufio.Writer, p *problem) string {
	if p != nil {
		writeData(w, broken(p).body())
		_ = w.Flush()
		return p.code
	}
	_, _ = io.WriteString(w, "data: [DONE]\n\n")
	if w.Flush() != nil {
		return codeGone
	}
	return outcomeOK
}

func (r *reader) write(w *bufio.Writer, ev relay.Event, first bool) {
	a := r.frame("chat.completion.chunk", "text_completion")
	ch := chat.Choice{}
	if r.chat {
		ch.Delta = &chat.Message{Content: chat.Content(ev.Text)}
		if first {
			ch.Delta.Role = "assistant"
		}
	} else {
		ch.Text = &ev.Text
	}
	if ev.Finish != "" {
		ch.FinishReason = &ev.Finish
	}
	a.Choices = []chat.Choice{ch}
	writeData(w, a)
	if ev.Finish != "" && r.req.Options != nil && r.req.Options.IncludeUsage {
		a.Choices, a.Usage = []chat.Choice{}, ev.Usage
		writeData(w, a)
	}
}

func writeData(w io.Writer, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		return
	}
	_, _ = fmt.Fprintf(w, "data: %s\n\n", data)
}
