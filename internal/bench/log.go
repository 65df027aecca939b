package bench

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"github.com/greengagewheel/greengagewheel/internal/claim"
	"github.com/greengagewheel/greengagewheel/internal/conns"
	"github.com/greengagewheel/greengagewheel/internal/ctrl"
	"github.com/greengagewheel/greengagewheel/internal/group"
	"github.com/greengagewheel/greengagewheel/internal/peer"
	"github.com/greengagewheel/greengagewheel/internal/repl"
	"github.com/greengagewheel/greengagewheel/internal/store"
)

const (
	logBenchSecret      = "secret-of-the-log-bench"
	commitsMeasured     = 3000
	commitsTimeout      = 60 * time.Second // time limit of one MeasureCommits
	maxRecoveredRecords = 8000             // largest log that MeasureRecovery opens
)

// quorumRig runs replicas of the log in this process; they connect over loopback and sync their files.
type quorumRig struct {
	dir       string
	groups    []*group.Group
	machines  []*ctrl.Machine
	stopFuncs []func()
	wg        conc.WaitGroup
}

func newQuorumRig(replicas int) (*quorumRig, error) {
	dir, err := os.MkdirTemp("", "log")
	if err != nil {
		return nil, err
	}
	q := &quorumRig{dir: dir}
	var members []repl.Member
	var listeners []net.Listener
	for i := range replicas {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		listeners = append(listeners, listener)
		members = append(members, repl.Member{Name: fmt.Sprint("r", i), Addr: netip.MustParseAddrPort(listener.Addr().String())})
	}
	for i := range replicas {
		if err := q.addReplica(i, members, listeners[i]); err != nil {
			return nil, err
		}
	}
	return q, nil
}

// addReplica starts replica i, which serves its peers on the listener.
func (q *quorumRig) addReplica(i int, members []repl.Member, listener net.Listener) error {
	machine := ctrl.NewMachine()
	g, err := group.New(group.Options{
		Name: members[i].Name, DataDir: filepath.Join(q.dir, fmt.Sprint(i)), SelfAddr: members[i].Addr, FoundingMembers: members,
		Links: peer.NewLinks(logBenchSecret, netip.Addr{}), StateMachine: machine, Log: zap.NewNop(), RandSeed: uint64(i),
	})
	if err != nil {
		return err
	}
	srv := &http.Server{Handler: peer.NewHandler(logBenchSecret, peer.Handlers{Step: peer.TypedHandler(g.Receive)}), ReadHeaderTimeout: time.Second}
	conns.EnableHTTP2(srv)
	ctx, cancel := context.WithCancel(context.Background())
	q.wg.Go(func() { _ = srv.Serve(listener) })
	q.wg.Go(func() { g.Run(ctx) })
	q.groups = append(q.groups, g)
	q.machines = append(q.machines, machine)
	q.stopFuncs = append(q.stopFuncs, func() {
		cancel()
		_ = srv.Close()
	})
	return nil
}

func (q *quorumRig) close() {
	for _, s := range q.stopFuncs {
		s()
	}
	q.wg.Wait()
	_ = os.RemoveAll(q.dir)
}

// waitLeader returns the leader once a quorum has confirmed it, or nil if ctx ends first.
func (q *quorumRig) waitLeader(ctx context.Context) *group.Group {
	for ctx.Err() == nil {
		for _, g := range q.groups {
			if g.Status().Role == repl.Leader.String() {
				if _, err := g.Confirm(ctx); err == nil {
					return g
				}
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
	return nil
}

// claimCommand returns the encoded command by which a booking call opens its claim.
func claimCommand(i int) []byte {
	data, _ := cbor.Marshal(ctrl.Command{ProposedAtMS: 1, Claim: &claim.Command{
		Customer: "customer", Key: fmt.Sprintf("booking-key-%d", i), To: claim.Open, Nonce: fmt.Sprintf("nonce-%032d", i),
		Fingerprint: fmt.Sprintf("%032d", i), Holder: "i1", Boot: "i1-boot",
	}})
	return data
}

// CommitResult holds the commits per second and the commit latency for a number of replicas and concurrent writers.
type CommitResult struct {
	Replicas, Writers int
	PerSecond         float64
	Median, P99       time.Duration
}

// MeasureCommits measures the rate and latency of commits that replicas sync to disk. It returns the last failure of a commit.
func MeasureCommits(replicas, writers int) (CommitResult, error) {
	ctx, cancel := context.WithTimeout(context.Background(), commitsTimeout)
	defer cancel()
	q, err := newQuorumRig(replicas)
	if err != nil {
		return CommitResult{}, err
	}
	defer q.close()
	leader := q.waitLeader(ctx)
	if leader == nil {
		return CommitResult{}, ctx.Err()
	}
	var mu sync.Mutex
	var latencies []time.Duration
	var lastErr error
	next := 0
	var wg conc.WaitGroup
	start := time.Now()
	for range writers {
		wg.Go(func() {
			for {
				mu.Lock()
				i := next
				next++
				mu.Unlock()
				if i >= commitsMeasured {
					return
				}
				proposedAt := time.Now()
				_, err := leader.Propose(ctx, claimCommand(i))
				mu.Lock()
				latencies = append(latencies, time.Since(proposedAt))
				if err != nil {
					lastErr = err
				}
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	elapsed := time.Since(start)
	return CommitResult{
		replicas, writers, commitsMeasured / elapsed.Seconds(), durationQuantile(latencies, 0.5), durationQuantile(latencies, 0.99),
	}, lastErr
}

// MeasureRecovery measures the milliseconds to open and replay a data folder without a snapshot, by number of records.
func MeasureRecovery() (Line, error) {
	var points []Point
	for _, n := range []int{100, 1000, 4000, maxRecoveredRecords} {
		millis, err := recoveryMillis(n)
		if err != nil {
			return Line{}, err
		}
		points = append(points, Point{float64(n), millis})
	}
	return FitLine("log: ms to recover, by records", "ms", points), nil
}

func recoveryMillis(records int) (float64, error) {
	dir, err := os.MkdirTemp("", "recover")
	if err != nil {
		return 0, err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	s, _, _, err := store.Open(dir)
	if err != nil {
		return 0, err
	}
	var out repl.Output
	for i := range records {
		out.Entries = append(out.Entries, repl.Entry{Index: uint64(i + 1), Term: 1, Kind: repl.Command, Data: claimCommand(i)})
	}
	if err := s.Save(out); err != nil {
		return 0, err
	}
	if err := s.Close(); err != nil {
		return 0, err
	}
	start := time.Now()
	s, stored, _, err := store.Open(dir)
	if err != nil {
		return 0, err
	}
	machine := ctrl.NewMachine()
	for _, e := range stored.Entries {
		machine.Apply(e.Index, e.Data)
	}
	took := time.Since(start)
	return float64(took.Microseconds()) / 1000, s.Close()
}
