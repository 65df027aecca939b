package router

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/greengagewheel/greengagewheel/internal/ctrl"
	"github.com/greengagewheel/greengagewheel/internal/quorum"
)

const (
	// maxPendingReports bounds the crash reports waiting to be committed. An endpoint runs fewer requests when it
	// crashes.
	maxPendingReports = 512
	// quarantineAfterCrashes is the number of endpoint crashes at which a request is quarantined. It is one more than the minimum
	// that distinguishes a cause from a coincidence, because an endpoint that is only cut off looks crashed.
	quarantineAfterCrashes = 3
	// reportTimeout bounds the commit of one report.
	reportTimeout = 3 * time.Second
)

// crashReporter commits reports about requests that crashed endpoints.
type crashReporter struct {
	quorum  *quorum.Client
	reports chan ctrl.CrashReport
	log     *zap.Logger
}

func newCrashReporter(client *quorum.Client, log *zap.Logger) *crashReporter {
	return &crashReporter{quorum: client, reports: make(chan ctrl.CrashReport, maxPendingReports), log: log}
}

// ReportCrash reports that an endpoint crashed while running a request; boot identifies the endpoint's start.
func (c *crashReporter) ReportCrash(fingerprint, boot string) {
	c.enqueue(ctrl.CrashReport{Fingerprint: fingerprint, Boot: boot, QuarantineAfter: quarantineAfterCrashes})
}

// ClearCrash reports that a request completed, which clears earlier reports about it.
func (c *crashReporter) ClearCrash(fingerprint string) {
	c.enqueue(ctrl.CrashReport{Fingerprint: fingerprint, Clear: true})
}

// enqueue queues a report, or drops it if too many are waiting.
func (c *crashReporter) enqueue(report ctrl.CrashReport) {
	select {
	case c.reports <- report:
	default:
		c.log.Warn("crash not reported: too many wait", zap.String("print", report.Fingerprint))
	}
}

// run commits queued reports until ctx ends.
func (c *crashReporter) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case report := <-c.reports:
			c.commit(ctx, report)
		}
	}
}

func (c *crashReporter) commit(ctx context.Context, report ctrl.CrashReport) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	if _, err := c.quorum.Propose(ctx, ctrl.Command{CrashReport: &report}); err != nil {
		c.log.Warn("crash not committed", zap.String("print", report.Fingerprint), zap.Error(err))
	}
}
