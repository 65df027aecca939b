package router

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/greengagewheel/greengagewheel/internal/blame"
	"github.com/greengagewheel/greengagewheel/internal/ctrl"
	"github.com/greengagewheel/greengagewheel/internal/pace"
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
	// reportRetryDelay is the time until reports about prompt parts that were not committed are proposed again.
	reportRetryDelay = 100 * time.Millisecond
	// maxReportsPerCommit bounds the reports about prompt parts in one command.
	maxReportsPerCommit = 64
	// trialTimeout bounds the commit of a trial, for which a caller waits.
	trialTimeout = 500 * time.Millisecond
)

// crashReporter commits reports about requests that crashed endpoints.
type crashReporter struct {
	quorum  *quorum.Client
	reports chan ctrl.CrashReport
	parts   chan blame.Report
	log     *zap.Logger
}

func newCrashReporter(client *quorum.Client, log *zap.Logger) *crashReporter {
	return &crashReporter{
		quorum: client, reports: make(chan ctrl.CrashReport, maxPendingReports), parts: make(chan blame.Report, maxPendingReports), log: log,
	}
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

// ReportParts reports prompt parts under which an endpoint went down, or on which an answer went on.
func (c *crashReporter) ReportParts(report blame.Report) {
	select {
	case c.parts <- report:
	default:
		c.log.Warn("prompt parts not reported: too many wait", zap.String("boot", report.Boot), zap.Int("parts", len(report.Parts)))
	}
}

// TryPart asks the log to let one request through although a part of its prompt is held.
func (c *crashReporter) TryPart(ctx context.Context, trial ctrl.PartTrial) bool {
	ctx, cancel := context.WithTimeout(ctx, trialTimeout)
	defer cancel()
	result, err := c.quorum.Propose(ctx, ctrl.Command{PartTrial: &trial})
	if err != nil {
		c.log.Warn("trial of a held prompt part not committed", zap.Uint64("part", trial.Part), zap.Error(err))
	}
	return err == nil && result.Code == ctrl.OK
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

// runParts commits queued reports about prompt parts, those that wait together in one command, until ctx ends. What is not
// committed is proposed again, as the same crash may not be seen by another instance.
func (c *crashReporter) runParts(ctx context.Context) {
	var pending []blame.Report
	for {
		select {
		case <-ctx.Done():
			return
		case report := <-c.parts:
			pending = append(pending, report)
		}
		for len(pending) > 0 {
			pending = c.takeParts(pending)
			batch := pending[:min(len(pending), maxReportsPerCommit)]
			if c.commitParts(ctx, batch) {
				pending = pending[len(batch):]
			} else if !pace.Sleep(ctx, reportRetryDelay) {
				return
			}
		}
	}
}

// takeParts appends the queued reports to pending, up to maxPendingReports.
func (c *crashReporter) takeParts(pending []blame.Report) []blame.Report {
	for len(pending) < maxPendingReports {
		select {
		case report := <-c.parts:
			pending = append(pending, report)
		default:
			return pending
		}
	}
	return pending
}

func (c *crashReporter) commitParts(ctx context.Context, reports []blame.Report) bool {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	if _, err := c.quorum.Propose(ctx, ctrl.Command{PartReports: reports}); err != nil {
		c.log.Warn("prompt parts not committed; proposed again", zap.Int("reports", len(reports)), zap.Error(err))
		return false
	}
	return true
}
