package bench

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"runtime"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/greengagewheel/greengagewheel/internal/claim"
	"github.com/greengagewheel/greengagewheel/internal/ctrl"
	"github.com/greengagewheel/greengagewheel/internal/fault"
)

const (
	claimsMeasured = 100_000
	claimAnswer    = 200
	streamTokens   = 1000
	streamSettle   = 4 * time.Second
)

// ClaimBytes measures the memory of one ended claim with an answer of 200 bytes on a replica.
func ClaimBytes() Slope {
	state := ctrl.NewState()
	before := heap()
	for i := range claimsMeasured {
		cmd := claim.Command{
			Customer: fmt.Sprint("customer-", i%500), Key: fmt.Sprint("booking-", i), To: claim.Open,
			Nonce: fmt.Sprintf("%036d", i), Fingerprint: fmt.Sprintf("%032d", i), Holder: "i1", Boot: "i1-boot",
		}
		state.Apply(ctrl.Command{Claim: &cmd})
		done := cmd
		done.To, done.Answer = claim.Done, &claim.Answer{Status: 200, ContentType: "application/json", Body: make([]byte, claimAnswer)}
		state.Apply(ctrl.Command{Claim: &done})
	}
	b := float64(heap()-before) / claimsMeasured
	runtime.KeepAlive(state)
	return Slope{Name: "log replica: bytes per ended claim", Unit: "B", Base: b, Points: []Point{{claimsMeasured, b}}}
}

// heap returns the bytes in use after a collection.
func heap() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// StreamSlope measures the memory of an instance without the log against the streams that are open on it.
func StreamSlope(bin string) ([]Slope, error) {
	r, stop, err := newRig(bin, 4, 3)
	if err != nil {
		return nil, err
	}
	defer stop()
	if _, err := furnish(r, "--step", "100ms", "--slots", "1024"); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	var wg conc.WaitGroup
	defer wg.Wait()
	defer cancel()
	entry := r.Instances[3]
	var pts []Point
	open := 0
	for _, n := range []int{0, 100, 200, 400, 800} {
		for ; open < n; open++ {
			wg.Go(func() { _ = hold(ctx, entry.Callers) })
		}
		time.Sleep(streamSettle)
		u, err := usageOf(entry)
		if err != nil {
			return nil, err
		}
		pts = append(pts, Point{float64(n), u.rss / 1e6})
	}
	return []Slope{Fit("entry: MB resident, by open streams", "MB", pts)}, nil
}

// hold opens a long stream and reads it until the context ends.
func hold(ctx context.Context, from netip.AddrPort) error {
	q, err := streamOf(ctx, from, streamTokens)
	if err != nil {
		return err
	}
	resp, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(q)
	if err != nil {
		return fault.Wrap("open stream", from.String(), err)
	}
	defer func() { _ = resp.Body.Close() }()
	_, err = io.Copy(io.Discard, resp.Body)
	return err
}
