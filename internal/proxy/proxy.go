package proxy

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/greengagewheel/greengagewheel/internal/answer"
	"github.com/greengagewheel/greengagewheel/internal/blame"
	"github.com/greengagewheel/greengagewheel/internal/budget"
	"github.com/greengagewheel/greengagewheel/internal/ctrl"
	"github.com/greengagewheel/greengagewheel/internal/detour"
	"github.com/greengagewheel/greengagewheel/internal/egress"
	"github.com/greengagewheel/greengagewheel/internal/meter"
	"github.com/greengagewheel/greengagewheel/internal/notice"
	"github.com/greengagewheel/greengagewheel/internal/origin"
	"github.com/greengagewheel/greengagewheel/internal/place"
	"github.com/greengagewheel/greengagewheel/internal/retry"
	"github.com/greengagewheel/greengagewheel/pkg/table"
)

const (
	// defaultRetryAfter is the Retry-After when this instance is not ready but another one, or this one soon, may be.
	defaultRetryAfter = 300 * time.Millisecond
	// minTimeLeft is the remaining time below which a request is not sent to an endpoint, as no response would arrive in
	// time.
	minTimeLeft = 20 * time.Millisecond
	// noneLabel is the metric label of requests without a route or an organisation.
	noneLabel = "none"
)

type (
	// Chooser selects endpoints. RecordFirstAnswer tells it when the response to an attempt began, and
	// RecordOutcome how the attempt ended.
	Chooser interface {
		Pick(ctx context.Context, req place.Request) (choice place.Choice, byLeader bool, err error)
		RecordFirstAnswer(attemptID string, elapsed time.Duration)
		// RecordPause tells it the longest time between two events of a stream, before the attempt ends.
		RecordPause(attemptID string, longest time.Duration)
		RecordOutcome(attemptID string, outcome place.Outcome)
		// RecordLimit tells it what an endpoint said of its limit in an answer.
		RecordLimit(limit place.Limit)
		// RecordBrittle tells it what an endpoint said of its brittleness in an answer.
		RecordBrittle(told place.Brittle)
	}

	// CrashReporter shares between all instances the fingerprints of requests, and the parts of prompts, that crashed endpoints.
	// boot identifies one start of an endpoint.
	CrashReporter interface {
		ReportCrash(fingerprint, boot string)
		ClearCrash(fingerprint string)
		// ReportParts reports prompt parts under which an endpoint went down, or on which an answer went on.
		ReportParts(report blame.Report)
		// TryPart asks to let one request through although a part of its prompt is held.
		TryPart(ctx context.Context, trial ctrl.PartTrial) bool
	}

	// Origins remembers the endpoints that streams come from, also those of other instances.
	Origins interface {
		Record(rec origin.Record)
		// Find returns the origin of a request's stream, or false if that is not known.
		Find(ctx context.Context, key origin.Key) (origin.Origin, bool)
		// OnlyBuild returns the software version of a service's endpoints if they had no other for a time up to now, or false if they
		// had or that is not known.
		OnlyBuild(ctx context.Context, service string, horizon time.Duration) (build string, known bool)
	}

	// Usage counts for each organisation the requests that endpoints began.
	Usage interface {
		Count(organisation string)
	}

	// Options holds the dependencies of a proxy.
	Options struct {
		// Name is the name of this instance, Zone its availability zone.
		Name    string
		Zone    string
		Dialect Dialect
		View    func() *ctrl.View
		// ConfigCurrent reports whether the configuration is proven current.
		ConfigCurrent func(now time.Time) bool
		Chooser       Chooser
		Origins       Origins
		Dialer        egress.Dialer
		// Sender sends requests by way of other instances; if nil, none are.
		Sender  detour.Sender
		Crashes CrashReporter
		// RetryAllowance returns the part of a service's requests that this instance may retry.
		RetryAllowance func() retry.Allowance
		// Usage, if set, counts the requests that endpoints began.
		Usage Usage
		// Budget bounds what is held for callers; if nil, nothing does.
		Budget *budget.Budget
		Now    func() time.Time
		Meter  *meter.Meter
		Log    *zap.Logger
	}

	// Proxy forwards requests from callers on one instance.
	Proxy struct {
		opt          Options
		pools        *egress.Pools
		retryWindows *retryWindows
		notices      *notice.Board
		parts        *partWatch
		links        *linkWatch
		detours      *detours
		// limitTexts and brittleTexts hold the limit and the brittleness that each endpoint named last, as it sent them, by notice.Start.
		limitTexts   sync.Map
		brittleTexts sync.Map
		// startsUntold holds when engines were last asked for their start time in vain, by notice.Start.
		startsUntold sync.Map
		// unnamedRefusals holds when endpoints last refused a request without naming it, by notice.Start.
		unnamedRefusals sync.Map
		// crashesSeen is the number of crashes reported, heldRequests that of requests refused for a part of their prompt.
		crashesSeen  atomic.Int64
		heldRequests atomic.Int64
		startChecks  *startChecks
		// startsAsked is the number of times that engines were asked for their start as streams began there.
		startsAsked atomic.Int64
		// originsUnknown is the number of requests refused as it is not known where their stream began.
		originsUnknown atomic.Int64
		// responsesSkipped is the number of responses that belonged to none of the requests sent at the time.
		responsesSkipped atomic.Int64
		// detoursMade is the number of requests sent by way of other instances, detoursRunning that of requests of others in progress.
		detoursMade        atomic.Int64
		detoursRunning     atomic.Int64
		attemptCounter     atomic.Uint64
		requestsInProgress atomic.Int64
		draining           atomic.Bool
		rejecting          atomic.Bool
		startedAt          time.Time
	}

	// request is the state of one caller's request.
	request struct {
		proxy       *Proxy
		httpReq     *http.Request
		writer      http.ResponseWriter
		caller      RequestInfo
		route       *table.Route
		org         *table.Organisation
		service     *table.Service
		retryWindow *retry.Window
		body        []byte
		// hold is what the caller's body and a buffered answer take of the budget, or nil. bodyGivenUp is set if the body was given up:
		// the server then takes the caller for gone, but it must be told that the request has not run.
		hold         *budget.Hold
		bodyGivenUp  bool
		tableVersion uint64
		arrivedAt    time.Time
		deadline     time.Time
		metrics      *meter.ClassMetrics
		log          *zap.Logger
		// attemptID is the ID of the current attempt.
		attemptID string
		// attempts counts all attempts, sentCount those for which something was sent, declinedCount those of them that endpoints said they
		// have not run.
		attempts      int
		sentCount     int
		declinedCount int
		// via is the other instance by way of which the current attempt is sent, or invalid. answered is set once its response has begun.
		via      netip.AddrPort
		answered bool
		// excluded lists the IDs of the endpoints that failed this request.
		excluded []string
		// silent is the ID of the endpoint that has the request while another one is sought, or empty.
		silent string
		// build is the software version that the stream is bound to, or empty; from is the endpoint that its first event came from.
		build string
		from  origin.Origin
		// proof tells whether the first event came from the start of the endpoint that from names.
		proof *startProof
		// firstEventAt is the time of the first event of the current endpoint. sound is set once an answer went on.
		firstEventAt time.Time
		sound        bool
		// suspect is set if an endpoint may have gone down under a part of the prompt, trial if the request may try a held part.
		suspect bool
		trial   bool
		// mayHaveRun is set if an endpoint may have run the request.
		mayHaveRun bool
		// counted is set once the request counts as usage.
		counted bool
		// firstByteTime is the time from the arrival of the request to the response header of the latest attempt, without the
		// resumptions of a stream.
		firstByteTime time.Duration
		// maxGap is the longest time between two writes of a stream to the caller, eventCount the number of its events.
		maxGap     time.Duration
		eventCount int
		// framing is that of the latest endpoint's response.
		framing answer.Framing
		// partialBytes is the size of the event in which the endpoint's stream ended, or 0.
		partialBytes int
		// sentAt is when the latest attempt was sent.
		sentAt time.Time
		// limitedFor is the time until an endpoint takes the request, if only their limits are the reason that none does, or 0.
		limitedFor time.Duration
		// pauseLeft is the time until an endpoint of the service ends its pause, if all of them pause, or 0.
		pauseLeft time.Duration
		// retryAfter is the Retry-After sent to the caller, or 0.
		retryAfter time.Duration
	}

	// rejection is an error response of the router itself. If retryAfter is 0 and nothing was sent to an endpoint, the
	// response gets a Retry-After derived from the caller's deadline.
	rejection struct {
		status     int
		reason     string
		retryAfter time.Duration
	}
)

// New returns a proxy without connections to endpoints.
func New(opt Options) *Proxy {
	if opt.Budget == nil {
		opt.Budget = budget.New(0, opt.Now)
	}
	return &Proxy{
		opt: opt, pools: egress.New(opt.Dialer), retryWindows: newRetryWindows(), notices: notice.New(), parts: newPartWatch(opt.Log),
		links: newLinkWatch(opt.Log), detours: newDetours(), startChecks: newStartChecks(),
		startedAt: opt.Now(),
	}
}

// RequestsInProgress returns the number of requests in progress.
func (p *Proxy) RequestsInProgress() int {
	return int(p.requestsInProgress.Load())
}

// Pools returns the connection pools of the endpoints.
func (p *Proxy) Pools() *egress.Pools {
	return p.pools
}

// Prune closes expired idle connections and those to endpoints that are not in the configuration, and removes the notices of
// endpoints that have long left it.
func (p *Proxy) Prune(now time.Time) {
	endpoints := p.opt.View().Endpoints
	p.pools.Prune(now, func(d egress.Dest) bool {
		e, ok := endpoints[d.ID]
		return ok && e.StartedAtMS == d.StartedAtMS && e.Addr == d.Addr
	})
	p.notices.Prune(now, endpoints)
	p.parts.prune(now, p.opt.View())
	for _, texts := range []*sync.Map{&p.limitTexts, &p.brittleTexts, &p.startsUntold, &p.unnamedRefusals} {
		texts.Range(func(key, _ any) bool {
			if ep, ok := key.(notice.Start); ok && endpoints[ep.ID].StartedAtMS != ep.StartedAtMS {
				texts.Delete(key)
			}
			return true
		})
	}
}

// CrashCounts returns how many crashes this instance has reported, how many requests it has refused for a part of their prompt,
// and how many parts are held now.
func (p *Proxy) CrashCounts() (crashes, refused int64, heldParts int) {
	return p.crashesSeen.Load(), p.heldRequests.Load(), p.parts.heldParts()
}

// ReachesEndpoints reports whether this instance reaches endpoints over connections of its own.
func (p *Proxy) ReachesEndpoints() bool {
	return p.links.reached(p.opt.Now())
}

// DetoursMade returns how many requests this instance has sent by way of other instances.
func (p *Proxy) DetoursMade() int64 {
	return p.detoursMade.Load()
}

// OriginsUnknown returns how many requests this instance has refused as it was not known where their stream began.
func (p *Proxy) OriginsUnknown() int64 {
	return p.originsUnknown.Load()
}

// ResponsesSkipped returns how many responses this instance has read that belonged to none of the requests sent at the time.
func (p *Proxy) ResponsesSkipped() int64 {
	return p.responsesSkipped.Load()
}

// StartsAsked returns how often this instance has asked engines for their start as streams began there.
func (p *Proxy) StartsAsked() int64 {
	return p.startsAsked.Load()
}

// StartDraining asks callers to close their connections. Requests are still served.
func (p *Proxy) StartDraining() {
	p.draining.Store(true)
}

// RejectRequests rejects further requests as not run because the instance is about to stop.
func (p *Proxy) RejectRequests() {
	p.rejecting.Store(true)
}

// Ready returns nil if the instance accepts requests, or the reason why it does not.
func (p *Proxy) Ready(now time.Time) error {
	switch {
	case p.draining.Load():
		return errors.New("stopping")
	case p.opt.View().Table.Version() == 0:
		return errors.New("no routing table")
	case !p.opt.ConfigCurrent(now):
		return errors.New("configuration not proven current")
	}
	return nil
}

// ServeHTTP serves one request.
func (p *Proxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p.requestsInProgress.Add(1)
	defer p.requestsInProgress.Add(-1)
	if p.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	req := &request{proxy: p, httpReq: r, writer: w, arrivedAt: p.opt.Now(), log: p.opt.Log}
	defer req.releaseHold()
	rej := req.admit()
	switch {
	case req.callerGone() && !req.bodyGivenUp:
		req.finish("caller left", 0)
		return
	case rej != nil:
		req.reject(rej)
		return
	}
	req.serve()
}

func (req *request) organisationName() string {
	if req.org == nil {
		return noneLabel
	}
	return req.org.Name
}

// reject writes an error response of the router itself.
func (req *request) reject(rej *rejection) {
	h := req.writer.Header()
	h.Set("Content-Type", "text/plain; charset=utf-8")
	if req.retryAfter = rej.retryAfter; req.retryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(rej.retryAfter.Seconds(), 'f', 3, 64))
	}
	req.writer.WriteHeader(rej.status)
	_, _ = io.WriteString(req.writer, rej.reason+"\n")
	req.finish(rej.reason, rej.status)
}

// finish records the request's outcome in metrics and in the log.
func (req *request) finish(outcome string, status int) {
	took := req.proxy.opt.Now().Sub(req.arrivedAt)
	routeName := noneLabel
	if req.route != nil {
		routeName = req.route.Name
	}
	if req.metrics != nil {
		req.metrics.CountOutcome(strconv.Itoa(status))
		req.metrics.RecordRequestTime(took)
		if req.firstByteTime > 0 {
			req.metrics.RecordFirstTokenTime(req.firstByteTime)
		}
		if req.maxGap > 0 {
			req.metrics.RecordTokenInterval(req.maxGap)
		}
	}
	req.log.Info("request ended", zap.String("outcome", outcome), zap.Int("status", status), zap.String("route", routeName),
		zap.String("organisation", req.organisationName()), zap.Int("tries", req.attempts), zap.Int("sent", req.sentCount),
		zap.Int("declined", req.declinedCount),
		zap.Duration("first", req.firstByteTime),
		zap.Int("events", req.eventCount), zap.Duration("gap", req.maxGap), zap.String("framing", string(req.framing)),
		zap.Int("partial", req.partialBytes), zap.Duration("took", took),
		zap.Duration("retry_after", req.retryAfter),
		zap.Uint64("table", req.tableVersion))
}
