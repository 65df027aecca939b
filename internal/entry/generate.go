package entry

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/gofiber/fiber/v2"
	"go.uber.org/zap"

	"github.com/greengagewheel/greengagewheel/internal/broker"
	"github.com/greengagewheel/greengagewheel/internal/clock"
	"github.com/greengagewheel/greengagewheel/internal/conns"
	"github.com/greengagewheel/greengagewheel/internal/pace"
	"github.com/greengagewheel/greengagewheel/internal/quorum"
	"github.com/greengagewheel/greengagewheel/internal/relay"
	"github.com/greengagewheel/greengagewheel/internal/sched"
	"github.com/greengagewheel/greengagewheel/pkg/chat"
	"github.com/greengagewheel/greengagewheel/pkg/endpt"
)

const (
	// blockBytes is the size of a prefix block in bytes of prompt text.
	blockBytes    = 256
	poisonTimeout = 2 * time.Second
	// hangCheck is the time between two looks at whether the caller is still there.
	hangCheck = 200 * time.Millisecond
)

// job is one generation to be driven to its end.
type job struct {
	named   bool
	known   bool
	cl      *caller
	cell    string
	model   string
	print   string
	stream  relay.Stream
	input   int
	bound   int
	blocks  []uint64
	run     *run
	attempt int
	sends   int
	avoid   []string
	solo    bool
	steal   bool
	crashes int
	first   time.Duration
	sent    time.Time
	served  time.Duration
	lastTok time.Time
	gaps    time.Duration
	tokens  int
}

func (e *Entry) generate(c *fiber.Ctx, isChat bool) error {
	body := c.Body()
	req, err := chat.Decode(body, isChat)
	cl, p := e.admit(c, req.Model, endpt.Engine)
	if cl != nil && err != nil {
		p = newProblem(http.StatusBadRequest, codeBad, chat.RanNo, "%s", err.Error())
	}
	if p != nil {
		return e.refuse(c, cl, p)
	}
	r, p := e.launch(c, cl, req, body)
	if p != nil {
		return e.refuse(c, cl, p)
	}
	e.busy.Add(1)
	rd := reader{e: e, run: r, req: req, chat: isChat, cl: cl, conn: c.Context().Conn()}
	if p := rd.await(); p != nil {
		rd.close(p.code)
		return e.refuse(c, cl, p)
	}
	if req.Stream {
		return rd.stream(c)
	}
	return rd.whole(c)
}

// refuse answers with a problem and counts it.
func (e *Entry) refuse(c *fiber.Ctx, cl *caller, p *problem) error {
	if cl != nil {
		cl.series.Outcome(p.code)
		e.opt.Log.Info("request refused", zap.String("customer", cl.contract.Customer), zap.String("class", cl.class.Name),
			zap.String("code", p.code), zap.String("ran", p.ran), zap.String("reason", p.message))
	}
	return e.fail(c, p)
}

// launch joins the run of a request that was sent before, or begins one.
func (e *Entry) launch(c *fiber.Ctx, cl *caller, req chat.Request, body []byte) (*run, *problem) {
	sent, err := relay.EngineBody(body)
	if err != nil {
		return nil, newProblem(http.StatusBadRequest, codeBad, chat.RanNo, "%s", err.Error())
	}
	print := fingerprint(c.Path(), string(sent))
	id, named := requestID(cl.contract.Customer, c.Get(headerID))
	if named {
		if r := e.runs.join(id); r != nil {
			return r, sameRequest(r, print)
		}
	}
	if e.opt.View().Prints[print].Quarantined {
		return nil, crashing(unsure(c))
	}
	ctx, stop := context.WithCancel(e.ctx)
	r, fresh := e.runs.begin(id, print, stop)
	if !fresh {
		stop()
		return r, sameRequest(r, print)
	}
	e.budget.Earn()
	text := req.Text()
	j := &job{
		cl: cl, named: named, cell: e.cell(req.Model), model: req.Model, print: print, run: r,
		input: chat.Tokens(text), bound: req.Bound(), blocks: blocks(text),
		stream: relay.Stream{
			ID: id, Path: c.Path(), Body: sent, Priority: cl.class.Tier,
			FirstTimeout: e.opt.Limits.First.Std(), GapTimeout: e.opt.Limits.Gap.Std(),
		},
	}
	e.wg.Go(func() {
		defer stop()
		e.drive(ctx, j)
	})
	return r, nil
}

// sameRequest refuses to join a run that has another content under the same ID.
func sameRequest(r *run, print string) *problem {
	if r.print == print {
		return nil
	}
	r.leave()
	return newProblem(http.StatusUnprocessableEntity, codeReused, chat.RanNo, "the request ID was used for another request")
}

// blocks returns the chained hashes of a prompt's whole leading blocks.
func blocks(text string) []uint64 {
	var out []uint64
	h := xxhash.New()
	for len(text) >= blockBytes && len(out) < sched.MaxPrefixBlocks {
		_, _ = h.WriteString(text[:blockBytes])
		out = append(out, h.Sum64())
		text = text[blockBytes:]
	}
	return out
}

// drive takes a run through grants and endpoints until it has ended.
func (e *Entry) drive(ctx context.Context, j *job) {
	var p *problem
	for done := false; !done; {
		done, p = e.step(ctx, j)
	}
	j.run.end(p)
	e.runs.retire(time.Now(), j.run)
}

// step asks for one grant and follows its verdict; done tells that the run has ended, early where there is a problem.
func (e *Entry) step(ctx context.Context, j *job) (done bool, p *problem) {
	print, suspect := e.opt.View().Prints[j.print]
	if print.Quarantined || suspect && e.quarantined(ctx, j.print) {
		return true, crashing(j.ran())
	}
	j.solo = j.solo || suspect
	v, held, err := e.opt.Broker.RequestGrant(ctx, j.cell, e.ask(j))
	switch {
	case errors.Is(err, broker.ErrNoCell):
		return true, newProblem(http.StatusNotFound, codeModel, j.ran(), "no model %q", j.model)
	case err != nil:
		return true, callerGone(j.ran())
	}
	j.known = j.known || j.attempt == 0 && !v.MayHaveRun
	switch {
	case v.Kind == sched.Refused:
		return true, refused(v, j.ran())
	case v.Kind == sched.Redirected:
		return e.elsewhere(ctx, j, v)
	case j.run.offset() == 0 && !e.opt.Fresh(clock.Now()):
		e.putBack(ctx, j, held)
		return false, nil
	}
	if j.attempt == 0 {
		j.cl.series.Queued(v.QueueTime)
	}
	return e.attempt(ctx, j, v, held)
}

// quarantined asks the log for a request that crashed an endpoint before: the copy here may not have its quarantine yet.
func (e *Entry) quarantined(ctx context.Context, print string) bool {
	ctx, cancel := context.WithTimeout(ctx, poisonTimeout)
	defer cancel()
	v, err := e.opt.Quorum.Read(ctx, quorum.Query{Print: print})
	return err == nil && v.Print.Quarantined
}

// putBack gives up a grant that came while this instance was held up for long: the endpoint may have left since.
func (e *Entry) putBack(ctx context.Context, j *job, held *broker.Run) {
	e.opt.Broker.Finish(j.cell, held, sched.Completion{Unsent: true})
	j.attempt++
	pace.Pause(ctx, hangCheck)
}

func (e *Entry) ask(j *job) sched.Request {
	return sched.Request{
		ID: j.run.id, Entry: e.opt.Self.Boot, EntryAddr: e.opt.Self.Addr, Customer: j.cl.contract.Customer, Class: j.cl.class.Name,
		Zone: e.opt.Self.Zone, InputTokens: j.input, MaxOutputTokens: j.bound, PrefixBlocks: j.blocks, ExcludedBoots: j.avoid,
		Exclusive: j.solo, Attempt: j.attempt, Waited: time.Since(j.cl.arrived), TakeOver: j.steal, IDFromCaller: j.named,
	}
}

// ran tells whether a run that ends now ran: yes once a token came, unknown once it was sent, or where the
// caller may have sent it before and no scheduler denies that it ran.
func (j *job) ran() string {
	switch {
	case j.run.offset() > 0:
		return chat.RanYes
	case j.sends > 0 || j.named && !j.known:
		return chat.RanUnknown
	}
	return chat.RanNo
}

// observe takes the times of a token.
func (j *job) observe(now time.Time, ev relay.Event, held *broker.Run) {
	if ev.Finish != "" {
		return
	}
	j.tokens++
	if j.served == 0 {
		j.served = now.Sub(j.sent)
	}
	if j.lastTok.IsZero() {
		j.first = now.Sub(j.cl.arrived)
	} else {
		j.gaps += now.Sub(j.lastTok)
		held.SetTokenInterval(j.meanGap())
	}
	j.lastTok = now
}

// meanGap returns the mean time between the tokens so far.
func (j *job) meanGap() time.Duration {
	if j.tokens < 2 {
		return 0
	}
	return j.gaps / time.Duration(j.tokens-1)
}

// watch calls gone once the caller has closed its connection; it ends with the context.
func watch(ctx context.Context, conn net.Conn, gone func()) {
	for pace.Pause(ctx, hangCheck) {
		if conns.PeerClosed(conn) {
			gone()
			return
		}
	}
}
