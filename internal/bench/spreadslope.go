package bench

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/greengagewheel/greengagewheel/internal/admin"
	"github.com/greengagewheel/greengagewheel/internal/contr"
	"github.com/greengagewheel/greengagewheel/internal/ctrl"
	"github.com/greengagewheel/greengagewheel/internal/fault"
	"github.com/greengagewheel/greengagewheel/internal/rig"
)

const (
	// idleFor is the period in which each instance registers once.
	idleFor      = 20 * time.Second
	idleSettle   = 3 * time.Second
	ticksPerSec  = 100
	changesTotal = 200
	killEvery    = 48
	// changesAtOnce is the number of operators that make changes at the same time.
	changesAtOnce = 4
	reviveAfter   = 2 * time.Second
)

// usage is what an instance has used so far: processor time, bytes between instances, and memory now.
type usage struct {
	cpu   time.Duration
	bytes float64
	rss   float64
}

func usageOf(in *rig.Instance) (usage, error) {
	var u usage
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", in.Pid()))
	if err != nil {
		return u, err
	}
	f := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+2:]))
	user, _ := strconv.Atoi(f[11])
	sys, _ := strconv.Atoi(f[12])
	pages, _ := strconv.Atoi(f[21])
	u.cpu = time.Duration(user+sys) * time.Second / ticksPerSec
	u.rss = float64(pages * os.Getpagesize())
	in1, err := gauge(in, "peer_bytes_received")
	if err != nil {
		return u, err
	}
	out, err := gauge(in, "peer_bytes_sent")
	u.bytes = in1 + out
	return u, err
}

// gauge reads one gauge from an instance's metrics.
func gauge(in *rig.Instance, name string) (float64, error) {
	q, err := http.NewRequest(http.MethodGet, fmt.Sprintf("http://%s/metrics", in.Operators), nil)
	if err != nil {
		return 0, err
	}
	q.Header.Set("Authorization", "Bearer "+rig.OperatorKey)
	resp, err := http.DefaultClient.Do(q)
	if err != nil {
		return 0, fault.Wrap("read metrics", in.Name, err)
	}
	defer func() { _ = resp.Body.Close() }()
	sc := bufio.NewScanner(resp.Body)
	for sc.Scan() {
		if v, ok := strings.CutPrefix(sc.Text(), "greengagewheel_"+name+" "); ok {
			return strconv.ParseFloat(v, 64)
		}
	}
	return 0, fault.Errorf("read metrics", in.Name, "no gauge %s", name)
}

func newRig(bin string, n, replicas int) (*rig.Rig, func(), error) {
	dir, err := os.MkdirTemp("", "spread")
	if err != nil {
		return nil, nil, err
	}
	r, err := rig.New(rig.Options{BinDir: bin, Dir: dir, Instances: n, Replicas: replicas})
	if err == nil {
		err = r.Start()
	}
	stop := func() {
		if r != nil {
			r.Close()
		}
		_ = os.RemoveAll(dir)
	}
	return r, stop, err
}

// mean use of the instances without the log, and of the busiest one of all, a second.
func used(r *rig.Rig, replicas int, d time.Duration) (plain, top usage, err error) {
	before := make([]usage, len(r.Instances))
	for i, in := range r.Instances {
		if before[i], err = usageOf(in); err != nil {
			return
		}
	}
	start := time.Now()
	time.Sleep(d)
	took := time.Since(start).Seconds()
	for i, in := range r.Instances {
		var u usage
		if u, err = usageOf(in); err != nil {
			return
		}
		u.cpu = time.Duration(float64(u.cpu-before[i].cpu) / took)
		u.bytes = (u.bytes - before[i].bytes) / took
		top.cpu, top.bytes, top.rss = max(top.cpu, u.cpu), max(top.bytes, u.bytes), max(top.rss, u.rss)
		if i < replicas {
			continue
		}
		n := float64(len(r.Instances) - replicas)
		plain.cpu += time.Duration(float64(u.cpu) / n)
		plain.bytes += u.bytes / n
		plain.rss += u.rss / n
	}
	return
}

// SpreadSlopes measures what an idle instance spends on control against the number of instances.
func SpreadSlopes(bin string) ([]Slope, error) {
	var bytesPlain, bytesTop, cpuPlain, cpuTop, rss []Point
	for _, n := range []int{6, 9, 18, 36} {
		r, stop, err := newRig(bin, n, 3)
		if err != nil {
			return nil, err
		}
		time.Sleep(idleSettle)
		plain, top, err := used(r, 3, idleFor)
		stop()
		if err != nil {
			return nil, err
		}
		x := float64(n)
		bytesPlain = append(bytesPlain, Point{x, plain.bytes / 1000})
		bytesTop = append(bytesTop, Point{x, top.bytes / 1000})
		cpuPlain = append(cpuPlain, Point{x, 100 * plain.cpu.Seconds()})
		cpuTop = append(cpuTop, Point{x, 100 * top.cpu.Seconds()})
		rss = append(rss, Point{x, plain.rss / 1e6})
	}
	return []Slope{
		Fit("idle instance without the log: KB/s between instances, by instances", "KB/s", bytesPlain),
		Fit("idle, busiest instance: KB/s between instances, by instances", "KB/s", bytesTop),
		Fit("idle instance without the log: % of a core, by instances", "%", cpuPlain),
		Fit("idle, busiest instance: % of a core, by instances", "%", cpuTop),
		Fit("idle instance without the log: MB resident, by instances", "MB", rss),
	}, nil
}

// smallContract is a contract that takes no share.
func smallContract(i, version int) contr.Contract {
	return contr.Contract{
		Customer: fmt.Sprintf("org-%d", i), Keys: []string{contr.HashKey(fmt.Sprint("key of org ", i))}, Ceiling: int64(version),
		Classes: []contr.Class{
			{Name: "quick", Tier: 1 + i%6, MaxQueueTime: contr.Duration(8 * time.Second), RequestRate: 10},
			{Name: "slow", Tier: 6, MaxQueueTime: contr.Duration(60 * time.Second)},
		},
	}
}

// ContractSlopes measures memory against contracts, and bytes against changes a second.
func ContractSlopes(bin string) ([]Slope, error) {
	r, stop, err := newRig(bin, 9, 3)
	if err != nil {
		return nil, err
	}
	defer stop()
	var mem, bytes, cpu []Point
	have := 0
	for _, n := range []int{0, 500, 1000, 2000} {
		for ; have < n; have++ {
			if _, err := r.Instances[have%9].PutContract(admin.Change{Author: "bench", Contract: smallContract(have, 0)}); err != nil {
				return nil, err
			}
		}
		time.Sleep(2 * time.Second)
		u, err := usageOf(r.Instances[8])
		if err != nil {
			return nil, err
		}
		mem = append(mem, Point{float64(n), u.rss / 1e6})
	}
	for _, rate := range []int{0, 10, 40} {
		stopChanges := make(chan struct{})
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			steadyChanges(r, rate, stopChanges)
		}()
		plain, _, err := used(r, 3, idleFor)
		close(stopChanges)
		<-ended
		if err != nil {
			return nil, err
		}
		bytes = append(bytes, Point{float64(rate), plain.bytes / 1000})
		cpu = append(cpu, Point{float64(rate), 100 * plain.cpu.Seconds()})
	}
	return []Slope{
		Fit("instance without the log: MB resident, by contracts", "MB", mem),
		Fit("instance without the log, 2,000 contracts: KB/s, by changes a second", "KB/s", bytes),
		Fit("instance without the log, 2,000 contracts: % of a core, by changes a second", "%", cpu),
	}, nil
}

// steadyChanges makes new contracts at a rate a second until stopped.
func steadyChanges(r *rig.Rig, rate int, stop <-chan struct{}) {
	if rate == 0 {
		<-stop
		return
	}
	t := time.NewTicker(time.Second / time.Duration(rate))
	defer t.Stop()
	for i := 10_000 * rate; ; i++ {
		select {
		case <-stop:
			return
		case <-t.C:
			_, _ = r.Instances[i%9].PutContract(admin.Change{Author: "bench", Contract: smallContract(i, 1)})
		}
	}
}

// InForce is how long changes took until they were in force everywhere, and the longest time without a commit.
type InForce struct {
	Kills       int
	Median, P99 time.Duration
	Max         time.Duration
	Gap         time.Duration
}

// InForceEverywhere makes 200 changes on nine instances, four at a time, and kills the leader every 50 of them where kill is set.
func InForceEverywhere(bin string, kill bool) (InForce, error) {
	r, stop, err := newRig(bin, 9, 3)
	if err != nil {
		return InForce{}, err
	}
	defer stop()
	var took []time.Duration
	res := InForce{}
	for i := 0; i < changesTotal; i += changesAtOnce {
		if kill && i%killEvery == killEvery/2/changesAtOnce*changesAtOnce {
			if leader := r.Leader(); leader != nil {
				leader.Kill()
				res.Kills++
				time.AfterFunc(reviveAfter, func() { _ = r.StartInstance(leader) })
			}
		}
		ds, err := changesTogether(r, i)
		if err != nil {
			return res, err
		}
		took = append(took, ds...)
	}
	res.Median, res.P99, res.Max = spanQuantile(took, 0.5), spanQuantile(took, 0.99), spanQuantile(took, 1)
	return res, nil
}

// changesTogether makes a few changes at once and returns how long each took.
func changesTogether(r *rig.Rig, from int) ([]time.Duration, error) {
	took := make([]time.Duration, changesAtOnce)
	errs := make([]error, changesAtOnce)
	var wg conc.WaitGroup
	for k := range changesAtOnce {
		wg.Go(func() { took[k], errs[k] = changeOnce(r, from+k) })
	}
	wg.Wait()
	return took, errors.Join(errs...)
}

// changeOnce makes one change and sends it again until it is in force everywhere.
func changeOnce(r *rig.Rig, i int) (time.Duration, error) {
	start := time.Now()
	ch := admin.Change{ChangeID: fmt.Sprint("change-", i), Author: "bench", Wait: true, Contract: smallContract(i, 0)}
	for try := 0; time.Since(start) < rig.WaitTimeout; try++ {
		in := r.Instances[(i+try)%len(r.Instances)]
		if in.Exited() {
			continue
		}
		out, err := in.PutContract(ch)
		if err == nil && out.Code == ctrl.OK && out.InstanceCount > 0 {
			return time.Since(start), nil
		}
	}
	return 0, fault.Errorf("change", "", "change %d was not in force within %s", i, rig.WaitTimeout)
}

// CommitGap measures the longest time without a commit around kills of the leader, under a steady stream of changes.
func CommitGap(bin string, kills int) ([]time.Duration, error) {
	r, stop, err := newRig(bin, 9, 3)
	if err != nil {
		return nil, err
	}
	defer stop()
	var gaps []time.Duration
	for k := range kills {
		leader := r.Leader()
		if leader == nil {
			return gaps, rig.ErrTimeout
		}
		via := r.Instances[8]
		leader.Kill()
		start := time.Now()
		if err := rig.WaitUntil("a commit after the kill", func() bool {
			out, err := via.PutContract(admin.Change{ChangeID: fmt.Sprint("gap", k), Author: "bench", Contract: smallContract(k, 0)})
			return err == nil && out.Code == ctrl.OK
		}); err != nil {
			return gaps, err
		}
		gaps = append(gaps, time.Since(start))
		if err := r.StartInstance(leader); err != nil {
			return gaps, err
		}
		if err := r.WaitReady(); err != nil {
			return gaps, err
		}
		time.Sleep(time.Second)
	}
	return gaps, nil
}

// PrintSpans writes the quantiles of spans.
func PrintSpans(w io.Writer, name string, ds []time.Duration) {
	_, _ = fmt.Fprintf(w, "%-52s n=%d median=%s 99%%=%s max=%s\n", name, len(ds), spanQuantile(ds, 0.5).Round(time.Millisecond),
		spanQuantile(ds, 0.99).Round(time.Millisecond), spanQuantile(ds, 1).Round(time.Millisecond))
}
