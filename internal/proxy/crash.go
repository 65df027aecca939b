package proxy

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"go.uber.org/zap"

	"github.com/greengagewheel/greengagewheel/internal/blame"
	"github.com/greengagewheel/greengagewheel/internal/ctrl"
	"github.com/greengagewheel/greengagewheel/internal/egress"
	"github.com/greengagewheel/greengagewheel/internal/place"
	"github.com/greengagewheel/greengagewheel/internal/roster"
)

const (
	// fingerprintBytes is the length of a request's fingerprint, in bytes.
	fingerprintBytes = 16
	// quarantineRetryAfter is the Retry-After of a quarantined request.
	quarantineRetryAfter = time.Minute
	// crashProbeDelay is the delay between a broken connection and the probe of the endpoint. By then, an endpoint that
	// crashed no longer accepts connections.
	crashProbeDelay = 50 * time.Millisecond
	// restartNoticeDelay is the delay after which an endpoint that crashed and started again at once has announced itself.
	restartNoticeDelay = 3 * time.Second
)

// fingerprint identifies a request by organisation, method, host, target and body, so that repetitions of the same
// request share one fingerprint.
func (req *request) fingerprint() string {
	h := sha256.New()
	for _, part := range []string{req.organisationName(), req.httpReq.Method, req.httpReq.Host, req.httpReq.RequestURI} {
		_, _ = fmt.Fprintf(h, "%d:%s", len(part), part)
	}
	_, _ = h.Write(req.body)
	return hex.EncodeToString(h.Sum(nil)[:fingerprintBytes])
}

// checkQuarantine rejects a request that is quarantined because endpoints crashed while running it.
func (req *request) checkQuarantine(view *ctrl.View) *rejection {
	if len(view.Crashes) == 0 {
		return nil
	}
	if !view.Crashes[req.fingerprint()].Quarantined {
		return nil
	}
	return &rejection{
		status: http.StatusServiceUnavailable, reason: "refused: endpoints went down under this request",
		retryAfter: quarantineRetryAfter,
	}
}

// reportIfCrashed reports the request if the endpoint crashed while running it. An endpoint that still accepts
// connections has only lost this one, unless it turns out to have started again.
func (req *request) reportIfCrashed(choice place.Choice) {
	if req.proxy.opt.Crashes == nil {
		return
	}
	p := req.proxy
	suspects := req.suspectParts()
	log := req.log.With(zap.String("endpoint", choice.ID), zap.Int("events", req.eventCount),
		zap.Strings("parts", partIDs(req.caller.Parts)), zap.Strings("suspects", hexIDs(suspects)))
	fingerprint, service, hasParts := req.fingerprint(), req.service.Name, len(req.caller.Parts) > 0
	dest := egress.Dest{ID: choice.ID, Addr: choice.Addr, StartedAtMS: choice.StartedAtMS}
	report := func() {
		p.crashesSeen.Add(1)
		log.Warn("endpoint went down under the request", zap.String("print", fingerprint))
		boot := choice.ID + "/" + strconv.FormatInt(choice.StartedAtMS, 10)
		p.opt.Crashes.ReportCrash(fingerprint, boot)
		if hasParts {
			p.opt.Crashes.ReportParts(blame.Report{Service: service, Boot: boot, Parts: suspects})
		}
	}
	time.AfterFunc(crashProbeDelay, func() {
		if !p.pools.Reachable(dest) {
			if p.isDown(dest) {
				report()
			} else {
				log.Info("no crash reported: another instance reaches the endpoint")
			}
			return
		}
		time.AfterFunc(restartNoticeDelay, func() {
			if startedAgain(p.opt.View().Endpoints, choice) {
				report()
			}
		})
	})
}

// startedAgain reports whether the configuration has a later start of an endpoint, or of another one at its address.
func startedAgain(endpoints map[string]roster.Endpoint, choice place.Choice) bool {
	for id, ep := range endpoints {
		if (id == choice.ID || ep.Addr == choice.Addr) && ep.StartedAtMS > choice.StartedAtMS {
			return true
		}
	}
	return false
}

// clearCrashReport clears earlier crash reports about a request that has now completed.
func (req *request) clearCrashReport() {
	view := req.proxy.opt.View()
	if req.proxy.opt.Crashes == nil || len(view.Crashes) == 0 {
		return
	}
	fingerprint := req.fingerprint()
	if _, ok := view.Crashes[fingerprint]; ok {
		req.proxy.opt.Crashes.ClearCrash(fingerprint)
	}
}
