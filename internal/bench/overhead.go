package bench

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"strings"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/greengagewheel/greengagewheel/internal/contr"
	"github.com/greengagewheel/greengagewheel/internal/fault"
	"github.com/greengagewheel/greengagewheel/internal/rig"
	"github.com/greengagewheel/greengagewheel/pkg/chat"
)

const (
	firstTokenRequests = 300
	benchCallerKey     = "key-for-overhead"
	loadDuration       = 6 * time.Second
	loadClientCount    = 64
	loadEngineCount    = 4
)

// Overhead holds the median time to first token with and without the router, and the router's cost by length of the response.
type Overhead struct {
	Direct, Routed time.Duration // median time to first token without and with the router
	Loads          []Load
	CPU            Line // CPU time per request by tokens in the response
}

// Load is the result of a closed loop of requests, in which each client sends its next request when the last has ended.
type Load struct {
	Tokens         int // length of each response
	RequestsPerSec float64
	CPUTime        time.Duration // per request, summed over all instances
	PeerBytes      float64       // bytes between instances per request
}

// MeasureOverhead compares the time to first token through the router with that of a simulated engine called directly, and
// then loads three instances with streams of several lengths.
func MeasureOverhead(bin string) (Overhead, error) {
	var overhead Overhead
	r, stop, err := startRig(bin, 3, 3)
	if err != nil {
		return overhead, err
	}
	defer stop()
	engines, err := startEngines(r, "--step", "1ms", "--slots", "64")
	if err != nil {
		return overhead, err
	}
	if overhead.Direct, err = medianFirstToken(engines[0].Addr); err != nil {
		return overhead, err
	}
	if overhead.Routed, err = medianFirstToken(r.Instances[1].Callers); err != nil {
		return overhead, err
	}
	var points []Point
	for _, tokens := range []int{1, 20, 60} {
		load, err := measureLoad(r, tokens)
		if err != nil {
			return overhead, err
		}
		overhead.Loads = append(overhead.Loads, load)
		points = append(points, Point{float64(tokens), float64(load.CPUTime.Microseconds())})
	}
	overhead.CPU = FitLine("router: us of a core per request, by tokens", "us", points)
	return overhead, nil
}

// startEngines starts simulated engines of model m, stores a contract with the key benchCallerKey and waits until the engines
// are live.
func startEngines(r *rig.Rig, flags ...string) ([]rig.Standin, error) {
	var engines []rig.Standin
	for i := range loadEngineCount {
		e, err := r.Standin("engine", fmt.Sprint("e", i), zoneOf(i), "m", append([]string{"--per-run", "0s"}, flags...)...)
		if err != nil {
			return nil, err
		}
		engines = append(engines, e)
	}
	loadContract := contr.Contract{Customer: "load", Keys: []string{contr.HashKey(benchCallerKey)}, Classes: []contr.Class{{Name: "c", Tier: 1}}}
	if _, err := r.AddContract(loadContract); err != nil {
		return nil, err
	}
	return engines, rig.WaitUntil("engines are live", func() bool { return r.Instances[0].LiveEndpoints("m") == loadEngineCount })
}

// measureLoad runs a closed loop of requests for loadDuration and divides the instances' usage by the requests completed.
func measureLoad(r *rig.Rig, tokens int) (Load, error) {
	before, err := totalUsage(r)
	if err != nil {
		return Load{}, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), loadDuration)
	defer cancel()
	completed := make([]int, loadClientCount)
	start := time.Now()
	var wg conc.WaitGroup
	for client := range loadClientCount {
		wg.Go(func() {
			for ctx.Err() == nil {
				if _, err := streamOnce(r.Instances[client%3].Callers, tokens); err == nil {
					completed[client]++
				}
			}
		})
	}
	wg.Wait()
	elapsed := time.Since(start)
	after, err := totalUsage(r)
	if err != nil {
		return Load{}, err
	}
	requests := 0
	for _, c := range completed {
		requests += c
	}
	if requests == 0 {
		return Load{}, fault.Errorf("load", "", "no request was answered")
	}
	return Load{
		Tokens: tokens, RequestsPerSec: float64(requests) / elapsed.Seconds(), CPUTime: (after.cpu - before.cpu) / time.Duration(requests),
		PeerBytes: (after.peerBytes - before.peerBytes) / 2 / float64(requests),
	}, nil
}

func totalUsage(r *rig.Rig) (usage, error) {
	var sum usage
	for _, in := range r.Instances {
		sample, err := readUsage(in)
		if err != nil {
			return sum, err
		}
		sum.cpu += sample.cpu
		sum.peerBytes += sample.peerBytes
	}
	return sum, nil
}

// medianFirstToken returns the median time to the first token of requests sent one at a time to an instance or engine.
func medianFirstToken(to netip.AddrPort) (time.Duration, error) {
	var times []time.Duration
	for range firstTokenRequests {
		d, err := streamOnce(to, 1)
		if err != nil {
			return 0, err
		}
		times = append(times, d)
	}
	return durationQuantile(times, 0.5), nil
}

// newStreamRequest returns a chat request for a streamed response of the given number of tokens.
func newStreamRequest(ctx context.Context, to netip.AddrPort, tokens int) (*http.Request, error) {
	body := fmt.Sprintf(`{"model":"m","stream":true,"max_tokens":%d,"messages":[{"role":"user","content":"[[out=%d]]"}]}`, tokens, tokens)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, fmt.Sprintf("http://%s/v1/chat/completions", to), strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+benchCallerKey)
	return req, nil
}

// streamOnce sends one streamed request, reads the whole response and returns the time to its first event.
func streamOnce(to netip.AddrPort, tokens int) (time.Duration, error) {
	req, err := newStreamRequest(context.Background(), to, tokens)
	if err != nil {
		return 0, err
	}
	start := time.Now()
	resp, err := loadHTTPClient.Do(req)
	if err != nil {
		return 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return 0, fault.Errorf("load", to.String(), "status %d", resp.StatusCode)
	}
	scanner := bufio.NewScanner(resp.Body)
	var first time.Duration
	complete := false
	for scanner.Scan() {
		data, ok := strings.CutPrefix(scanner.Text(), "data:")
		if ok && first == 0 {
			first = time.Since(start)
		}
		complete = complete || ok && strings.TrimSpace(data) == chat.EndOfStream
	}
	if err := scanner.Err(); err != nil {
		return first, fault.Wrap("load", to.String(), err)
	}
	if !complete {
		return first, fault.Errorf("load", to.String(), "the stream ended without %s", chat.EndOfStream)
	}
	return first, nil
}

// loadHTTPClient keeps enough idle connections for each concurrent client to reuse its own.
var loadHTTPClient = &http.Client{Timeout: 30 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: loadClientCount}}
