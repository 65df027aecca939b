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
	"github.com/greengagewheel/greengagewheel/internal/retry"
	"github.com/greengagewheel/greengagewheel/internal/sched"
	"github.com/greengagewheel/greengagewheel/pkg/chat"
	"github.com/greengagewheel/greengagewheel/pkg/endpt"
)

const (
	// prefixBlockBytes is the size in bytes of the blocks of prompt text that are hashed to find shared prefixes.
	prefixBlockBytes = 256
	// crashReportTimeout bounds the commit of a crash report, and the query whether a request is quarantined.
	crashReportTimeout = 2 * time.Second
	// callerCheckInterval is the time between two checks whether the caller is still connected, and the pause after a returned grant.
	callerCheckInterval = 200 * time.Millisecond
)

// job is the state of one generation across its attempts.
type job struct {
	// hasRequestID is set if the caller supplied the request ID, so that it may have sent the request before.
	hasRequestID bool
	// notRunBefore is set once a scheduler has ruled out that an earlier request with this ID ran.
	notRunBefore    bool
	caller          *caller
	cell            string
	model           string
	fingerprint     string
	stream          relay.Stream
	inputTokens     int
	maxOutputTokens int
	prefixBlocks    []uint64
	run             *run
	// attempt is the number of the present attempt, from 0. sendCount counts the attempts after which the request may have run.
	attempt   int
	sendCount int
	// excludedBoots are the boot IDs of the endpoints that failed.
	excludedBoots []string
	// bound is set once a token was received: the run goes on only at engines of the software version build, which is empty for those
	// that tell none.
	bound bool
	build string
	// exclusive is set if the request must run alone on its endpoint, because it is suspected of crashing endpoints.
	exclusive bool
	// takeOver is set if the next attempt takes the run over from an instance that doesn't respond.
	takeOver   bool
	crashCount int
	// firstTokenTime is the time from the request's arrival to its first token, over all attempts.
	firstTokenTime time.Duration
	// sentAt is when the present attempt was sent to its endpoint, and endpointFirstTokenTime the time from then to its first token.
	sentAt                 time.Time
	endpointFirstTokenTime time.Duration
	lastTokenAt            time.Time
	tokenIntervalSum       time.Duration
	tokenCount             int
}

func (e *Entry) handleGenerate(c *fiber.Ctx, isChat bool) error {
	body := c.Body()
	req, err := chat.DecodeRequest(body, isChat)
	caller, p := e.admit(c, req.Model, endpt.Engine)
	if caller != nil && err != nil {
		p = newProblem(http.StatusBadRequest, codeInvalidRequest, chat.RanNo, "%s", err.Error())
	}
	if p != nil {
		return e.refuse(c, caller, p)
	}
	run, p := e.joinOrStartRun(c, caller, req, body)
	if p != nil {
		return e.refuse(c, caller, p)
	}
	e.inProgress.Add(1)
	out := reader{entry: e, run: run, req: req, isChat: isChat, caller: caller, conn: c.Context().Conn()}
	if p := out.awaitFirstEvent(); p != nil {
		out.close(p.code)
		return e.refuse(c, caller, p)
	}
	if req.Stream {
		return out.respondStream(c)
	}
	return out.respondWhole(c)
}

// refuse responds with a problem, and counts and logs it if the caller is known.
func (e *Entry) refuse(c *fiber.Ctx, caller *caller, p *problem) error {
	if caller != nil {
		caller.metrics.CountOutcome(p.code)
		e.opt.Log.Info("request refused", zap.String("customer", caller.contract.Customer), zap.String("class", caller.class.Name),
			zap.String("code", p.code), zap.String("ran", p.ran), zap.String("reason", p.message))
	}
	return e.respondProblem(c, p)
}

// joinOrStartRun joins the run of a request that was already sent, or starts one.
func (e *Entry) joinOrStartRun(c *fiber.Ctx, caller *caller, req chat.Request, body []byte) (*run, *problem) {
	forwarded, err := relay.EngineBody(body)
	if err != nil {
		return nil, newProblem(http.StatusBadRequest, codeInvalidRequest, chat.RanNo, "%s", err.Error())
	}
	fingerprint := contentFingerprint(c.Path(), string(forwarded))
	id, hasID := requestID(caller.contract.Customer, c.Get(headerRequestID))
	if hasID {
		if existing := e.runs.join(id); existing != nil {
			return existing, sameRequest(existing, fingerprint)
		}
	}
	if e.opt.View().Crashes[fingerprint].Quarantined {
		return nil, quarantinedProblem(ranIfRefused(c))
	}
	ctx, cancel := context.WithCancel(e.ctx)
	run, created := e.runs.begin(id, fingerprint, cancel)
	if !created {
		cancel()
		return run, sameRequest(run, fingerprint)
	}
	e.retryBudget.AddRequest()
	text := req.InputText()
	j := &job{
		caller: caller, hasRequestID: hasID, cell: e.cellName(req.Model), model: req.Model, fingerprint: fingerprint, run: run,
		inputTokens: chat.EstimateTokens(text), maxOutputTokens: req.OutputLimit(), prefixBlocks: prefixBlocks(text),
		stream: relay.Stream{
			ID: id, Path: c.Path(), Body: forwarded, Priority: caller.class.Tier,
			FirstTokenTimeout: e.opt.Limits.FirstTokenTimeout.Std(), TokenGapTimeout: e.opt.Limits.TokenGapTimeout.Std(),
		},
	}
	e.wg.Go(func() {
		defer cancel()
		e.driveRun(ctx, j)
	})
	return run, nil
}

// sameRequest returns a problem, and leaves the run, if the run's request has other content under the same ID.
func sameRequest(run *run, fingerprint string) *problem {
	if run.fingerprint == fingerprint {
		return nil
	}
	run.removeReader()
	return newProblem(http.StatusUnprocessableEntity, codeRequestIDReused, chat.RanNo, "the request ID was used for another request")
}

// prefixBlocks returns the hashes of a prompt's leading complete blocks. Each hash covers the prompt up to the end of its block.
func prefixBlocks(text string) []uint64 {
	var hashes []uint64
	hash := xxhash.New()
	for len(text) >= prefixBlockBytes && len(hashes) < sched.MaxPrefixBlocks {
		_, _ = hash.WriteString(text[:prefixBlockBytes])
		hashes = append(hashes, hash.Sum64())
		text = text[prefixBlockBytes:]
	}
	return hashes
}

// driveRun executes a run, with as many attempts as it needs, until it has ended.
func (e *Entry) driveRun(ctx context.Context, j *job) {
	var p *problem
	for done := false; !done; {
		done, p = e.runStep(ctx, j)
	}
	j.run.end(p)
	e.runs.retire(time.Now(), j.run)
}

// runStep asks for a grant and acts on the decision. done reports whether the run has ended, p is the problem that ended it.
func (e *Entry) runStep(ctx context.Context, j *job) (done bool, p *problem) {
	crash, suspect := e.opt.View().Crashes[j.fingerprint]
	if crash.Quarantined || suspect && e.quarantinedInLog(ctx, j.fingerprint) {
		return true, quarantinedProblem(j.ran())
	}
	j.exclusive = j.exclusive || suspect
	decision, grant, err := e.opt.Broker.RequestGrant(ctx, j.cell, e.grantRequest(j))
	switch {
	case errors.Is(err, broker.ErrNoCell):
		return true, newProblem(http.StatusNotFound, codeModelNotFound, j.ran(), "no model %q", j.model)
	case err != nil:
		return true, callerGoneProblem(j.ran())
	}
	j.notRunBefore = j.notRunBefore || j.attempt == 0 && !decision.MayHaveRun
	switch {
	case decision.Kind == sched.Refused:
		return true, refusalProblem(decision, j.ran())
	case decision.Kind == sched.Redirected:
		return e.followOrTakeOver(ctx, j, decision)
	case j.run.tokensReceived() == 0 && !e.opt.ConfigCurrent(clock.Now()):
		e.returnGrant(ctx, j, grant)
		return false, nil
	}
	if j.bound && decision.Target.Build != j.build {
		// A scheduler of an older program knows no versions.
		j.excludedBoots = append(j.excludedBoots, decision.Target.Boot)
		e.returnGrant(ctx, j, grant)
		return j.attempt >= retry.MaxAttempts, endpointProblem(errors.New("no engine of the version that began the answer"), j.ran())
	}
	if j.attempt == 0 {
		j.caller.metrics.RecordQueueTime(decision.QueueTime)
	}
	return e.streamFrom(ctx, j, decision, grant)
}

// quarantinedInLog asks the log whether a request that crashed an endpoint is quarantined, as the local copy of the configuration
// may lag behind.
func (e *Entry) quarantinedInLog(ctx context.Context, fingerprint string) bool {
	ctx, cancel := context.WithTimeout(ctx, crashReportTimeout)
	defer cancel()
	result, err := e.opt.Quorum.Read(ctx, quorum.Query{Fingerprint: fingerprint})
	return err == nil && result.Crash.Quarantined
}

// returnGrant returns a grant unused and pauses. The configuration is no longer proven current, for instance because the process
// was suspended, so the endpoint may have left in the meantime.
func (e *Entry) returnGrant(ctx context.Context, j *job, grant *broker.Grant) {
	e.opt.Broker.Finish(j.cell, grant, sched.Completion{Unsent: true})
	j.attempt++
	pace.Sleep(ctx, callerCheckInterval)
}

// grantRequest returns the request to the scheduler for a grant for the present attempt.
func (e *Entry) grantRequest(j *job) sched.Request {
	return sched.Request{
		ID: j.run.id, Entry: e.opt.Self.Boot, EntryAddr: e.opt.Self.Addr, Customer: j.caller.contract.Customer, Class: j.caller.class.Name,
		Zone: e.opt.Self.Zone, InputTokens: j.inputTokens, MaxOutputTokens: j.maxOutputTokens, PrefixBlocks: j.prefixBlocks,
		ExcludedBoots: j.excludedBoots, Bound: j.bound, Build: j.build, Exclusive: j.exclusive, Attempt: j.attempt, Waited: time.Since(j.caller.arrived),
		TakeOver: j.takeOver, IDFromCaller: j.hasRequestID,
	}
}

// ran returns whether the request ran, if the run ends now: yes once a token was received; unknown once the request was sent, or if
// the caller may have sent it before and no scheduler has ruled out that it ran.
func (j *job) ran() string {
	switch {
	case j.run.tokensReceived() > 0:
		return chat.RanYes
	case j.sendCount > 0 || j.hasRequestID && !j.notRunBefore:
		return chat.RanUnknown
	}
	return chat.RanNo
}

// bind binds the run to a software version, unless it is bound already.
func (j *job) bind(build string) {
	if j.bound {
		return
	}
	j.bound, j.build = true, build
	j.run.setBuild(build)
}

// recordToken updates the latencies with a token received at now.
func (j *job) recordToken(now time.Time, ev relay.Event, grant *broker.Grant) {
	if ev.FinishReason != "" {
		return
	}
	j.tokenCount++
	if j.endpointFirstTokenTime == 0 {
		j.endpointFirstTokenTime = now.Sub(j.sentAt)
	}
	if j.lastTokenAt.IsZero() {
		j.firstTokenTime = now.Sub(j.caller.arrived)
	} else {
		j.tokenIntervalSum += now.Sub(j.lastTokenAt)
		grant.SetTokenInterval(j.meanTokenInterval())
	}
	j.lastTokenAt = now
}

// meanTokenInterval returns the mean time between the tokens so far, 0 below two tokens.
func (j *job) meanTokenInterval() time.Duration {
	if j.tokenCount < 2 {
		return 0
	}
	return j.tokenIntervalSum / time.Duration(j.tokenCount-1)
}

// watchCaller checks the caller's connection until ctx ends, and calls onGone once the caller has closed it.
func watchCaller(ctx context.Context, conn net.Conn, onGone func()) {
	for pace.Sleep(ctx, callerCheckInterval) {
		if conns.PeerClosed(conn) {
			onGone()
			return
		}
	}
}
