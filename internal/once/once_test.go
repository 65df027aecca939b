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

// Steps of a call, and failures that happen at a step.
const (
	beforeOpen     = "before the claim is committed"
	afterOpen      = "after the claim is committed, its confirmation lost"
	beforeSend     = "before the call is sent"
	afterSend      = "after the call is sent, while the service runs it"
	afterAnswer    = "after the service's answer, before it is recorded"
	afterRecord    = "after the answer is recorded"
	instanceKilled = "its instance is killed"
	instanceFrozen = "its instance is frozen and resumes after others have repeated the call"
	leaderKilled   = "the leader is killed"
	replyLost      = "the service's answer is lost"
)

var (
	errConnectionLost = errors.New("connection lost")
	allSteps          = []string{beforeOpen, afterOpen, beforeSend, afterSend, afterAnswer, afterRecord}
)

// fakeCluster is the state shared by the fake instances: the state of the log and a service that counts its runs.
type fakeCluster struct {
	mu              sync.Mutex
	state           *ctrl.State
	boots           map[string]string
	runs            map[string]int
	answer          string
	leaderlessUntil time.Time
	lookup          bool
}

// fakeInstance implements Log and Service for one instance of the cluster. The failure event happens once, at step.
type fakeInstance struct {
	cluster     *fakeCluster
	name        string
	boot        string
	step        string
	event       string
	stepReached chan struct{}
	unfreeze    chan struct{}
	dead        bool
	callerLeft  bool
	mu          sync.Mutex
}

func (c *fakeCluster) addInstance(name, step, event string) *fakeInstance {
	c.boots[name] = name + "-1"
	return &fakeInstance{
		cluster: c, name: name, boot: name + "-1", step: step, event: event, stepReached: make(chan struct{}), unfreeze: make(chan struct{}),
	}
}

// reachStep triggers the event if step is its step. On a killed instance it blocks until the context ends and returns an error.
func (i *fakeInstance) reachStep(ctx context.Context, step string) error {
	i.mu.Lock()
	hit := i.step == step
	if hit {
		i.step = ""
		close(i.stepReached)
	}
	dead := i.dead || hit && i.event == instanceKilled
	i.dead = dead
	i.mu.Unlock()
	switch {
	case dead:
		i.cluster.restartInstance(i)
		<-ctx.Done()
		return ctx.Err()
	case hit && i.event == leaderKilled:
		i.cluster.stopLeader(400 * time.Millisecond)
	case hit && i.event == instanceFrozen:
		<-i.unfreeze
	case hit && i.event == replyLost:
		return errConnectionLost
	}
	return nil
}

func (c *fakeCluster) restartInstance(i *fakeInstance) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.boots[i.name] = i.name + "-2"
}

func (c *fakeCluster) stopLeader(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leaderlessUntil = time.Now().Add(d)
}

func (c *fakeCluster) withoutLeader() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Now().Before(c.leaderlessUntil)
}

// Propose applies a command to the state of the log. If the leader fails after the commit, the confirmation is lost.
func (i *fakeInstance) Propose(ctx context.Context, cmd ctrl.Command) (ctrl.Result, error) {
	before, after := beforeOpen, afterOpen
	if cmd.Claim.To == claim.Done {
		before, after = afterAnswer, afterRecord
	}
	if cmd.Claim.To == claim.Open || cmd.Claim.To == claim.Done {
		if err := i.reachStep(ctx, before); err != nil {
			return ctrl.Result{}, err
		}
	}
	if i.isDead() || i.cluster.withoutLeader() {
		return ctrl.Result{}, errors.Join(quorum.ErrNoLeader, errConnectionLost)
	}
	i.cluster.mu.Lock()
	res := i.cluster.state.Apply(0, cmd)
	if res.Claim != nil {
		rec := *res.Claim
		res.Claim = &rec
	}
	i.cluster.mu.Unlock()
	if cmd.Claim.To == claim.Open || cmd.Claim.To == claim.Done {
		if err := i.reachStep(ctx, after); err != nil {
			return ctrl.Result{}, err
		}
	}
	if i.cluster.withoutLeader() {
		return ctrl.Result{}, errors.Join(quorum.ErrOutcomeUnknown, errConnectionLost)
	}
	return res, nil
}

// Read returns the claim of the query's key.
func (i *fakeInstance) Read(_ context.Context, q quorum.Query) (quorum.QueryResult, error) {
	if i.cluster.withoutLeader() {
		return quorum.QueryResult{}, errConnectionLost
	}
	i.cluster.mu.Lock()
	defer i.cluster.mu.Unlock()
	result := quorum.QueryResult{}
	if rec := i.cluster.state.Claims[claim.ID(q.Customer, q.Key)]; rec != nil {
		copied := *rec
		result.Claim = &copied
	}
	return result, nil
}

// CallOnce runs the call and counts the run.
func (i *fakeInstance) CallOnce(ctx context.Context, _ netip.AddrPort, call relay.Call) (relay.Reply, error) {
	if i.isDead() {
		return relay.Reply{}, relay.ErrUnsent
	}
	i.cluster.mu.Lock()
	i.cluster.runs[call.Key]++
	body := fmt.Sprintf("run %d by %s", i.cluster.runs[call.Key], i.name)
	i.cluster.answer = body
	i.cluster.mu.Unlock()
	if err := i.reachStep(ctx, afterSend); err != nil {
		return relay.Reply{}, errors.Join(relay.ErrBroken, err)
	}
	return relay.Reply{Status: 200, Body: []byte(body)}, nil
}

// Outcome returns the answer of the last run and whether the key was run.
func (i *fakeInstance) Outcome(_ context.Context, _ netip.AddrPort, key string) (relay.Reply, bool, error) {
	i.cluster.mu.Lock()
	defer i.cluster.mu.Unlock()
	return relay.Reply{Status: 200, Body: []byte(i.cluster.answer)}, i.cluster.runs[key] > 0, nil
}

func (i *fakeInstance) isDead() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.dead
}

// outcome is what a caller was told.
type outcome struct {
	body string
	ran  string
}

// call runs a call with the key on the instance.
func (i *fakeInstance) call(ctx context.Context, key string) outcome {
	runner := New(ctx, Options{
		Self: ctrl.Instance{Name: i.name, Boot: i.boot}, Log: i, Service: i, Logger: zap.NewNop(),
		Timeouts:      Timeouts{Call: time.Second, Claim: 300 * time.Millisecond, Settle: 3 * time.Second, Join: 300 * time.Millisecond},
		ConfigCurrent: func(time.Time) bool { return true },
		RegisteredBoot: func(name string) string {
			i.cluster.mu.Lock()
			defer i.cluster.mu.Unlock()
			return i.cluster.boots[name]
		},
	})
	defer runner.Wait()
	reply, err := runner.Run(ctx, Call{
		Call: relay.Call{Key: key}, Customer: "acme", Nonce: fmt.Sprint(i.name, time.Now().UnixNano()), Fingerprint: "p",
		CallerGone: func() bool { return i.callerLeft },
		AcquireGrant: func(ctx context.Context) (Grant, error) {
			err := i.reachStep(ctx, beforeSend)
			return Grant{Target: sched.Target{Lookup: i.cluster.lookup}, Finish: func(sched.Completion) {}}, err
		},
	})
	var callErr *Error
	switch {
	case err == nil:
		return outcome{body: string(reply.Body), ran: chat.RanYes}
	case errors.As(err, &callErr):
		return outcome{ran: callErr.Ran()}
	}
	return outcome{ran: chat.RanUnknown}
}

// runScenario makes a call whose instance or leader fails at a step and repeats it on two other instances, first concurrently and
// then again. It returns the outcomes and the number of runs.
func runScenario(step, event string, lookup bool) (outcomes []outcome, runs int) {
	cluster := &fakeCluster{state: ctrl.NewState(), boots: map[string]string{}, runs: map[string]int{}, lookup: lookup}
	failing := cluster.addInstance("i1", step, event)
	others := []*fakeInstance{cluster.addInstance("i2", "", ""), cluster.addInstance("i3", "", "")}
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	var mu sync.Mutex
	var wg sync.WaitGroup
	send := func(ctx context.Context, inst *fakeInstance) {
		out := inst.call(ctx, "visit")
		cluster.mu.Lock()
		ran := cluster.runs["visit"]
		cluster.mu.Unlock()
		if out.ran == chat.RanNo && ran > 0 {
			out.ran = "no, although it ran"
		}
		mu.Lock()
		outcomes = append(outcomes, out)
		mu.Unlock()
	}
	instanceCtx, killInstance := context.WithCancel(ctx)
	defer killInstance()
	wg.Add(1)
	go func() {
		defer wg.Done()
		send(instanceCtx, failing)
	}()
	<-failing.stepReached
	if event == instanceKilled {
		time.Sleep(20 * time.Millisecond)
	}
	var repeats sync.WaitGroup
	for _, inst := range others {
		repeats.Add(2)
		for range 2 {
			go func() {
				defer repeats.Done()
				send(ctx, inst)
			}()
		}
	}
	repeats.Wait()
	close(failing.unfreeze)
	if event == instanceKilled {
		killInstance()
	}
	wg.Wait()
	for _, inst := range others {
		send(ctx, inst)
	}
	return outcomes, cluster.runs["visit"]
}

// TestJoinedCallTakesOver guards against a call that gets no answer because the attempt that it waits for was abandoned before it was
// sent.
func TestJoinedCallTakesOver(t *testing.T) {
	Convey("A call that waits for another attempt with its key runs if that attempt is abandoned before it was sent", t, func() {
		cluster := &fakeCluster{state: ctrl.NewState(), boots: map[string]string{}, runs: map[string]int{}}
		waiting, joining := cluster.addInstance("i1", beforeSend, instanceFrozen), cluster.addInstance("i2", "", "")
		waiting.callerLeft = true
		leftOutcome := make(chan outcome, 1)
		go func() { leftOutcome <- waiting.call(context.Background(), "visit") }()
		<-waiting.stepReached
		joinedOutcome := make(chan outcome, 1)
		go func() { joinedOutcome <- joining.call(context.Background(), "visit") }()
		time.Sleep(50 * time.Millisecond)
		close(waiting.unfreeze)
		So((<-leftOutcome).ran, ShouldEqual, chat.RanNo)
		So((<-joinedOutcome).body, ShouldEqual, "run 1 by i2")
		So(cluster.runs["visit"], ShouldEqual, 1)
	})
}

// TestFailuresAtEachStep lets an instance or the leader fail at each step of a call that other instances repeat. It guards against a
// call that runs twice, gets different answers, or is reported as not run although it ran.
func TestFailuresAtEachStep(t *testing.T) {
	for _, event := range []string{instanceKilled, instanceFrozen, leaderKilled} {
		for _, step := range allSteps {
			checkStep(t, event, step)
		}
	}
	checkStep(t, replyLost, afterSend)
}

func checkStep(t *testing.T, event, step string) {
	for _, lookup := range []bool{false, true} {
		Convey(fmt.Sprintf("If %s %s (service supports lookups: %v), the call runs at most once", event, step, lookup), t, func() {
			outcomes, runs := runScenario(step, event, lookup)
			So(runs, ShouldBeLessThanOrEqualTo, 1)
			answers := map[string]bool{}
			for _, out := range outcomes {
				So(out.ran, ShouldNotEqual, "no, although it ran")
				if out.body != "" {
					answers[out.body] = true
				}
			}
			So(len(answers), ShouldBeLessThanOrEqualTo, 1)
			if len(answers) == 1 {
				So(runs, ShouldEqual, 1)
			}
			// A failure at beforeSend or afterOpen may leave the claim in doubt although nothing ran; a lookup can't resolve that.
			if step != beforeSend && step != afterOpen && lookup {
				So(outcomes[len(outcomes)-1].ran, ShouldEqual, chat.RanYes)
			}
		})
	}
}
