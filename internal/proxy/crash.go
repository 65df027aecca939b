package proxy

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"go.uber.org/zap"

	"github.com/greengagewheel/greengagewheel/internal/ctrl"
	"github.com/greengagewheel/greengagewheel/internal/egress"
	"github.com/greengagewheel/greengagewheel/internal/place"
)

const (
	// printBytes is the length of a request's print.
	printBytes = 16
	// retryQuarantined is when to come back with a request that is refused because endpoints went down under it.
	retryQuarantined = time.Minute
	// crashLook is the time after a broken connection at which an endpoint that went down no longer takes new ones.
	crashLook = 50 * time.Millisecond
)

// fingerprint names what a request is, whoever sends it how often: its organisation, method, target and body.
func (q *request) fingerprint() string {
	h := sha256.New()
	for _, part := range []string{q.organisation(), q.r.Method, q.r.Host, q.r.RequestURI} {
		_, _ = fmt.Fprintf(h, "%d:%s", len(part), part)
	}
	_, _ = h.Write(q.body)
	return hex.EncodeToString(h.Sum(nil)[:printBytes])
}

// quarantined refuses a request under which endpoints went down.
func (q *request) quarantined(view *ctrl.View) *refusal {
	if len(view.Crashes) == 0 {
		return nil
	}
	if !view.Crashes[q.fingerprint()].Quarantined {
		return nil
	}
	return &refusal{status: http.StatusServiceUnavailable, reason: "refused: endpoints went down under this request", after: retryQuarantined}
}

// suspect reports the request if the endpoint went down under it: one that only lost a connection takes new ones.
func (q *request) suspect(c place.Choice) {
	if q.p.opt.Crashes == nil {
		return
	}
	print, log := q.fingerprint(), q.log
	dest := egress.Dest{ID: c.ID, Addr: c.Addr, Born: c.Born}
	time.AfterFunc(crashLook, func() {
		if q.p.pools.Reachable(dest) {
			return
		}
		log.Warn("endpoint went down under the request", zap.String("endpoint", c.ID), zap.String("print", print))
		q.p.opt.Crashes.Crashed(print, c.ID+"/"+strconv.FormatInt(c.Born, 10))
	})
}

// absolve clears a request that ran to its end of an earlier suspicion.
func (q *request) absolve() {
	view := q.p.opt.View()
	if q.p.opt.Crashes == nil || len(view.Crashes) == 0 {
		return
	}
	print := q.fingerprint()
	if _, ok := view.Crashes[print]; ok {
		q.p.opt.Crashes.Cleared(print)
	}
}
