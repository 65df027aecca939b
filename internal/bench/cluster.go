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
	// measurePeriod equals the interval at which each instance registers, so that every measurement includes one registration.
	measurePeriod    = 20 * time.Second
	settleTime       = 3 * time.Second // wait between the start of the instances and a measurement
	clockTicksPerSec = 100             // unit of the CPU times in /proc/PID/stat (USER_HZ)
	changesTotal     = 200             // changes that one MeasurePropagation makes
	// killInterval is the number of changes between two kills of the leader.
	killInterval = 48
	// concurrentChanges is the number of changes made at the same time, as if by different operators.
	concurrentChanges = 4
	// restartDelay is the time from the kill of the leader to its restart.
	restartDelay = 2 * time.Second
)

// usage holds an instance's total CPU time and bytes exchanged with other instances, and its resident memory in bytes.
type usage struct {
	cpu       time.Duration
	peerBytes float64
	rss       float64
}

func readUsage(in *rig.Instance) (usage, error) {
	var u usage
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", in.Pid()))
	if err != nil {
		return u, err
	}
	fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+2:]))
	user, _ := strconv.Atoi(fields[11])
	sys, _ := strconv.Atoi(fields[12])
	pages, _ := strconv.Atoi(fields[21])
	u.cpu = time.Duration(user+sys) * time.Second / clockTicksPerSec
	u.rss = float64(pages * os.Getpagesize())
	received, err := readGauge(in, "peer_bytes_received")
	if err != nil {
		return u, err
	}
	sent, err := readGauge(in, "peer_bytes_sent")
	u.peerBytes = received + sent
	return u, err
}

// readGauge reads one gauge from an instance's metrics.
func readGauge(in *rig.Instance, name string) (float64, error) {
	req, err := http.NewRequest(http.MethodGet, fmt.Sprintf("http://%s/metrics", in.Operators), nil)
	if err != nil {
		return 0, err
	}
	req.Header.Set("Authorization", "Bearer "+rig.OperatorKey)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, fault.Wrap("read metrics", in.Name, err)
	}
	defer func() { _ = resp.Body.Close() }()
	scanner := bufio.NewScanner(resp.Body)
	for scanner.Scan() {
		if v, ok := strings.CutPrefix(scanner.Text(), "greengagewheel_"+name+" "); ok {
			return strconv.ParseFloat(v, 64)
		}
	}
	return 0, fault.Errorf("read metrics", in.Name, "no gauge %s", name)
}

// startRig starts n instances, the first replicas of which hold the log. The returned function stops them and removes their files.
func startRig(bin string, n, replicas int) (*rig.Rig, func(), error) {
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

// usageRates measures usage per second over period: the mean of the instances without a log replica, and the largest values
// of any instance. Memory is the amount at the end.
func usageRates(r *rig.Rig, replicas int, period time.Duration) (nonReplica, busiest usage, err error) {
	before := make([]usage, len(r.Instances))
	for i, in := range r.Instances {
		if before[i], err = readUsage(in); err != nil {
			return
		}
	}
	start := time.Now()
	time.Sleep(period)
	elapsed := time.Since(start).Seconds()
	for i, in := range r.Instances {
		var rate usage
		if rate, err = readUsage(in); err != nil {
			return
		}
		rate.cpu = time.Duration(float64(rate.cpu-before[i].cpu) / elapsed)
		rate.peerBytes = (rate.peerBytes - before[i].peerBytes) / elapsed
		busiest.cpu, busiest.peerBytes, busiest.rss =
			max(busiest.cpu, rate.cpu), max(busiest.peerBytes, rate.peerBytes), max(busiest.rss, rate.rss)
		if i < replicas {
			continue
		}
		nonReplicas := float64(len(r.Instances) - replicas)
		nonReplica.cpu += time.Duration(float64(rate.cpu) / nonReplicas)
		nonReplica.peerBytes += rate.peerBytes / nonReplicas
		nonReplica.rss += rate.rss / nonReplicas
	}
	return
}

// MeasureIdleInstances measures the CPU time, traffic and memory of idle instances, by number of instances.
func MeasureIdleInstances(bin string) ([]Line, error) {
	var bytesNonReplica, bytesBusiest, cpuNonReplica, cpuBusiest, rss []Point
	for _, n := range []int{6, 9, 18, 36} {
		r, stop, err := startRig(bin, n, 3)
		if err != nil {
			return nil, err
		}
		time.Sleep(settleTime)
		nonReplica, busiest, err := usageRates(r, 3, measurePeriod)
		stop()
		if err != nil {
			return nil, err
		}
		x := float64(n)
		bytesNonReplica = append(bytesNonReplica, Point{x, nonReplica.peerBytes / 1000})
		bytesBusiest = append(bytesBusiest, Point{x, busiest.peerBytes / 1000})
		cpuNonReplica = append(cpuNonReplica, Point{x, 100 * nonReplica.cpu.Seconds()})
		cpuBusiest = append(cpuBusiest, Point{x, 100 * busiest.cpu.Seconds()})
		rss = append(rss, Point{x, nonReplica.rss / 1e6})
	}
	return []Line{
		FitLine("idle instance without the log: KB/s between instances, by instances", "KB/s", bytesNonReplica),
		FitLine("idle, busiest instance: KB/s between instances, by instances", "KB/s", bytesBusiest),
		FitLine("idle instance without the log: % of a core, by instances", "%", cpuNonReplica),
		FitLine("idle, busiest instance: % of a core, by instances", "%", cpuBusiest),
		FitLine("idle instance without the log: MB resident, by instances", "MB", rss),
	}, nil
}

// smallContract returns the contract of customer i, without a guaranteed share. Contracts of one customer differ by their ceiling.
func smallContract(i, ceiling int) contr.Contract {
	return contr.Contract{
		Customer: fmt.Sprintf("org-%d", i), Keys: []string{contr.HashKey(fmt.Sprint("key of org ", i))}, Ceiling: int64(ceiling),
		Classes: []contr.Class{
			{Name: "quick", Tier: 1 + i%6, MaxQueueTime: contr.Duration(8 * time.Second), RequestRate: 10},
			{Name: "slow", Tier: 6, MaxQueueTime: contr.Duration(60 * time.Second)},
		},
	}
}

// MeasureContracts measures memory by number of contracts, and traffic and CPU time by changes per second.
func MeasureContracts(bin string) ([]Line, error) {
	r, stop, err := startRig(bin, 9, 3)
	if err != nil {
		return nil, err
	}
	defer stop()
	var memory, bytes, cpu []Point
	stored := 0
	for _, n := range []int{0, 500, 1000, 2000} {
		for ; stored < n; stored++ {
			if _, err := r.Instances[stored%9].PutContract(admin.Change{Author: "bench", Contract: smallContract(stored, 0)}); err != nil {
				return nil, err
			}
		}
		time.Sleep(2 * time.Second)
		sample, err := readUsage(r.Instances[8])
		if err != nil {
			return nil, err
		}
		memory = append(memory, Point{float64(n), sample.rss / 1e6})
	}
	for _, rate := range []int{0, 10, 40} {
		stopChanges := make(chan struct{})
		changesEnded := make(chan struct{})
		go func() {
			defer close(changesEnded)
			putContractsAtRate(r, rate, stopChanges)
		}()
		nonReplica, _, err := usageRates(r, 3, measurePeriod)
		close(stopChanges)
		<-changesEnded
		if err != nil {
			return nil, err
		}
		bytes = append(bytes, Point{float64(rate), nonReplica.peerBytes / 1000})
		cpu = append(cpu, Point{float64(rate), 100 * nonReplica.cpu.Seconds()})
	}
	return []Line{
		FitLine("instance without the log: MB resident, by contracts", "MB", memory),
		FitLine("instance without the log, 2,000 contracts: KB/s, by changes a second", "KB/s", bytes),
		FitLine("instance without the log, 2,000 contracts: % of a core, by changes a second", "%", cpu),
	}, nil
}

// putContractsAtRate stores rate new contracts per second until stop is closed.
func putContractsAtRate(r *rig.Rig, rate int, stop <-chan struct{}) {
	if rate == 0 {
		<-stop
		return
	}
	ticker := time.NewTicker(time.Second / time.Duration(rate))
	defer ticker.Stop()
	for i := 10_000 * rate; ; i++ {
		select {
		case <-stop:
			return
		case <-ticker.C:
			_, _ = r.Instances[i%9].PutContract(admin.Change{Author: "bench", Contract: smallContract(i, 1)})
		}
	}
}

// PropagationTimes holds the number of leader kills and the times from making a change until it was in force on all instances.
// Gap is not measured.
type PropagationTimes struct {
	Kills       int
	Median, P99 time.Duration
	Max         time.Duration
	Gap         time.Duration
}

// MeasurePropagation makes 200 changes on nine instances, four at a time, and measures how long each takes to be in force on
// all instances. If kill is set, it kills the leader once in every 48 changes and restarts it.
func MeasurePropagation(bin string, kill bool) (PropagationTimes, error) {
	r, stop, err := startRig(bin, 9, 3)
	if err != nil {
		return PropagationTimes{}, err
	}
	defer stop()
	var latencies []time.Duration
	result := PropagationTimes{}
	for i := 0; i < changesTotal; i += concurrentChanges {
		if kill && i%killInterval == killInterval/2/concurrentChanges*concurrentChanges {
			if leader := r.Leader(); leader != nil {
				leader.Kill()
				result.Kills++
				time.AfterFunc(restartDelay, func() { _ = r.StartInstance(leader) })
			}
		}
		batch, err := changeConcurrently(r, i)
		if err != nil {
			return result, err
		}
		latencies = append(latencies, batch...)
	}
	result.Median, result.P99, result.Max = durationQuantile(latencies, 0.5), durationQuantile(latencies, 0.99), durationQuantile(latencies, 1)
	return result, nil
}

// changeConcurrently makes concurrentChanges changes at once and returns how long each took.
func changeConcurrently(r *rig.Rig, first int) ([]time.Duration, error) {
	latencies := make([]time.Duration, concurrentChanges)
	errs := make([]error, concurrentChanges)
	var wg conc.WaitGroup
	for k := range concurrentChanges {
		wg.Go(func() { latencies[k], errs[k] = changeUntilInForce(r, first+k) })
	}
	wg.Wait()
	return latencies, errors.Join(errs...)
}

// changeUntilInForce sends one change repeatedly, to one instance after another, until it is in force on all instances.
func changeUntilInForce(r *rig.Rig, i int) (time.Duration, error) {
	start := time.Now()
	change := admin.Change{ChangeID: fmt.Sprint("change-", i), Author: "bench", Wait: true, Contract: smallContract(i, 0)}
	for try := 0; time.Since(start) < rig.WaitTimeout; try++ {
		in := r.Instances[(i+try)%len(r.Instances)]
		if in.Exited() {
			continue
		}
		out, err := in.PutContract(change)
		if err == nil && out.Code == ctrl.OK && out.InstanceCount > 0 {
			return time.Since(start), nil
		}
	}
	return 0, fault.Errorf("change", "", "change %d was not in force within %s", i, rig.WaitTimeout)
}

// MeasureCommitGap kills the leader repeatedly and measures the time from each kill to the next commit.
func MeasureCommitGap(bin string, kills int) ([]time.Duration, error) {
	r, stop, err := startRig(bin, 9, 3)
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

// PrintDurations writes the count, median, 99th percentile and maximum of durations, which it sorts in place.
func PrintDurations(w io.Writer, name string, durations []time.Duration) {
	_, _ = fmt.Fprintf(w, "%-52s n=%d median=%s 99%%=%s max=%s\n", name, len(durations),
		durationQuantile(durations, 0.5).Round(time.Millisecond), durationQuantile(durations, 0.99).Round(time.Millisecond),
		durationQuantile(durations, 1).Round(time.Millisecond))
}
