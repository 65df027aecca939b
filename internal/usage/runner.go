package usage

import (
	"context"
	"errors"
	"maps"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"github.com/greengagewheel/greengagewheel/internal/ctrl"
	"github.com/greengagewheel/greengagewheel/internal/duty"
	"github.com/greengagewheel/greengagewheel/internal/pace"
)

const (
	// subject is the subject of all usage reports.
	subject = "usage"
	// tickInterval is the interval at which ended windows are looked for.
	tickInterval = 100 * time.Millisecond
	// copyInterval is the interval at which the leader copies new counts to a second replica. What entries that die together with the
	// leader counted within it is lost.
	copyInterval = 100 * time.Millisecond
	// copyBackoff is the time for which no copies are sent after no replica took one, as the next one holds all counts.
	copyBackoff = time.Second
	// askInterval is the interval at which a new leader asks the replicas that have not answered yet for their counts.
	askInterval = 500 * time.Millisecond
	// clockAsks is the number of these intervals after which all replicas are asked for their time of day.
	clockAsks = 4
	// settleTime is how long a new leader gathers counts and clocks before it fixes a window. Entries turn to a new leader within half a
	// second, and report every second at least.
	settleTime = 1500 * time.Millisecond
	// endMargin is the time after the end of a window at which it may be fixed. It covers errors of the estimate of true time.
	endMargin = 250 * time.Millisecond
	// fixPercent and resendPercent give the time after the end of a window at which it is fixed even if entries have not reported all of it,
	// and the time between two reports of a window that got no answer, as parts of the time in which the report is due. With 10 s, 4 s
	// remain after the first for an election and the lease of the duty.
	fixPercent    = 40
	resendPercent = 5
	// callTimeout bounds a message between replicas and a commit.
	callTimeout = 800 * time.Millisecond
)

type (
	// Platform takes reports of usage. The errors are those of package duty.
	Platform interface {
		ReportUsage(ctx context.Context, addr netip.AddrPort, grant duty.Grant, report Report) error
	}

	// Keeper grants the duty.
	Keeper interface {
		Grant(ctx context.Context, now time.Time, name duty.Name, subject string) (duty.Grant, error)
		// Refuse is called after the platform refused the token of a grant.
		Refuse(grant duty.Grant)
	}

	// Log is the replicated log.
	Log interface {
		IsLeader() bool
		// UnreportedUsage returns the latest window that is fixed, and the counts of those that the platform has not acknowledged.
		UnreportedUsage() (latest int64, unreported map[int64]map[string]int)
		FixUsage(ctx context.Context, fix ctrl.FixUsage) error
	}

	// Replicas sends copies of counts to other replicas.
	Replicas interface {
		// Others returns the other replicas, the one that should hold a copy first.
		Others() []netip.AddrPort
		// SendCopy sends a copy and returns the answer, which holds counts if they were asked for.
		SendCopy(ctx context.Context, to netip.AddrPort, msg Copy) (Copy, error)
	}

	// Options configures a Runner. Window is the length of a window, Late the time after its end in which its report is due.
	Options struct {
		Addr      netip.AddrPort
		Window    time.Duration
		Late      time.Duration
		Collector *Collector
		Platform  Platform
		Keeper    Keeper
		Log       Log
		Replicas  Replicas
		// Now is the steady clock.
		Now    func() time.Time
		Logger *zap.Logger
	}

	// Stats holds numbers of windows since the start of the process.
	Stats struct {
		Reported, GivenUp int64
		// Pending is the number of windows that are fixed and may still be reported in time.
		Pending int64
	}

	// Runner fixes and reports the usage of windows while this instance is the leader of the log.
	Runner struct {
		opt Options
		mu  sync.Mutex
		// leaderSince is when this instance became the leader, or zero.
		leaderSince time.Time
		// next is the next window to fix, or 0 if not known yet.
		next int64
		// done lists the windows that the platform has acknowledged and the log does not say so.
		done map[int64]bool
		// expired lists the windows that were fixed but not reported in time.
		expired map[int64]bool
		// resendAt is the time before which a window is not sent again.
		resendAt time.Time
		// copyTo is the replica that holds a copy of all counts but the latest.
		copyTo netip.AddrPort
		// copyAfter is the time before which no copy is sent, as no replica took the last one.
		copyAfter time.Time
		// unasked lists the replicas that have yet to answer a new leader.
		unasked []netip.AddrPort
		asks    int
		stats   struct{ reported, givenUp, pending atomic.Int64 }
	}
)

// New returns a runner.
func New(opt Options) *Runner {
	return &Runner{opt: opt, done: map[int64]bool{}, expired: map[int64]bool{}}
}

// Stats returns the numbers of windows reported, pending and given up by this instance.
func (r *Runner) Stats() Stats {
	return Stats{Reported: r.stats.reported.Load(), GivenUp: r.stats.givenUp.Load(), Pending: r.stats.pending.Load()}
}

// Run fixes and reports windows until the context is done.
func (r *Runner) Run(ctx context.Context) {
	var wg conc.WaitGroup
	defer wg.Wait()
	wg.Go(func() { pace.Every(ctx, tickInterval, func() { r.fix(ctx) }) })
	wg.Go(func() { pace.Every(ctx, tickInterval, func() { r.report(ctx) }) })
	wg.Go(func() { pace.Every(ctx, askInterval, func() { r.ask(ctx) }) })
	pace.Every(ctx, copyInterval, func() { r.copy(ctx) })
}

// syncLeadership reports whether this instance leads and since when.
func (r *Runner) syncLeadership(now time.Time) (since time.Time, leads bool) {
	leads = r.opt.Log.IsLeader()
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case !leads:
		r.leaderSince = time.Time{}
		r.stats.pending.Store(0)
	case r.leaderSince.IsZero():
		r.leaderSince, r.next, r.resendAt, r.copyTo, r.unasked = now, 0, time.Time{}, netip.AddrPort{}, r.opt.Replicas.Others()
		clear(r.done)
		clear(r.expired)
	}
	return r.leaderSince, leads
}

// begin and end return the true times at which a window begins and ends.
func (r *Runner) begin(window int64) time.Time {
	return time.Unix(0, window*int64(r.opt.Window))
}

func (r *Runner) end(window int64) time.Time {
	return r.begin(window + 1)
}

func (r *Runner) windowAt(at time.Time) int64 {
	return at.UnixNano() / int64(r.opt.Window)
}

// fix commits the usage of windows that have ended.
func (r *Runner) fix(ctx context.Context) {
	now := r.opt.Now()
	since, leads := r.syncLeadership(now)
	if !leads || now.Sub(since) < settleTime {
		return
	}
	trueNow := r.opt.Collector.TrueTime(now)
	latest, _ := r.opt.Log.UnreportedUsage()
	leaderAt := trueNow.Add(-now.Sub(since))
	next, ok := r.nextWindow(now, trueNow, latest, leaderAt)
	for ; ok && !trueNow.Before(r.end(next).Add(endMargin)); next++ {
		counts, known, whole := r.opt.Collector.window(now, r.begin(next), r.end(next))
		// Entries that did not reach this instance for a whole window keep its counts, and still send them. Those of entries that died with
		// the leader before are at another replica.
		missing := !whole || !known || r.begin(next).Before(leaderAt) && r.awaitsReplicas()
		if missing && trueNow.Sub(r.end(next)) < r.opt.Late*fixPercent/100 {
			break
		}
		if !known {
			r.giveUp(next, "no counts are known")
			continue
		}
		if !r.commit(ctx, next, counts, whole) {
			break
		}
	}
	if ok {
		r.mu.Lock()
		r.next = next
		r.mu.Unlock()
	}
}

// awaitsReplicas reports whether a replica has yet to answer this new leader.
func (r *Runner) awaitsReplicas() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.unasked) > 0
}

// nextWindow returns the window to fix next, or false if that is not known yet. Without a fixed window it is the first one in which an
// entry counted, unless entries counted long before this instance became the leader at leaderAt: the log may then come from a build
// without usage, which has lost what was fixed, and those windows must not be reported anew.
func (r *Runner) nextWindow(now, trueNow time.Time, latest int64, leaderAt time.Time) (int64, bool) {
	r.mu.Lock()
	next := r.next
	r.mu.Unlock()
	switch {
	case latest >= next && latest > 0:
		next = latest + 1
	case next == 0:
		earliest, found := r.opt.Collector.earliest(now)
		if !found {
			return 0, false
		}
		if next = r.windowAt(earliest); earliest.Before(leaderAt.Add(-r.opt.Late)) {
			next = r.windowAt(leaderAt) + 1
		}
	}
	if oldest := r.windowAt(trueNow.Add(-r.opt.Late)); next < oldest {
		r.opt.Logger.Warn("usage of windows not reported: they ended too long ago", zap.Int64("first", next), zap.Int64("last", oldest-1))
		r.stats.givenUp.Add(oldest - next)
		next = oldest
	}
	return next, true
}

func (r *Runner) giveUp(window int64, reason string) {
	r.opt.Logger.Warn("usage of window given up", zap.Int64("window", window), zap.String("reason", reason))
	r.stats.givenUp.Add(1)
}

// commit fixes the usage of a window and reports whether that succeeded.
func (r *Runner) commit(ctx context.Context, window int64, counts map[string]int, whole bool) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	r.mu.Lock()
	done := slices.Sorted(maps.Keys(r.done))
	r.mu.Unlock()
	if err := r.opt.Log.FixUsage(ctx, ctrl.FixUsage{Window: window, Counts: counts, Done: done}); err != nil {
		r.opt.Logger.Warn("usage of window not committed", zap.Int64("window", window), zap.Error(err))
		return false
	}
	r.mu.Lock()
	for _, number := range done {
		delete(r.done, number)
	}
	r.mu.Unlock()
	total := 0
	for _, number := range counts {
		total += number
	}
	r.opt.Logger.Info("usage of window fixed", zap.Int64("window", window), zap.Int("organisations", len(counts)), zap.Int("requests", total),
		zap.Bool("whole", whole))
	return true
}

// report sends the windows that are fixed and not acknowledged, the oldest first.
func (r *Runner) report(ctx context.Context) {
	now := r.opt.Now()
	since, leads := r.syncLeadership(now)
	if !leads || now.Sub(since) < settleTime {
		return
	}
	windows, counts := r.pending(now)
	for _, window := range windows {
		grant, err := r.opt.Keeper.Grant(ctx, r.opt.Now(), duty.UsageReporting, subject)
		if err != nil {
			if !errors.Is(err, duty.ErrNotHolder) {
				r.opt.Logger.Warn("duty not granted", zap.String("duty", string(duty.UsageReporting)), zap.Error(err))
			}
			return
		}
		err = r.opt.Platform.ReportUsage(ctx, r.opt.Addr, grant, Report{Window: window, Counts: counts[window]})
		if err != nil {
			// An exact repeat is ignored, so a report without answer is sent again with the same token.
			r.opt.Logger.Warn("usage not reported", zap.Int64("window", window), zap.Uint64("token", grant.Token), zap.Error(err))
			if errors.Is(err, duty.ErrStale) {
				r.opt.Keeper.Refuse(grant)
			}
			r.mu.Lock()
			r.resendAt = r.opt.Now().Add(r.opt.Late * resendPercent / 100)
			r.mu.Unlock()
			return
		}
		r.mu.Lock()
		r.done[window] = true
		r.mu.Unlock()
		r.stats.reported.Add(1)
		r.stats.pending.Add(-1)
		r.opt.Logger.Info("usage reported", zap.Int64("window", window), zap.Uint64("token", grant.Token))
	}
}

// pending returns the windows to be reported, the oldest first, and their counts. It gives up those that are too late.
func (r *Runner) pending(now time.Time) (windows []int64, counts map[int64]map[string]int) {
	trueNow := r.opt.Collector.TrueTime(now)
	r.mu.Lock()
	defer r.mu.Unlock()
	// With the lock held, a window that was acknowledged is either in done or noted in the log; otherwise it would be sent again.
	_, counts = r.opt.Log.UnreportedUsage()
	for _, window := range slices.Sorted(maps.Keys(counts)) {
		switch tooLate := !trueNow.Before(r.end(window).Add(r.opt.Late)); {
		case r.done[window] || r.expired[window]:
		case tooLate && now.Sub(r.leaderSince) < r.opt.Late && trueNow.Add(-now.Sub(r.leaderSince)).After(r.end(window).Add(r.opt.Late)):
			// It was too late before this instance became the leader.
			r.expired[window] = true
		case tooLate:
			r.expired[window] = true
			r.giveUp(window, "not accepted in time")
		default:
			windows = append(windows, window)
		}
	}
	r.stats.pending.Store(int64(len(windows)))
	if now.Before(r.resendAt) {
		return nil, counts
	}
	return windows, counts
}

// ask asks the other replicas for their time of day and, if this instance has become the leader, for the counts of entries that may
// have died with the earlier leader.
func (r *Runner) ask(ctx context.Context) {
	if _, leads := r.syncLeadership(r.opt.Now()); !leads {
		return
	}
	r.mu.Lock()
	unasked := slices.Clone(r.unasked)
	r.asks++
	replicas := unasked
	if r.asks%clockAsks == 0 {
		replicas = r.opt.Replicas.Others()
	}
	r.mu.Unlock()
	var wg conc.WaitGroup
	defer wg.Wait()
	for _, replica := range replicas {
		wg.Go(func() {
			reply, err := r.send(ctx, replica, Copy{Want: slices.Contains(unasked, replica)})
			if err != nil && !errors.Is(err, ErrNoCopy) {
				return
			}
			r.opt.Collector.ReceiveCopy(r.opt.Now(), &reply)
			r.mu.Lock()
			defer r.mu.Unlock()
			r.unasked = slices.DeleteFunc(r.unasked, func(addr netip.AddrPort) bool { return addr == replica })
		})
	}
}

// send sends a copy to a replica and takes its time of day.
func (r *Runner) send(ctx context.Context, to netip.AddrPort, msg Copy) (Copy, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	sentAt := r.opt.Now()
	msg.Now = sentAt.UnixMicro()
	reply, err := r.opt.Replicas.SendCopy(ctx, to, msg)
	if err == nil {
		r.opt.Collector.recordClock(sentAt, r.opt.Now(), to, reply.Wall)
	}
	return reply, err
}

// copy sends new counts to the second replica, or all to another one if that fails.
func (r *Runner) copy(ctx context.Context) {
	if _, leads := r.syncLeadership(r.opt.Now()); !leads {
		return
	}
	r.mu.Lock()
	target, resumeAt := r.copyTo, r.copyAfter
	r.mu.Unlock()
	if r.opt.Now().Before(resumeAt) {
		return
	}
	others := r.opt.Replicas.Others()
	if target.IsValid() && slices.Contains(others, target) {
		others = []netip.AddrPort{target}
	} else {
		target = netip.AddrPort{}
	}
	msg := r.opt.Collector.Copy(r.opt.Now(), !target.IsValid())
	if len(msg.Entries) == 0 {
		return
	}
	target = netip.AddrPort{}
	for _, replica := range others {
		_, err := r.send(ctx, replica, msg)
		if err == nil {
			target = replica
			break
		}
		r.opt.Logger.Debug("counts not copied", zap.Stringer("to", replica), zap.Error(err))
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.copyTo = target; !target.IsValid() {
		r.copyAfter = r.opt.Now().Add(copyBackoff)
	}
}
