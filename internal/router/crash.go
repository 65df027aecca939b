package router

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/greengagewheel/greengagewheel/internal/ctrl"
	"github.com/greengagewheel/greengagewheel/internal/quorum"
)

const (
	// maxReports is the number of crashes that wait to be committed; an endpoint that goes down runs fewer requests.
	maxReports = 512
	// mostCrashes is the number of endpoints that may go down under a request. One more than the least that tells a cause from a
	// coincidence, as an endpoint that is only cut off looks as if it were down.
	mostCrashes = 3
	// reportTimeout is how long a report may take.
	reportTimeout = 3 * time.Second
)

// crashes commits which requests endpoints went down under.
type crashes struct {
	quorum  *quorum.Client
	reports chan ctrl.CrashReport
	log     *zap.Logger
}

func newCrashes(q *quorum.Client, log *zap.Logger) *crashes {
	return &crashes{quorum: q, reports: make(chan ctrl.CrashReport, maxReports), log: log}
}

// Crashed reports that an endpoint went down under a request.
func (c *crashes) Crashed(print, start string) {
	c.report(ctrl.CrashReport{Fingerprint: print, Boot: start, QuarantineAfter: mostCrashes})
}

// Cleared reports that a request ran to its end.
func (c *crashes) Cleared(print string) {
	c.report(ctrl.CrashReport{Fingerprint: print, Clear: true})
}

func (c *crashes) report(p ctrl.CrashReport) {
	select {
	case c.reports <- p:
	default:
		c.log.Warn("crash not reported: too many wait", zap.String("print", p.Fingerprint))
	}
}

// run commits reports until the context ends.
func (c *crashes) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case p := <-c.reports:
			c.commit(ctx, p)
		}
	}
}

func (c *crashes) commit(ctx context.Context, p ctrl.CrashReport) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	if _, err := c.quorum.Propose(ctx, ctrl.Command{CrashReport: &p}); err != nil {
		c.log.Warn("crash not committed", zap.String("print", p.Fingerprint), zap.Error(err))
	}
}
