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
	claimsMeasured   = 100_000
	claimAnswerBytes = 200
	streamTokens     = 1000
	// streamSettle is the wait after new streams are opened and before memory is measured.
	streamSettle = 4 * time.Second
)

// MeasureClaimMemory measures the memory that a completed claim with a 200-byte response takes on a replica of the log, in bytes.
func MeasureClaimMemory() Line {
	state := ctrl.NewState()
	heapBefore := heapBytes()
	for i := range claimsMeasured {
		cmd := claim.Command{
			Customer: fmt.Sprint("customer-", i%500), Key: fmt.Sprint("booking-", i), To: claim.Open,
			Nonce: fmt.Sprintf("%036d", i), Fingerprint: fmt.Sprintf("%032d", i), Holder: "i1", Boot: "i1-boot",
		}
		state.Apply(0, ctrl.Command{Claim: &cmd})
		doneCmd := cmd
		doneCmd.To, doneCmd.Answer = claim.Done, &claim.Answer{Status: 200, ContentType: "application/json", Body: make([]byte, claimAnswerBytes)}
		state.Apply(0, ctrl.Command{Claim: &doneCmd})
	}
	bytesPerClaim := float64(heapBytes()-heapBefore) / claimsMeasured
	runtime.KeepAlive(state)
	return Line{
		Name: "log replica: bytes per ended claim", Unit: "B", Intercept: bytesPerClaim, Points: []Point{{claimsMeasured, bytesPerClaim}},
	}
}

// heapBytes runs a garbage collection and returns the bytes that remain allocated.
func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// MeasureStreamMemory measures the resident memory of an instance that holds no log replica, in MB, by the number of open streams.
func MeasureStreamMemory(bin string) ([]Line, error) {
	r, stop, err := startRig(bin, 4, 3)
	if err != nil {
		return nil, err
	}
	defer stop()
	if _, err := startEngines(r, "--step", "100ms", "--slots", "1024"); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	var wg conc.WaitGroup
	defer wg.Wait()
	defer cancel()
	entry := r.Instances[3]
	var points []Point
	open := 0
	for _, n := range []int{0, 100, 200, 400, 800} {
		for ; open < n; open++ {
			wg.Go(func() { _ = holdStream(ctx, entry.Callers) })
		}
		time.Sleep(streamSettle)
		sample, err := readUsage(entry)
		if err != nil {
			return nil, err
		}
		points = append(points, Point{float64(n), sample.rss / 1e6})
	}
	return []Line{FitLine("entry: MB resident, by open streams", "MB", points)}, nil
}

// holdStream opens a long stream and reads it until it ends or ctx is canceled.
func holdStream(ctx context.Context, entry netip.AddrPort) error {
	req, err := newStreamRequest(ctx, entry, streamTokens)
	if err != nil {
		return err
	}
	resp, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(req)
	if err != nil {
		return fault.Wrap("open stream", entry.String(), err)
	}
	defer func() { _ = resp.Body.Close() }()
	_, err = io.Copy(io.Discard, resp.Body)
	return err
}
