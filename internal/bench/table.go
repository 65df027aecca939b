package bench

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"text/tabwriter"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/greengagewheel/greengagewheel/internal/admin"
	"github.com/greengagewheel/greengagewheel/internal/contr"
	"github.com/greengagewheel/greengagewheel/internal/ctrl"
	"github.com/greengagewheel/greengagewheel/internal/fault"
	"github.com/greengagewheel/greengagewheel/internal/pace"
	"github.com/greengagewheel/greengagewheel/internal/replay"
	"github.com/greengagewheel/greengagewheel/internal/rig"
	"github.com/greengagewheel/greengagewheel/pkg/trace"
)

// Scenarios of the table, in order.
var Scenarios = []string{"calm", "burst", "straggler", "crash", "poison", "restart"}

// Alone names the system in which each instance schedules alone.
const Alone = "alone"

// Systems that are compared: the settings that each adds.
var Systems = map[string]string{
	"ours":     "",
	"baseline": "[limits]\nretry = \"blind\"\n[sched]\npolicy = \"fifo\"\nchoice = \"random\"\n",
	"random":   "[sched]\nchoice = \"random\"\n",
	"round":    "[sched]\nchoice = \"round\"\n",
	"least":    "[sched]\nchoice = \"least\"\n",
	"fifo":     "[sched]\npolicy = \"fifo\"\n",
	Alone:      "[sched]\nalone = true\n",
}

const (
	instances    = 9
	replicas     = 3
	calmTenths   = 5
	unevenEvery  = 3
	restartPause = 1500 * time.Millisecond
	reviveCheck  = 100 * time.Millisecond
	crashTimes   = 2
	poisonEvery  = 5 * time.Second
	clientTries  = 4
)

type (
	// Run is one measurement: a trace under a scenario by a system.
	Run struct {
		Trace    *trace.Trace
		Scenario string
		System   string
		Bin      string
	}

	// stage is a run's processes.
	stage struct {
		run     Run
		rig     *rig.Rig
		engines []rig.Standin
		svcs    []rig.Standin
		keys    map[string]string
		wg      conc.WaitGroup
	}
)

// Measure carries a run out and reports.
func Measure(ctx context.Context, run Run) (*replay.Report, error) {
	dir, err := os.MkdirTemp("", "bench")
	if err != nil {
		return nil, fault.Wrap("make folder", "", err)
	}
	defer func() { _ = os.RemoveAll(dir) }()
	r, err := rig.New(rig.Options{BinDir: run.Bin, Dir: dir, Instances: instances, Replicas: replicas, ExtraSettings: Systems[run.System]})
	if err != nil {
		return nil, err
	}
	defer r.Close()
	s := &stage{run: run, rig: r, keys: map[string]string{}}
	if err := s.setUp(); err != nil {
		return nil, err
	}
	return s.play(ctx)
}

func (s *stage) setUp() error {
	if err := s.rig.Start(); err != nil {
		return err
	}
	all := s.contracts()
	for i, k := range all {
		last := i == len(all)-1
		out, err := s.rig.Instances[0].PutContract(admin.Change{Contract: k, Author: "bench", Wait: last})
		if err != nil || out.Code != ctrl.OK {
			return fault.Errorf("enter contract", k.Customer, "%s %s %v", out.Code, out.Reason, err)
		}
	}
	n := 12
	if s.run.Trace.Header.Name == "dvorak" {
		n = 18
	}
	for i := range n {
		step := "9ms"
		if i%unevenEvery == 0 {
			step = "14ms"
		}
		e, err := s.rig.Standin("engine", fmt.Sprintf("e%d", i+1), zone(i), s.run.Trace.Header.Model,
			append(s.extra(), "--step", step, "--per-run", "1ms", "--slots", "8")...)
		if err != nil {
			return err
		}
		s.engines = append(s.engines, e)
	}
	for i := range 3 {
		e, err := s.rig.Standin("service", fmt.Sprintf("s%d", i+1), zone(i), s.run.Trace.Header.Service,
			append(s.extra(), "--lookup")...)
		if err != nil {
			return err
		}
		s.svcs = append(s.svcs, e)
	}
	return rig.WaitUntil("all endpoints are live", func() bool {
		in := s.rig.Instances[0]
		return in.LiveEndpoints(s.run.Trace.Header.Model) == n && in.LiveEndpoints(s.run.Trace.Header.Service) == 3
	})
}

// extra returns the flags that the stand-ins need for the system.
func (s *stage) extra() []string {
	if s.run.System == Alone {
		return []string{"--announce-all"}
	}
	return nil
}

func zone(i int) string {
	return string(rune('a' + i%3))
}

// contracts returns the contracts that the trace's classes add up to.
func (s *stage) contracts() []contr.Contract {
	var order []string
	all := map[string]*contr.Contract{}
	for _, c := range s.run.Trace.Header.Classes {
		k := all[c.Customer]
		if k == nil {
			key := "key-of-" + c.Customer
			s.keys[c.Customer] = key
			k = &contr.Contract{Customer: c.Customer, Keys: []string{contr.HashKey(key)}}
			all[c.Customer] = k
			order = append(order, c.Customer)
		}
		k.Classes = append(k.Classes, contr.Class{
			Name: c.Class, Tier: c.Tier, Share: c.Share, FirstTokenTarget: contr.Duration(c.First.Std()), TokenIntervalTarget: contr.Duration(c.Gap.Std()),
			MaxQueueTime: contr.Duration(c.MaxWait.Std()),
		})
	}
	var out []contr.Contract
	for _, name := range order {
		out = append(out, *all[name])
	}
	return out
}

func (s *stage) play(ctx context.Context) (*replay.Report, error) {
	tr := s.run.Trace
	if s.run.Scenario != "burst" {
		tr = tr.Sample(calmTenths)
	}
	if s.run.Scenario == "poison" {
		tr = poisoned(tr)
	}
	opt := replay.Options{Keys: s.keys, Retries: clientTries, Verify: true}
	for _, in := range s.rig.Instances {
		opt.Targets = append(opt.Targets, in.Callers)
	}
	for _, e := range s.engines {
		opt.Engines = append(opt.Engines, e.Addr)
	}
	for _, e := range s.svcs {
		opt.Services = append(opt.Services, e.Addr)
	}
	fctx, stop := context.WithCancel(ctx)
	s.faults(fctx)
	rep, err := replay.Run(ctx, tr, opt)
	stop()
	s.wg.Wait()
	return rep, err
}

// poisoned adds requests that crash the engine that runs them.
func poisoned(t *trace.Trace) *trace.Trace {
	out := &trace.Trace{Header: t.Header}
	next := trace.Millis(poisonEvery.Milliseconds() / 2)
	for _, r := range t.Records {
		if r.Kind == trace.Chat && r.Arrival >= next {
			r.Marker = "[[crash]]"
			next += trace.Millis(poisonEvery.Milliseconds())
		}
		out.Records = append(out.Records, r)
	}
	return out
}

func (s *stage) faults(ctx context.Context) {
	switch s.run.Scenario {
	case "straggler":
		s.wg.Go(func() { s.straggle(ctx) })
	case "crash":
		s.wg.Go(func() { s.crash(ctx) })
		s.wg.Go(func() { s.revive(ctx) })
	case "poison":
		s.wg.Go(func() { s.revive(ctx) })
	case "restart":
		s.wg.Go(func() { s.restart(ctx) })
	}
}

// straggle makes two engines five times as slow for the middle of the trace.
func (s *stage) straggle(ctx context.Context) {
	if !pace.Sleep(ctx, 3*time.Second) {
		return
	}
	for _, e := range s.engines[1:3] {
		post(e.Addr, "/fault/slow/5")
	}
	if !pace.Sleep(ctx, 8*time.Second) {
		return
	}
	for _, e := range s.engines[1:3] {
		post(e.Addr, "/fault/slow/1")
	}
}

// crash ends engines at once, one after another.
func (s *stage) crash(ctx context.Context) {
	for i := range crashTimes {
		if !pace.Sleep(ctx, 4*time.Second) {
			return
		}
		s.engines[1+i].Kill()
	}
}

// revive starts engines again that have ended, a while later.
func (s *stage) revive(ctx context.Context) {
	for pace.Sleep(ctx, reviveCheck) {
		for i := range s.engines {
			e := &s.engines[i]
			if !e.Exited() || !pace.Sleep(ctx, time.Second) {
				continue
			}
			again, err := s.rig.StandinAt(e.Addr, "engine", fmt.Sprintf("e%d", i+1), zone(i), s.run.Trace.Header.Model,
				append(s.extra(), "--step", "9ms", "--per-run", "1ms", "--slots", "8")...)
			if err == nil {
				*e = again
			}
		}
	}
}

// restart stops and starts the instances one after another.
func (s *stage) restart(ctx context.Context) {
	for _, in := range s.rig.Instances {
		if !pace.Sleep(ctx, restartPause/2) {
			return
		}
		if err := in.Stop(); err != nil {
			fmt.Fprintln(os.Stderr, "bench: restart:", in.Name, err)
		}
		if err := s.rig.StartInstance(in); err != nil {
			fmt.Fprintln(os.Stderr, "bench: restart:", err)
			return
		}
		_ = rig.WaitUntil(in.Name+" is ready", in.Ready)
	}
}

// PrintTable writes the head of the table.
func PrintTable(w io.Writer, rows []Row) error {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(tw, "trace\tscenario\tsystem\tsent\tattained by tier (%)\tall (%)\tgoodput/s\twasted tokens\tdoubled\twrong")
	for _, r := range rows {
		rep := r.Report
		wrong := 0
		for _, c := range rep.Classes {
			wrong += c.Mismatched
		}
		_, _ = fmt.Fprintf(tw, "%s\t%s\t%s\t%d\t%s\t%.1f\t%.1f\t%d (%.1f%%)\t%d\t%d\n", r.Run.Trace.Header.Name, r.Run.Scenario, r.Run.System,
			rep.Sent, tiers(rep), 100*float64(rep.Attained)/float64(max(rep.Sent, 1)), rep.Goodput, rep.Wasted,
			100*float64(rep.Wasted)/float64(max(rep.Generated, 1)), rep.DuplicateRuns, wrong)
	}
	return tw.Flush()
}

// Row is one run with its report.
type Row struct {
	Run    Run
	Report *replay.Report
}

func tiers(rep *replay.Report) string {
	out := ""
	by := rep.CountsByTier()
	for t := 1; t <= contr.Tiers; t++ {
		if v, ok := by[t]; ok {
			out += fmt.Sprintf("%d:%.0f ", t, 100*float64(v[1])/float64(max(v[0], 1)))
		}
	}
	return out
}

func post(a netip.AddrPort, path string) {
	resp, err := http.Post(fmt.Sprintf("http://%s%s", a, path), "", nil)
	if err != nil {
		fmt.Fprintln(os.Stderr, "bench:", fault.Wrap("order fault", a.String(), err))
		return
	}
	_ = resp.Body.Close()
}
