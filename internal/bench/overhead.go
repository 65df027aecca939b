package bench

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/greengagewheel/greengagewheel/internal/contr"
	"github.com/greengagewheel/greengagewheel/internal/fault"
	"github.com/greengagewheel/greengagewheel/internal/rig"
)

const (
	overheadRequests = 300
	overheadKey      = "key-for-overhead"
	loadFor          = 6 * time.Second
	loadWriters      = 64
	loadEngines      = 4
)

// Overhead is what the router adds to the first token, and what it spends for requests of several lengths.
type Overhead struct {
	Direct, Routed time.Duration
	Loads          []Load
	CPU            Slope
}

// Load is what a closed loop of requests of one length took: Core is the router's processor time for a request.
type Load struct {
	Tokens       int
	Requests     float64
	Core         time.Duration
	ControlBytes float64
}

// MeasureOverhead compares first tokens through the router with those of the stand-in itself, and loads the router from three instances.
func MeasureOverhead(bin string) (Overhead, error) {
	var o Overhead
	r, stop, err := newRig(bin, 3, 3)
	if err != nil {
		return o, err
	}
	defer stop()
	eng, err := furnish(r, "--step", "1ms", "--slots", "64")
	if err != nil {
		return o, err
	}
	if o.Direct, err = firstToken(eng[0].Addr); err != nil {
		return o, err
	}
	if o.Routed, err = firstToken(r.Instances[1].Callers); err != nil {
		return o, err
	}
	var pts []Point
	for _, tokens := range []int{1, 20, 60} {
		l, err := drive(r, tokens)
		if err != nil {
			return o, err
		}
		o.Loads = append(o.Loads, l)
		pts = append(pts, Point{float64(tokens), float64(l.Core.Microseconds())})
	}
	o.CPU = Fit("router: us of a core per request, by tokens", "us", pts)
	return o, nil
}

// furnish starts engines of model m and enters a contract with the key overheadKey.
func furnish(r *rig.Rig, flags ...string) ([]rig.Standin, error) {
	var eng []rig.Standin
	for i := range loadEngines {
		e, err := r.Standin("engine", fmt.Sprint("e", i), zone(i), "m", append([]string{"--per-run", "0s"}, flags...)...)
		if err != nil {
			return nil, err
		}
		eng = append(eng, e)
	}
	k := contr.Contract{Customer: "load", Keys: []string{contr.HashKey(overheadKey)}, Classes: []contr.Class{{Name: "c", Tier: 1}}}
	if _, err := r.AddContract(k); err != nil {
		return nil, err
	}
	return eng, rig.WaitUntil("engines are live", func() bool { return r.Instances[0].LiveEndpoints("m") == loadEngines })
}

// drive keeps the router busy and divides its processor time by the requests.
func drive(r *rig.Rig, tokens int) (Load, error) {
	before, err := total(r)
	if err != nil {
		return Load{}, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), loadFor)
	defer cancel()
	counts := make([]int, loadWriters)
	start := time.Now()
	var wg conc.WaitGroup
	for w := range loadWriters {
		wg.Go(func() {
			for ctx.Err() == nil {
				if _, err := once(r.Instances[w%3].Callers, tokens); err == nil {
					counts[w]++
				}
			}
		})
	}
	wg.Wait()
	took := time.Since(start)
	after, err := total(r)
	if err != nil {
		return Load{}, err
	}
	n := 0
	for _, c := range counts {
		n += c
	}
	if n == 0 {
		return Load{}, fault.Errorf("load", "", "no request was answered")
	}
	return Load{
		Tokens: tokens, Requests: float64(n) / took.Seconds(), Core: (after.cpu - before.cpu) / time.Duration(n),
		ControlBytes: (after.bytes - before.bytes) / 2 / float64(n),
	}, nil
}

func total(r *rig.Rig) (usage, error) {
	var sum usage
	for _, in := range r.Instances {
		u, err := usageOf(in)
		if err != nil {
			return sum, err
		}
		sum.cpu += u.cpu
		sum.bytes += u.bytes
	}
	return sum, nil
}

func firstToken(to netip.AddrPort) (time.Duration, error) {
	var all []time.Duration
	for range overheadRequests {
		d, err := once(to, 1)
		if err != nil {
			return 0, err
		}
		all = append(all, d)
	}
	return spanQuantile(all, 0.5), nil
}

// streamOf returns a request for a streamed answer of so many tokens.
func streamOf(ctx context.Context, to netip.AddrPort, tokens int) (*http.Request, error) {
	body := fmt.Sprintf(`{"model":"m","stream":true,"max_tokens":%d,"messages":[{"role":"user","content":"[[out=%d]]"}]}`, tokens, tokens)
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, fmt.Sprintf("http://%s/v1/chat/completions", to), strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	q.Header.Set("Authorization", "Bearer "+overheadKey)
	return q, nil
}

// once sends one streamed request and returns the time to its first event.
func once(to netip.AddrPort, tokens int) (time.Duration, error) {
	q, err := streamOf(context.Background(), to, tokens)
	if err != nil {
		return 0, err
	}
	start := time.Now()
	resp, err := loadClient.Do(q)
	if err != nil {
		return 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return 0, fault.Errorf("load", to.String(), "status %d", resp.StatusCode)
	}
	sc := bufio.NewScanner(resp.Body)
	var first time.Duration
	for sc.Scan() {
		if first == 0 && strings.HasPrefix(sc.Text(), "data:") {
			first = time.Since(start)
		}
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	return first, sc.Err()
}

var loadClient = &http.Client{Timeout: 30 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: loadWriters}}
