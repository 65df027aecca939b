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
	logSecret    = "secret-of-the-log-bench"
	logCommits   = 3000
	logTimeout   = 60 * time.Second
	recoverLimit = 8000
)

// quorumRig is replicas of the log in this process, over loopback and with synced files.
type quorumRig struct {
	dir      string
	groups   []*group.Group
	machines []*ctrl.Machine
	stops    []func()
	wg       conc.WaitGroup
}

func newQuorumRig(n int) (*quorumRig, error) {
	dir, err := os.MkdirTemp("", "log")
	if err != nil {
		return nil, err
	}
	q := &quorumRig{dir: dir}
	var members []repl.Member
	var lists []net.Listener
	for i := range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		lists = append(lists, l)
		members = append(members, repl.Member{Name: fmt.Sprint("r", i), Addr: netip.MustParseAddrPort(l.Addr().String())})
	}
	for i := range n {
		if err := q.add(i, members, lists[i]); err != nil {
			return nil, err
		}
	}
	return q, nil
}

func (q *quorumRig) add(i int, members []repl.Member, l net.Listener) error {
	m := ctrl.NewMachine()
	g, err := group.New(group.Options{
		Name: members[i].Name, DataDir: filepath.Join(q.dir, fmt.Sprint(i)), SelfAddr: members[i].Addr, FoundingMembers: members,
		Links: peer.NewLinks(logSecret, netip.Addr{}), StateMachine: m, Log: zap.NewNop(), RandSeed: uint64(i),
	})
	if err != nil {
		return err
	}
	srv := &http.Server{Handler: peer.NewHandler(logSecret, peer.Handlers{Step: peer.TypedHandler(g.Receive)}), ReadHeaderTimeout: time.Second}
	conns.EnableHTTP2(srv)
	ctx, cancel := context.WithCancel(context.Background())
	q.wg.Go(func() { _ = srv.Serve(l) })
	q.wg.Go(func() { g.Run(ctx) })
	q.groups = append(q.groups, g)
	q.machines = append(q.machines, m)
	q.stops = append(q.stops, func() {
		cancel()
		_ = srv.Close()
	})
	return nil
}

func (q *quorumRig) close() {
	for _, s := range q.stops {
		s()
	}
	q.wg.Wait()
	_ = os.RemoveAll(q.dir)
}

func (q *quorumRig) leader(ctx context.Context) *group.Group {
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

// claimCommand is a command as a booking makes it.
func claimCommand(i int) []byte {
	data, _ := cbor.Marshal(ctrl.Command{ProposedAtMS: 1, Claim: &claim.Command{
		Customer: "customer", Key: fmt.Sprintf("booking-key-%d", i), To: claim.Open, Nonce: fmt.Sprintf("nonce-%032d", i),
		Fingerprint: fmt.Sprintf("%032d", i), Holder: "i1", Boot: "i1-boot",
	}})
	return data
}

// LogResult is the rate and the latency of commits with so many writers at once.
type LogResult struct {
	Replicas, Writers int
	PerSecond         float64
	Median, P99       time.Duration
}

// LogRate measures synced commits.
func LogRate(replicas, writers int) (LogResult, error) {
	ctx, cancel := context.WithTimeout(context.Background(), logTimeout)
	defer cancel()
	q, err := newQuorumRig(replicas)
	if err != nil {
		return LogResult{}, err
	}
	defer q.close()
	lead := q.leader(ctx)
	if lead == nil {
		return LogResult{}, ctx.Err()
	}
	var mu sync.Mutex
	var took []time.Duration
	var failed error
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
				if i >= logCommits {
					return
				}
				at := time.Now()
				_, err := lead.Propose(ctx, claimCommand(i))
				mu.Lock()
				took = append(took, time.Since(at))
				if err != nil {
					failed = err
				}
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	all := time.Since(start)
	return LogResult{replicas, writers, logCommits / all.Seconds(), spanQuantile(took, 0.5), spanQuantile(took, 0.99)}, failed
}

// Recovery measures the time to open a folder against the number of its records, without a snapshot.
func Recovery() (Slope, error) {
	var pts []Point
	for _, n := range []int{100, 1000, 4000, recoverLimit} {
		ms, err := recoverOnce(n)
		if err != nil {
			return Slope{}, err
		}
		pts = append(pts, Point{float64(n), ms})
	}
	return Fit("log: ms to recover, by records", "ms", pts), nil
}

func recoverOnce(n int) (float64, error) {
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
	for i := range n {
		out.Entries = append(out.Entries, repl.Entry{Index: uint64(i + 1), Term: 1, Kind: repl.Command, Data: claimCommand(i)})
	}
	if err := s.Save(out); err != nil {
		return 0, err
	}
	if err := s.Close(); err != nil {
		return 0, err
	}
	start := time.Now()
	s, st, _, err := store.Open(dir)
	if err != nil {
		return 0, err
	}
	m := ctrl.NewMachine()
	for _, e := range st.Entries {
		m.Apply(e.Index, e.Data)
	}
	took := time.Since(start)
	return float64(took.Microseconds()) / 1000, s.Close()
}
