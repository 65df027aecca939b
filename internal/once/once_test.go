package once

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/zap"

	"github.com/greengagewheel/greengagewheel/internal/claim"
	"github.com/greengagewheel/greengagewheel/internal/ctrl"
	"github.com/greengagewheel/greengagewheel/internal/quorum"
	"github.com/greengagewheel/greengagewheel/internal/relay"
	"github.com/greengagewheel/greengagewheel/internal/sched"
	"github.com/greengagewheel/greengagewheel/pkg/chat"
)

// The steps of a call at which its instance, or the log's leader, may fail.
const (
	beforeOpen   = "before the claim is committed"
	afterOpen    = "after the claim is committed, its answer lost"
	beforeSend   = "before the send"
	afterSend    = "after the send, the service running"
	afterAnswer  = "after the service's answer, before it is recorded"
	afterRecord  = "after the answer is recorded"
	entryKilled  = "its instance is killed"
	entryFrozen  = "its instance is frozen and goes on when others have repeated the call"
	leaderKilled = "the leader is killed"
	answerLost   = "the service's answer is lost"
)

var (
	errCut   = errors.New("connection lost")
	allSteps = []string{beforeOpen, afterOpen, beforeSend, afterSend, afterAnswer, afterRecord}
)

// ground is what the fake instances share: the log's state and a service that counts its runs.
type ground struct {
	mu     sync.Mutex
	state  *ctrl.State
	boots  map[string]string
	runs   map[string]int
	answer string
	noLog  time.Time
	lookup bool
}

// host is one instance's way to the ground; event happens at step, once.
type host struct {
	g     *ground
	name  string
	boot  string
	step  string
	event string
	met   chan struct{}
	thaw  chan struct{}
	dead  bool
	left  bool
	mu    sync.Mutex
}

func (g *ground) host(name, step, event string) *host {
	g.boots[name] = name + "-1"
	return &host{g: g, name: name, boot: name + "-1", step: step, event: event, met: make(chan struct{}), thaw: make(chan struct{})}
}

// reach lets the event happen if this is its step, and fails if the instance is dead.
func (h *host) reach(ctx context.Context, step string) error {
	h.mu.Lock()
	hit := h.step == step
	if hit {
		h.step = ""
		close(h.met)
	}
	dead := h.dead || hit && h.event == entryKilled
	h.dead = dead
	h.mu.Unlock()
	switch {
	case dead:
		h.g.restarted(h)
		<-ctx.Done()
		return ctx.Err()
	case hit && h.event == leaderKilled:
		h.g.leaderless(400 * time.Millisecond)
	case hit && h.event == entryFrozen:
		<-h.thaw
	case hit && h.event == answerLost:
		return errCut
	}
	return nil
}

func (g *ground) restarted(h *host) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.boots[h.name] = h.name + "-2"
}

func (g *ground) leaderless(d time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.noLog = time.Now().Add(d)
}

func (g *ground) down() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return time.Now().Before(g.noLog)
}

// Propose commits a command, tried for as long as the caller waits; a leader that dies after the commit loses its answer.
func (h *host) Propose(ctx context.Context, cmd ctrl.Command) (ctrl.Result, error) {
	before, after := beforeOpen, afterOpen
	if cmd.Claim.To == claim.Done {
		before, after = afterAnswer, afterRecord
	}
	if cmd.Claim.To == claim.Open || cmd.Claim.To == claim.Done {
		if err := h.reach(ctx, before); err != nil {
			return ctrl.Result{}, err
		}
	}
	if h.gone() || h.g.down() {
		return ctrl.Result{}, errors.Join(quorum.ErrNoLeader, errCut)
	}
	h.g.mu.Lock()
	res := h.g.state.Apply(cmd)
	if res.Claim != nil {
		rec := *res.Claim
		res.Claim = &rec
	}
	h.g.mu.Unlock()
	if cmd.Claim.To == claim.Open || cmd.Claim.To == claim.Done {
		if err := h.reach(ctx, after); err != nil {
			return ctrl.Result{}, err
		}
	}
	if h.g.down() {
		return ctrl.Result{}, errors.Join(quorum.ErrOutcomeUnknown, errCut)
	}
	return res, nil
}

// Read returns the claim.
func (h *host) Read(_ context.Context, q quorum.Query) (quorum.QueryResult, error) {
	if h.g.down() {
		return quorum.QueryResult{}, errCut
	}
	h.g.mu.Lock()
	defer h.g.mu.Unlock()
	v := quorum.QueryResult{}
	if rec := h.g.state.Claims[claim.ID(q.Customer, q.Key)]; rec != nil {
		kept := *rec
		v.Claim = &kept
	}
	return v, nil
}

// Once runs the call at the service.
func (h *host) Once(ctx context.Context, _ netip.AddrPort, c relay.Call) (relay.Reply, error) {
	if h.gone() {
		return relay.Reply{}, relay.ErrUnsent
	}
	h.g.mu.Lock()
	h.g.runs[c.Key]++
	body := fmt.Sprintf("run %d by %s", h.g.runs[c.Key], h.name)
	h.g.answer = body
	h.g.mu.Unlock()
	if err := h.reach(ctx, afterSend); err != nil {
		return relay.Reply{}, errors.Join(relay.ErrBroken, err)
	}
	return relay.Reply{Status: 200, Body: []byte(body)}, nil
}

// Outcome tells that the call ran, if it did.
func (h *host) Outcome(_ context.Context, _ netip.AddrPort, key string) (relay.Reply, bool, error) {
	h.g.mu.Lock()
	defer h.g.mu.Unlock()
	return relay.Reply{Status: 200, Body: []byte(h.g.answer)}, h.g.runs[key] > 0, nil
}

func (h *host) gone() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.dead
}

// told is what a caller learned.
type told struct {
	body string
	ran  string
}

// call sends the request at the instance.
func (h *host) call(ctx context.Context, key string) told {
	r := New(ctx, Options{
		Self: ctrl.Instance{Name: h.name, Boot: h.boot}, Log: h, Service: h, Events: zap.NewNop(),
		Times:   Times{Call: time.Second, Claim: 300 * time.Millisecond, Settle: 3 * time.Second, Join: 300 * time.Millisecond},
		Current: func(time.Time) bool { return true },
		Boot: func(name string) string {
			h.g.mu.Lock()
			defer h.g.mu.Unlock()
			return h.g.boots[name]
		},
	})
	defer r.Wait()
	rep, err := r.Run(ctx, Call{
		Call: relay.Call{Key: key}, Customer: "acme", Nonce: fmt.Sprint(h.name, time.Now().UnixNano()), Print: "p",
		Gone: func() bool { return h.left },
		Place: func(ctx context.Context) (Grant, error) {
			err := h.reach(ctx, beforeSend)
			return Grant{Target: sched.Target{Lookup: h.g.lookup}, Finish: func(sched.Completion) {}}, err
		},
	})
	var e *Error
	switch {
	case err == nil:
		return told{body: string(rep.Body), ran: chat.RanYes}
	case errors.As(err, &e):
		return told{ran: e.Ran()}
	}
	return told{ran: chat.RanUnknown}
}

// play makes a call whose instance or leader fails at a step, repeats it at two other instances at once and again
// later, and returns what each was told, with the number of runs.
func play(step, event string, lookup bool) (all []told, runs int) {
	g := &ground{state: ctrl.NewState(), boots: map[string]string{}, runs: map[string]int{}, lookup: lookup}
	first := g.host("i1", step, event)
	others := []*host{g.host("i2", "", ""), g.host("i3", "", "")}
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	var mu sync.Mutex
	var wg sync.WaitGroup
	send := func(ctx context.Context, h *host) {
		t := h.call(ctx, "visit")
		g.mu.Lock()
		ran := g.runs["visit"]
		g.mu.Unlock()
		if t.ran == chat.RanNo && ran > 0 {
			t.ran = "no, although it ran"
		}
		mu.Lock()
		all = append(all, t)
		mu.Unlock()
	}
	life, die := context.WithCancel(ctx)
	defer die()
	wg.Add(1)
	go func() {
		defer wg.Done()
		send(life, first)
	}()
	<-first.met
	if event == entryKilled {
		time.Sleep(20 * time.Millisecond)
	}
	var reps sync.WaitGroup
	for _, h := range others {
		reps.Add(2)
		for range 2 {
			go func() {
				defer reps.Done()
				send(ctx, h)
			}()
		}
	}
	reps.Wait()
	close(first.thaw)
	if event == entryKilled {
		die()
	}
	wg.Wait()
	for _, h := range others {
		send(ctx, h)
	}
	return all, g.runs["visit"]
}

func TestJoinedCallTakesOver(t *testing.T) {
	Convey("A call that waits for another attempt of its key runs when that one is given up before it was sent", t, func() {
		g := &ground{state: ctrl.NewState(), boots: map[string]string{}, runs: map[string]int{}}
		first, second := g.host("i1", beforeSend, entryFrozen), g.host("i2", "", "")
		first.left = true
		left := make(chan told, 1)
		go func() { left <- first.call(context.Background(), "visit") }()
		<-first.met
		joined := make(chan told, 1)
		go func() { joined <- second.call(context.Background(), "visit") }()
		time.Sleep(50 * time.Millisecond)
		close(first.thaw)
		So((<-left).ran, ShouldEqual, chat.RanNo)
		So((<-joined).body, ShouldEqual, "run 1 by i2")
		So(g.runs["visit"], ShouldEqual, 1)
	})
}

func TestFailuresAtEachStep(t *testing.T) {
	for _, event := range []string{entryKilled, entryFrozen, leaderKilled} {
		for _, step := range allSteps {
			checkStep(t, event, step)
		}
	}
	checkStep(t, answerLost, afterSend)
}

func checkStep(t *testing.T, event, step string) {
	for _, lookup := range []bool{false, true} {
		Convey(fmt.Sprintf("When %s %s (the service can be asked: %v), the call runs once at most", event, step, lookup), t, func() {
			all, runs := play(step, event, lookup)
			So(runs, ShouldBeLessThanOrEqualTo, 1)
			answers := map[string]bool{}
			for _, a := range all {
				So(a.ran, ShouldNotEqual, "no, although it ran")
				if a.body != "" {
					answers[a.body] = true
				}
			}
			So(len(answers), ShouldBeLessThanOrEqualTo, 1)
			if len(answers) == 1 {
				So(runs, ShouldEqual, 1)
			}
			if step != beforeSend && step != afterOpen && lookup {
				So(all[len(all)-1].ran, ShouldEqual, chat.RanYes)
			}
		})
	}
}
