package duty

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"go.uber.org/zap"
)

const (
	// confirmDivisor divides the lease into the time for which a confirmation of the leadership is relied on. A leader elected after
	// the confirmation acts only after a whole lease, so that three quarters are left for a call to reach the platform.
	confirmDivisor = 4
	// minLease is the shortest time that an instance leads before it acts. A leader that is cut off from the others takes 0.9 s to step
	// down, and a quorum over several availability zones must answer within the time that a confirmation is relied on.
	minLease = time.Second
)

type (
	// Leadership tells whether this instance leads the log.
	Leadership interface {
		// Term returns the term that this instance leads, or 0 if it does not lead. An instance leads a term at most once, without a break.
		Term() uint64
		// Confirm returns a time at which a quorum confirmed that no newer leader existed.
		Confirm(ctx context.Context) (time.Time, error)
	}

	// Taker takes duties by commits to the log.
	Taker interface {
		// TakeDuty returns the log index of the commit and the name of the holder before, or "" if there was none.
		TakeDuty(ctx context.Context, duty Name, subject string) (index uint64, previous string, err error)
	}

	// Counter counts the calls of a duty by their results.
	Counter interface {
		CountDutyCall(duty, result string)
	}

	// Options configures a Keeper.
	Options struct {
		// Holder is the name of this instance.
		Holder string
		// Lease is the time that an instance must have led without a break before it acts.
		Lease time.Duration
		// Rate is the number of calls a second that the platform accepts from all instances together.
		Rate       float64
		Leadership Leadership
		Taker      Taker
		Counter    Counter
		// Now is the clock on which Leadership.Confirm tells times and callers of the Keeper too. It must advance while the machine is
		// suspended and not follow changes of the system time.
		Now func() time.Time
		Log *zap.Logger
	}

	// Keeper holds this instance's grants. It is safe for concurrent use.
	Keeper struct {
		opt     Options
		limiter *limiter
		// mu guards the fields below.
		mu sync.Mutex
		// term is the term that this instance leads, 0 if it does not lead; since is the time at which that was first observed.
		term  uint64
		since time.Time
		// confirmedAt is the time of the last confirmation in term.
		confirmedAt time.Time
		// grants holds the grants taken in term.
		grants map[subjectKey]Grant
		// refused holds the highest token that the platform refused, by duty and subject.
		refused map[subjectKey]uint64
		// logged holds the duties whose change of holder was logged in term.
		logged map[Name]bool
	}

	// subjectKey identifies a subject of a duty.
	subjectKey struct {
		duty    Name
		subject string
	}
)

// New returns a keeper without grants.
func New(opt Options) *Keeper {
	opt.Lease = max(opt.Lease, minLease)
	return &Keeper{
		opt: opt, limiter: newLimiter(opt.Rate), grants: map[subjectKey]Grant{}, refused: map[subjectKey]uint64{}, logged: map[Name]bool{},
	}
}

// observe records whether this instance leads the log. It reads the clock after the term: a caller's time may be from before the
// election, which would shorten the wait for the lease.
func (k *Keeper) observe() {
	term := k.opt.Leadership.Term()
	if term == k.term {
		return
	}
	now := k.opt.Now()
	if len(k.grants) > 0 {
		k.opt.Log.Info("duties lost", zap.String("holder", k.opt.Holder), zap.Uint64("term", k.term), zap.Int("subjects", len(k.grants)))
	}
	k.term, k.since, k.confirmedAt = term, now, time.Time{}
	clear(k.grants)
	clear(k.refused)
	clear(k.logged)
}

// Holds reports whether this instance may take duties: it has led the log for longer than the lease. That time begins with the first
// call in a term, so that a leader must call it often.
func (k *Keeper) Holds(now time.Time) bool {
	_, ok := k.holdsTerm(now)
	return ok
}

// holdsTerm returns the term in which this instance may take duties.
func (k *Keeper) holdsTerm(now time.Time) (term uint64, ok bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.observe()
	// A caller's time that is ahead of the clock would shorten the wait.
	if current := k.opt.Now(); current.Before(now) {
		now = current
	}
	return k.term, k.term != 0 && now.Sub(k.since) > k.opt.Lease
}

// Grant returns the present grant for a duty and subject, and takes it by a commit if there is none. It returns ErrNotHolder if this
// instance does not hold the duty or cannot confirm it.
func (k *Keeper) Grant(ctx context.Context, now time.Time, duty Name, subject string) (Grant, error) {
	term, err := k.confirm(ctx, now)
	if err != nil {
		return Grant{}, err
	}
	if g, ok := k.current(duty, subject); ok {
		return g, nil
	}
	return k.take(ctx, term, duty, subject)
}

// Renew takes a grant with a larger token, after which the platform refuses calls with the earlier ones once it has seen the new one.
func (k *Keeper) Renew(ctx context.Context, now time.Time, duty Name, subject string) (Grant, error) {
	term, err := k.confirm(ctx, now)
	if err != nil {
		return Grant{}, err
	}
	return k.take(ctx, term, duty, subject)
}

// Refuse records that the platform refused a call with the grant. Its token is not used again; the next Grant takes a larger one.
func (k *Keeper) Refuse(g Grant) {
	key := subjectKey{g.Duty, g.Subject}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.refused[key] = max(k.refused[key], g.Token)
	if k.grants[key].Token <= g.Token {
		delete(k.grants, key)
	}
}

// confirm returns the term in which this instance holds duties, confirmed by a quorum within the last part of the lease.
func (k *Keeper) confirm(ctx context.Context, now time.Time) (uint64, error) {
	term, ok := k.holdsTerm(now)
	if !ok {
		return 0, ErrNotHolder
	}
	k.mu.Lock()
	fresh := !k.confirmedAt.IsZero() && k.opt.Now().Sub(k.confirmedAt) < k.opt.Lease/confirmDivisor
	k.mu.Unlock()
	if fresh {
		return term, nil
	}
	at, err := k.opt.Leadership.Confirm(ctx)
	if err != nil {
		return 0, fmt.Errorf("%w: %w", ErrNotHolder, err)
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.observe()
	// The confirmation may be one of a later term, and a process that was frozen gets it late.
	if k.term != term || k.opt.Now().Sub(at) >= k.opt.Lease/confirmDivisor {
		return 0, ErrNotHolder
	}
	if at.After(k.confirmedAt) {
		k.confirmedAt = at
	}
	return term, nil
}

func (k *Keeper) current(duty Name, subject string) (Grant, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	g, ok := k.grants[subjectKey{duty, subject}]
	return g, ok
}

// take commits that this instance takes the duty in a term, and returns the grant.
func (k *Keeper) take(ctx context.Context, term uint64, duty Name, subject string) (Grant, error) {
	index, previous, err := k.opt.Taker.TakeDuty(ctx, duty, subject)
	if err != nil {
		return Grant{}, fmt.Errorf("%w: take duty: %w", ErrNotHolder, err)
	}
	key := subjectKey{duty, subject}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.observe()
	if k.term != term || index == 0 || index <= k.refused[key] {
		return Grant{}, ErrNotHolder
	}
	// Two concurrent commits for a subject may be answered in either order; the higher index is the later one.
	if old, ok := k.grants[key]; ok && old.Token > index {
		return old, nil
	}
	if !k.logged[duty] {
		k.logged[duty] = true
		k.opt.Log.Info("holder of duty changed", zap.String("duty", string(duty)), zap.String("subject", subject),
			zap.String("holder", k.opt.Holder), zap.String("previous", previous), zap.Uint64("token", index))
	}
	g := Grant{Duty: duty, Subject: subject, Holder: k.opt.Holder, Token: index}
	k.grants[key] = g
	return g, nil
}

// Do makes a call with a grant. It waits until the rate allows the call, then checks that the grant is still the present one of a
// confirmed holder, so that a process that was frozen meanwhile does not act. Without that it returns ErrNotHolder, or ErrStale if
// this instance has a newer grant, and call is not made.
func (k *Keeper) Do(ctx context.Context, g Grant, call func(ctx context.Context) error) error {
	if err := k.limiter.wait(ctx, k.opt.Now); err != nil {
		return err
	}
	if _, err := k.confirm(ctx, k.opt.Now()); err != nil {
		return err
	}
	if present, ok := k.current(g.Duty, g.Subject); !ok || present.Token != g.Token {
		return ErrStale
	}
	err := call(ctx)
	k.opt.Counter.CountDutyCall(string(g.Duty), resultOf(err))
	if errors.Is(err, ErrBusy) {
		k.limiter.pause(k.opt.Now())
	}
	if errors.Is(err, ErrStale) {
		k.opt.Log.Warn("platform refused call", zap.String("duty", string(g.Duty)), zap.String("subject", g.Subject),
			zap.Uint64("token", g.Token), zap.Error(err))
	}
	return err
}

// resultOf returns the result of a call under which it is counted.
func resultOf(err error) string {
	switch {
	case err == nil:
		return "ok"
	case errors.Is(err, ErrStale):
		return "refused"
	case errors.Is(err, ErrBusy):
		return "busy"
	case errors.Is(err, ErrUnanswered):
		return "unanswered"
	}
	return "failed"
}
