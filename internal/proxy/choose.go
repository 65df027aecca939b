package proxy

import (
	"errors"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/greengagewheel/greengagewheel/internal/notice"
	"github.com/greengagewheel/greengagewheel/internal/pace"
	"github.com/greengagewheel/greengagewheel/internal/place"
)

const (
	// noEndpointPollInterval is the interval between two attempts to select an endpoint while none is available.
	noEndpointPollInterval = 50 * time.Millisecond
	// noEndpointWaitDivisor bounds the wait for an available endpoint to target/noEndpointWaitDivisor.
	noEndpointWaitDivisor = 8
	// returnSpread is the time over which callers are spread that come back after a pause of the endpoints.
	returnSpread = 500 * time.Millisecond
)

// chooseEndpoint selects an endpoint and waits briefly for one if none is available.
func (req *request) chooseEndpoint() (place.Choice, bool) {
	giveUpAt := req.arrivedAt.Add(req.route.LatencyTarget / noEndpointWaitDivisor)
	var unwilling []string
	for {
		now := req.proxy.opt.Now()
		req.attemptID = req.caller.ID + "/" + strconv.FormatUint(req.proxy.attemptCounter.Add(1), 36)
		choice, byLeader, err := req.proxy.opt.Chooser.Pick(req.httpReq.Context(), place.Request{
			AttemptID: req.attemptID, Service: req.service.Name, Priority: req.priority(), BodyBytes: len(req.body),
			InputTokens: req.caller.InputTokens, OutputTokens: req.caller.OutputTokens,
			Parts: req.caller.Parts, ExcludedIDs: req.unusableEndpoints(now, unwilling), Build: req.build,
			LatencyTarget: req.route.LatencyTarget, GapTarget: req.route.GapTarget, TimeLeft: req.deadline.Sub(now),
		})
		if err == nil && (!req.fits(choice) || !req.proxy.notices.Admit(req.proxy.opt.Now(), startOf(choice))) {
			// The endpoint has started again or gave notice while it was being chosen.
			req.proxy.opt.Chooser.RecordOutcome(req.attemptID, place.Withdrawn)
			unwilling = append(unwilling, choice.ID)
			continue
		}
		if err == nil {
			req.log.Info("endpoint chosen", zap.String("run", req.attemptID), zap.String("endpoint", choice.ID),
				zap.String("build", req.buildOf(choice)), zap.Bool("shared", byLeader),
				zap.Duration("age", choice.LoadAge), zap.Uint64("table", req.tableVersion), zap.Int("priority", req.priority()),
				zap.Int("input", req.caller.InputTokens), zap.Int("need", choice.PrefillTokens), zap.Int("moved", choice.FetchTokens),
				zap.Int("running", choice.Running), zap.Int("others", choice.Alternatives),
				zap.Duration("expected", choice.ExpectedLatency), zap.Int("try", req.attempts), zap.Duration("waited", now.Sub(req.arrivedAt)),
				zap.Duration("took", req.proxy.opt.Now().Sub(now)))
			return choice, true
		}
		if len(req.excluded) > 0 && req.silent == "" {
			// No other endpoint is left: retry one that failed before.
			req.log.Info("no other endpoint", zap.String("service", req.service.Name), zap.Strings("avoided", req.excluded))
			req.excluded = nil
			continue
		}
		limited := new(place.LimitedError)
		if errors.As(err, &limited); limited.Wait > 0 && now.Add(limited.Wait).After(giveUpAt) {
			req.limitedFor = limited.Wait
			req.log.Info("all endpoints limited", zap.String("service", req.service.Name), zap.Duration("left", limited.Wait))
			return choice, false
		}
		if req.pauseLeft = req.pauseBeyond(now, giveUpAt); req.pauseLeft > 0 {
			req.log.Info("all endpoints pause", zap.String("service", req.service.Name), zap.Duration("left", req.pauseLeft))
			return choice, false
		}
		if now.After(giveUpAt) || !pace.Sleep(req.httpReq.Context(), noEndpointPollInterval) {
			req.log.Info("no endpoint", zap.String("service", req.service.Name), zap.Bool("shared", byLeader),
				zap.Uint64("table", req.tableVersion))
			return choice, false
		}
	}
}

// pauseBeyond returns how long all endpoints that fit the request still pause, or 0 if one can be tried before giveUpAt.
func (req *request) pauseBeyond(now, giveUpAt time.Time) time.Duration {
	left := req.proxy.notices.PauseLeft(now, req.service.Name, req.build, req.proxy.opt.View().Endpoints)
	if now.Add(left).Before(giveUpAt) {
		return 0
	}
	return left
}

// startOf returns the process start of a chosen endpoint.
func startOf(choice place.Choice) notice.Start {
	return notice.Start{ID: choice.ID, StartedAtMS: choice.StartedAtMS}
}

// unusableEndpoints returns the IDs of the endpoints that failed this request or take no new ones from this instance, and others.
func (req *request) unusableEndpoints(now time.Time, others []string) []string {
	if req.silent != "" {
		others = append(slices.Clone(others), req.silent)
	}
	return slices.Concat(others, req.excluded, req.proxy.notices.Unwilling(now, req.proxy.opt.View().Endpoints))
}

// noEndpointRejection returns the rejection if no endpoint is left to be tried; last is that of the attempts so far.
func (req *request) noEndpointRejection(last *rejection) *rejection {
	switch {
	case req.attempts == 0 && req.pauseLeft > 0:
		return &rejection{
			status: http.StatusServiceUnavailable, reason: "endpoints pause", retryAfter: returnDelay(req.pauseLeft, rand.Float64()),
		}
	case req.attempts == 0 && req.limitedFor > 0:
		return &rejection{
			status: http.StatusServiceUnavailable, reason: "endpoints limit requests",
			retryAfter: returnDelay(req.limitedFor, rand.Float64()),
		}
	case req.attempts == 0:
		return &rejection{status: http.StatusServiceUnavailable, reason: "no endpoint"}
	case req.pauseLeft > 0 && last.status == http.StatusServiceUnavailable:
		return &rejection{status: last.status, reason: last.reason, retryAfter: returnDelay(req.pauseLeft, rand.Float64())}
	}
	return last
}

// returnDelay returns the Retry-After for a pause or limits of the endpoints that end after left. Callers are spread over some time
// behind the end by random, from 0 to 1.
func returnDelay(left time.Duration, random float64) time.Duration {
	return left + time.Duration(random*float64(returnSpread))
}

// takeNotices records what an endpoint tells of itself in a response. A response of another endpoint at its address tells nothing.
func (req *request) takeNotices(choice place.Choice, info ResponseInfo) {
	if info.Misdirected {
		return
	}
	now, ep := req.proxy.opt.Now(), startOf(choice)
	if info.Pause > 0 && !req.detoured() {
		req.proxy.notices.MarkPaused(now, ep, info.Pause)
		req.log.Info("endpoint asks for a pause", zap.String("run", req.attemptID), zap.String("endpoint", choice.ID),
			zap.Duration("pause", info.Pause))
	}
	req.recordLimit(ep, info)
	req.recordBrittle(ep, info)
	if info.Leaving && req.proxy.notices.MarkLeaving(now, ep) {
		req.log.Info("endpoint says that it leaves", zap.String("run", req.attemptID), zap.String("endpoint", choice.ID),
			zap.Int64("born", choice.StartedAtMS))
	}
}

// recordLimit records the limit that an endpoint names, or that it names none in the answer to this request. A malformed limit says
// neither.
func (req *request) recordLimit(ep notice.Start, info ResponseInfo) {
	req.logLimit(ep, info.Limit)
	limit := place.Limit{
		EndpointID: ep.ID, StartedAtMS: ep.StartedAtMS, PerSecond: info.Limit.PerSecond, Lifted: !info.Limit.Named,
		SentAgo: req.proxy.opt.Now().Sub(req.sentAt),
	}
	answersThis := info.ID == req.caller.ID && (info.Signed || info.NotRun)
	if info.Limit.Malformed || limit.Lifted && !answersThis {
		return
	}
	req.proxy.opt.Chooser.RecordLimit(limit)
}

// recordBrittle records the brittleness that an endpoint names, or that it names none in the answer to this request.
func (req *request) recordBrittle(ep notice.Start, info ResponseInfo) {
	text := ""
	if info.Brittle.Named {
		text = info.Brittle.Text
	}
	if changedText(&req.proxy.brittleTexts, ep, text) {
		req.log.Info("endpoint says how brittle it is", zap.String("run", req.attemptID), zap.String("endpoint", ep.ID),
			zap.Int64("born", ep.StartedAtMS), zap.Bool("named", info.Brittle.Named), zap.Bool("malformed", info.Brittle.Malformed),
			zap.Int("refusals", info.Brittle.Refusals), zap.String("text", text))
	}
	told := place.Brittle{
		EndpointID: ep.ID, StartedAtMS: ep.StartedAtMS, Refusals: info.Brittle.Refusals, Lifted: !info.Brittle.Named,
		SentAgo: req.proxy.opt.Now().Sub(req.sentAt),
	}
	answersThis := info.ID == req.caller.ID && (info.Signed || info.NotRun)
	if told.Lifted && !answersThis {
		return
	}
	req.proxy.opt.Chooser.RecordBrittle(told)
}

// changedText stores what an endpoint said and reports whether it said something else, or nothing, before.
func changedText(texts *sync.Map, ep notice.Start, text string) bool {
	known, seen := texts.Swap(ep, text)
	return known != text && (seen || text != "")
}

// logLimit logs the limit that an endpoint names, when it changes.
func (req *request) logLimit(ep notice.Start, limit RateLimit) {
	text := ""
	if limit.Named {
		text = limit.Text
	}
	if !changedText(&req.proxy.limitTexts, ep, text) {
		return
	}
	req.log.Info("endpoint names a limit", zap.String("run", req.attemptID), zap.String("endpoint", ep.ID),
		zap.Int64("born", ep.StartedAtMS), zap.Bool("named", limit.Named), zap.Bool("malformed", limit.Malformed),
		zap.Float64("limit", limit.PerSecond), zap.String("text", text))
}
