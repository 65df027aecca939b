package proxy

import (
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/greengagewheel/greengagewheel/internal/blame"
	"github.com/greengagewheel/greengagewheel/internal/ctrl"
)

const (
	// soundAfter is how long an answer must go on after its first event to prove the parts of its prompt sound. An endpoint that
	// crashes as it begins to answer may still have sent an event.
	soundAfter = 500 * time.Millisecond
	// proofLife is how long this instance takes a part as sound after an answer on it. It is short, as new weights may change that.
	proofLife = 5 * time.Second
	// maxProofs bounds the proofs kept.
	maxProofs = 8192
	// trialInterval is the time between two requests of this instance for a trial of the same part.
	trialInterval = time.Second
)

type (
	// partWatch holds what one instance knows of prompt parts beside the records shared by all. It is safe for concurrent use.
	partWatch struct {
		mu sync.Mutex
		// view is the configuration that watched was updated to.
		view    *ctrl.View
		watched map[uint64]*watchedPart
		// soundAt is the time of the latest answer that went on, by service and part.
		soundAt map[servicePart]time.Time
		log     *zap.Logger
	}

	// watchedPart follows the record of one part. changedAt is when this instance learned of its latest crash or trial.
	watchedPart struct {
		crashes   int
		lastBoot  string
		trials    int
		held      bool
		changedAt time.Time
		nextTrial time.Time
		// reported lists the services whose answers on the part were reported since changedAt.
		reported []string
	}

	servicePart struct {
		service string
		part    uint64
	}
)

func newPartWatch(log *zap.Logger) *partWatch {
	return &partWatch{watched: map[uint64]*watchedPart{}, soundAt: map[servicePart]time.Time{}, log: log}
}

// sync updates the watched parts to a view. The caller holds w.mu.
func (w *partWatch) sync(now time.Time, view *ctrl.View) {
	if view == w.view {
		return
	}
	w.view = view
	for part := range w.watched {
		if _, ok := view.Parts[part]; !ok {
			if w.watched[part].held {
				w.log.Info("prompt part no longer held", zap.String("part", partID(part)))
			}
			delete(w.watched, part)
		}
	}
	for part, rec := range view.Parts {
		watched := w.watched[part]
		if watched == nil {
			watched = &watchedPart{}
			w.watched[part] = watched
		}
		watched.update(now, &rec)
		if held := rec.Held; held != watched.held {
			watched.held = held
			w.log.Warn("prompt part held or released", zap.String("part", partID(part)), zap.Bool("held", held),
				zap.Int("crashes", len(rec.Crashes)), zap.Int("trials", rec.Trials))
		}
	}
}

// update takes over the newest crash and the trials of a record.
func (p *watchedPart) update(now time.Time, rec *blame.Record) {
	boot := ""
	if n := len(rec.Crashes); n > 0 {
		boot = rec.Crashes[n-1].Boot
	}
	if boot != p.lastBoot || len(rec.Crashes) != p.crashes || rec.Trials != p.trials {
		*p = watchedPart{crashes: len(rec.Crashes), lastBoot: boot, trials: rec.Trials, held: p.held, changedAt: now}
	}
}

// trialDue reports whether this instance may ask to try a held part with a request of the given parts; it then waits trialInterval
// before it asks again.
func (w *partWatch) trialDue(now time.Time, view *ctrl.View, part uint64, parts []uint64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sync(now, view)
	rec, watched := view.Parts[part], w.watched[part]
	if watched == nil || now.Before(watched.nextTrial) || !rec.TrialDue(now, watched.changedAt, parts) {
		return false
	}
	watched.nextTrial = now.Add(trialInterval)
	return true
}

// markSound records that a service answered on parts, and returns those of them that are suspected and not reported yet.
func (w *partWatch) markSound(now time.Time, view *ctrl.View, service string, parts []uint64) (suspected []uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sync(now, view)
	for _, part := range parts {
		key := servicePart{service, part}
		if _, known := w.soundAt[key]; known || len(w.soundAt) < maxProofs {
			w.soundAt[key] = now
		}
		rec, ok := view.Parts[part]
		if !ok || !rec.Suspected(service) || slices.Contains(w.watched[part].reported, service) {
			continue
		}
		w.watched[part].reported = append(w.watched[part].reported, service)
		suspected = append(suspected, part)
	}
	return suspected
}

// unproven returns the parts on which a service has not answered recently at this instance.
func (w *partWatch) unproven(now time.Time, service string, parts []uint64) []uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(parts), func(part uint64) bool {
		at, ok := w.soundAt[servicePart{service, part}]
		return ok && now.Sub(at) <= proofLife
	})
}

// prune removes old proofs and follows the view.
func (w *partWatch) prune(now time.Time, view *ctrl.View) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sync(now, view)
	for key, at := range w.soundAt {
		if now.Sub(at) > proofLife {
			delete(w.soundAt, key)
		}
	}
}

// heldParts returns the number of parts that are held.
func (w *partWatch) heldParts() (n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, watched := range w.watched {
		if watched.held {
			n++
		}
	}
	return n
}
