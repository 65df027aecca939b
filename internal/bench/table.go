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

// Scenarios lists the scenarios in the order of the table:
//   - calm: no faults
//   - burst: the full load of the trace, which is twice that of the other scenarios
//   - straggler: two engines become five times as slow for a while
//   - crash: engines are killed and restarted
//   - poison: some requests crash the engine that runs them
//   - restart: the instances are restarted one after another
var Scenarios = []string{"calm", "burst", "straggler", "crash", "poison", "restart"}

// SystemAlone is the name of the system in which each instance schedules requests on its own.
const SystemAlone = "alone"

// Systems maps the name of each compared system to the settings that it adds.
var Systems = map[string]string{
	"ours":      "",
	"baseline":  "[limits]\nretry = \"blind\"\n[sched]\npolicy = \"fifo\"\nchoice = \"random\"\n",
	"random":    "[sched]\nchoice = \"random\"\n",
	"round":     "[sched]\nchoice = \"round\"\n",
	"least":     "[sched]\nchoice = \"least\"\n",
	"fifo":      "[sched]\npolicy = \"fifo\"\n",
	SystemAlone: "[sched]\nalone = true\n",
}

const (
	instances            = 9
	replicas             = 3
	normalLoadTenths     = 5 // part of the trace's requests sent in all scenarios but burst
	slowEngineEvery      = 3 // every third engine is slower than the others
	restartPause         = 1500 * time.Millisecond
	restartPoll          = 100 * time.Millisecond // interval between checks for engines that have ended
	engineCrashes        = 2
	crashRequestInterval = 5 * time.Second
	clientRetries        = 4 // times that the replay sends a refused request again
)

type (
	// Run is one measurement: a trace replayed against a system under a scenario. Bin is the folder of the binaries.
	Run struct {
		Trace    *trace.Trace
		Scenario string
		System   string
		Bin      string
	}

	// testbed holds the processes of a run and the API key of each customer.
	testbed struct {
		run      Run
		rig      *rig.Rig
		engines  []rig.Standin
		services []rig.Standin
		keys     map[string]string
		wg       conc.WaitGroup
	}
)

// MeasureRun starts the processes of a run, replays its trace and returns the report.
func MeasureRun(ctx context.Context, run Run) (*replay.Report, error) {
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
	tb := &testbed{run: run, rig: r, keys: map[string]string{}}
	if err := tb.start(); err != nil {
		return nil, err
	}
	return tb.replayTrace(ctx)
}

// start starts all processes, stores the contracts and waits until all endpoints are live.
func (tb *testbed) start() error {
	if err := tb.rig.Start(); err != nil {
		return err
	}
	contracts := tb.contracts()
	for i, c := range contracts {
		last := i == len(contracts)-1
		out, err := tb.rig.Instances[0].PutContract(admin.Change{Contract: c, Author: "bench", Wait: last})
		if err != nil || out.Code != ctrl.OK {
			return fault.Errorf("store contract", c.Customer, "%s %s %v", out.Code, out.Reason, err)
		}
	}
	engines := 12
	if tb.run.Trace.Header.Name == "dvorak" {
		engines = 18
	}
	for i := range engines {
		step := "9ms"
		if i%slowEngineEvery == 0 {
			step = "14ms"
		}
		engine, err := tb.rig.Standin("engine", fmt.Sprintf("e%d", i+1), zoneOf(i), tb.run.Trace.Header.Model,
			append(tb.standinFlags(), "--step", step, "--per-run", "1ms", "--slots", "8")...)
		if err != nil {
			return err
		}
		tb.engines = append(tb.engines, engine)
	}
	for i := range 3 {
		service, err := tb.rig.Standin("service", fmt.Sprintf("s%d", i+1), zoneOf(i), tb.run.Trace.Header.Service,
			append(tb.standinFlags(), "--lookup")...)
		if err != nil {
			return err
		}
		tb.services = append(tb.services, service)
	}
	return rig.WaitUntil("all endpoints are live", func() bool {
		in := tb.rig.Instances[0]
		return in.LiveEndpoints(tb.run.Trace.Header.Model) == engines && in.LiveEndpoints(tb.run.Trace.Header.Service) == 3
	})
}

// standinFlags returns the additional flags of simulated engines and services for the system.
func (tb *testbed) standinFlags() []string {
	if tb.run.System == SystemAlone {
		return []string{"--announce-all"}
	}
	return nil
}

// zoneOf returns one of the zones a, b and c in turn.
func zoneOf(i int) string {
	return string(rune('a' + i%3))
}

// contracts returns a contract for each customer, with its classes in the trace, and sets the customers' API keys.
func (tb *testbed) contracts() []contr.Contract {
	var order []string
	byCustomer := map[string]*contr.Contract{}
	for _, c := range tb.run.Trace.Header.Classes {
		contract := byCustomer[c.Customer]
		if contract == nil {
			key := "key-of-" + c.Customer
			tb.keys[c.Customer] = key
			contract = &contr.Contract{Customer: c.Customer, Keys: []string{contr.HashKey(key)}}
			byCustomer[c.Customer] = contract
			order = append(order, c.Customer)
		}
		contract.Classes = append(contract.Classes, contr.Class{
			Name: c.Class, Tier: c.Tier, Share: c.Share, FirstTokenTarget: contr.Duration(c.First.Std()),
			TokenIntervalTarget: contr.Duration(c.Gap.Std()), MaxQueueTime: contr.Duration(c.MaxWait.Std()),
		})
	}
	var out []contr.Contract
	for _, name := range order {
		out = append(out, *byCustomer[name])
	}
	return out
}

// replayTrace replays the trace while it injects the scenario's faults.
func (tb *testbed) replayTrace(ctx context.Context) (*replay.Report, error) {
	tr := tb.run.Trace
	if tb.run.Scenario != "burst" {
		tr = tr.Sample(normalLoadTenths)
	}
	if tb.run.Scenario == "poison" {
		tr = withCrashRequests(tr)
	}
	options := replay.Options{Keys: tb.keys, Retries: clientRetries, Verify: true}
	for _, in := range tb.rig.Instances {
		options.Targets = append(options.Targets, in.Callers)
	}
	for _, e := range tb.engines {
		options.Engines = append(options.Engines, e.Addr)
	}
	for _, e := range tb.services {
		options.Services = append(options.Services, e.Addr)
	}
	faultCtx, stopFaults := context.WithCancel(ctx)
	tb.injectFaults(faultCtx)
	report, err := replay.Run(ctx, tr, options)
	stopFaults()
	tb.wg.Wait()
	return report, err
}

// withCrashRequests returns the trace with one chat request per crashRequestInterval marked to crash the engine that runs it.
func withCrashRequests(tr *trace.Trace) *trace.Trace {
	out := &trace.Trace{Header: tr.Header}
	nextMillis := trace.Millis(crashRequestInterval.Milliseconds() / 2)
	for _, r := range tr.Records {
		if r.Kind == trace.Chat && r.Arrival >= nextMillis {
			r.Marker = "[[crash]]"
			nextMillis += trace.Millis(crashRequestInterval.Milliseconds())
		}
		out.Records = append(out.Records, r)
	}
	return out
}

// injectFaults starts the goroutines that inject the scenario's faults until ctx ends.
func (tb *testbed) injectFaults(ctx context.Context) {
	switch tb.run.Scenario {
	case "straggler":
		tb.wg.Go(func() { tb.slowEngines(ctx) })
	case "crash":
		tb.wg.Go(func() { tb.crashEngines(ctx) })
		tb.wg.Go(func() { tb.restartEnded(ctx) })
	case "poison":
		tb.wg.Go(func() { tb.restartEnded(ctx) })
	case "restart":
		tb.wg.Go(func() { tb.rollingRestart(ctx) })
	}
}

// slowEngines makes two engines five times as slow for 8 s in the middle of the trace.
func (tb *testbed) slowEngines(ctx context.Context) {
	if !pace.Sleep(ctx, 3*time.Second) {
		return
	}
	for _, e := range tb.engines[1:3] {
		injectFault(e.Addr, "/fault/slow/5")
	}
	if !pace.Sleep(ctx, 8*time.Second) {
		return
	}
	for _, e := range tb.engines[1:3] {
		injectFault(e.Addr, "/fault/slow/1")
	}
}

// crashEngines kills engineCrashes engines, one after another.
func (tb *testbed) crashEngines(ctx context.Context) {
	for i := range engineCrashes {
		if !pace.Sleep(ctx, 4*time.Second) {
			return
		}
		tb.engines[1+i].Kill()
	}
}

// restartEnded restarts engines that have ended, each after a delay of 1 s.
func (tb *testbed) restartEnded(ctx context.Context) {
	for pace.Sleep(ctx, restartPoll) {
		for i := range tb.engines {
			e := &tb.engines[i]
			if !e.Exited() || !pace.Sleep(ctx, time.Second) {
				continue
			}
			restarted, err := tb.rig.StandinAt(e.Addr, "engine", fmt.Sprintf("e%d", i+1), zoneOf(i), tb.run.Trace.Header.Model,
				append(tb.standinFlags(), "--step", "9ms", "--per-run", "1ms", "--slots", "8")...)
			if err == nil {
				*e = restarted
			}
		}
	}
}

// rollingRestart stops and restarts the instances one after another, waiting until each is ready.
func (tb *testbed) rollingRestart(ctx context.Context) {
	for _, in := range tb.rig.Instances {
		if !pace.Sleep(ctx, restartPause/2) {
			return
		}
		if err := in.Stop(); err != nil {
			fmt.Fprintln(os.Stderr, "bench: restart:", in.Name, err)
		}
		if err := tb.rig.StartInstance(in); err != nil {
			fmt.Fprintln(os.Stderr, "bench: restart:", err)
			return
		}
		_ = rig.WaitUntil(in.Name+" is ready", in.Ready)
	}
}

// PrintTable writes a table with one row per run.
func PrintTable(w io.Writer, rows []Row) error {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(tw, "trace\tscenario\tsystem\tsent\tattained by tier (%)\tall (%)\tgoodput/s\twasted tokens\tdoubled\twrong")
	for _, r := range rows {
		report := r.Report
		wrong := 0
		for _, c := range report.Classes {
			wrong += c.Mismatched
		}
		_, _ = fmt.Fprintf(tw, "%s\t%s\t%s\t%d\t%s\t%.1f\t%.1f\t%d (%.1f%%)\t%d\t%d\n", r.Run.Trace.Header.Name, r.Run.Scenario, r.Run.System,
			report.Sent, tierSummary(report), 100*float64(report.Attained)/float64(max(report.Sent, 1)), report.Goodput, report.Wasted,
			100*float64(report.Wasted)/float64(max(report.Generated, 1)), report.DuplicateRuns, wrong)
	}
	return tw.Flush()
}

// Row holds a run and its report.
type Row struct {
	Run    Run
	Report *replay.Report
}

// tierSummary returns the percentage of requests that attained their targets, by tier.
func tierSummary(report *replay.Report) string {
	out := ""
	byTier := report.CountsByTier()
	for tier := 1; tier <= contr.Tiers; tier++ {
		if counts, ok := byTier[tier]; ok {
			out += fmt.Sprintf("%d:%.0f ", tier, 100*float64(counts[1])/float64(max(counts[0], 1)))
		}
	}
	return out
}

// injectFault posts to a fault path of a simulated engine.
func injectFault(addr netip.AddrPort, path string) {
	resp, err := http.Post(fmt.Sprintf("http://%s%s", addr, path), "", nil)
	if err != nil {
		fmt.Fprintln(os.Stderr, "bench:", fault.Wrap("inject fault", addr.String(), err))
		return
	}
	_ = resp.Body.Close()
}
