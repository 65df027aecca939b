package group

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"github.com/greengagewheel/greengagewheel/internal/conns"
	"github.com/greengagewheel/greengagewheel/internal/peer"
	"github.com/greengagewheel/greengagewheel/internal/repl"
)

const secret = "secret of the replicas under test"

// listen opens a listener on a free loopback port that is closed at the end of the test.
func listen(t *testing.T) (net.Listener, netip.AddrPort) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	So(err, ShouldBeNil)
	t.Cleanup(func() { _ = l.Close() })
	return l, netip.MustParseAddrPort(l.Addr().String())
}

// serveReplica starts a replica that serves the listener, is reached by others at addr, and ends with the test. It founds a cluster if it
// is told no seeds.
func serveReplica(t *testing.T, name string, listener net.Listener, addr netip.AddrPort, seeds ...netip.AddrPort) *Group {
	opt := Options{
		Name: name, DataDir: t.TempDir(), SelfAddr: addr, Links: peer.NewLinks(secret, netip.Addr{}),
		SeedAddrs: func() []netip.AddrPort { return seeds }, Log: zap.NewNop(), RandSeed: 1,
	}
	if len(seeds) == 0 {
		opt.FoundingMembers = []repl.Member{{Name: name}}
	}
	opt.StateMachine = &recorder{indexes: map[string]uint64{}}
	g, err := New(opt)
	So(err, ShouldBeNil)
	srv := &http.Server{Handler: peer.NewHandler(secret, peer.Handlers{Step: peer.TypedHandler(g.Receive)}), ReadHeaderTimeout: time.Second}
	conns.EnableHTTP2(srv)
	ctx, cancel := context.WithCancel(context.Background())
	var wg conc.WaitGroup
	wg.Go(func() { _ = srv.Serve(listener) })
	wg.Go(func() { g.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		_ = srv.Close()
		wg.Wait()
	})
	return g
}

// isMember reports whether the cluster's leader counts a replica as a member; voter demands that it votes.
func isMember(leader *Group, name string, voter bool) bool {
	m, ok := leader.Status().Conf.FindByName(name)
	return ok && (m.Voter || !voter)
}

// awaitCond waits until cond holds, and returns the time that it took.
func awaitCond(limit time.Duration, cond func() bool) time.Duration {
	start := time.Now()
	for !cond() && time.Since(start) < limit {
		time.Sleep(time.Millisecond)
	}
	return time.Since(start)
}

// TestLostSeedDelaysJoin guards against a replica that joins only once calls to lost replicas have timed out.
func TestLostSeedDelaysJoin(t *testing.T) {
	Convey("A replica joins before a call to a seed that does not respond times out", t, func() {
		_, lost := listen(t)
		l, addr := listen(t)
		leader := serveReplica(t, "a", l, addr)
		awaitCond(time.Minute, func() bool { return leader.Status().Role == repl.Leader.String() })
		l, own := listen(t)
		serveReplica(t, "b", l, own, lost, addr)
		So(awaitCond(time.Minute, func() bool { return isMember(leader, "b", false) }), ShouldBeLessThan, requestTimeout)
	})
}

// throttle passes connections on to a server, no more than rate bytes a second in its direction, and returns the address to connect to.
func throttle(t *testing.T, server netip.AddrPort, rate int) netip.AddrPort {
	l, addr := listen(t)
	go func() {
		for {
			caller, err := l.Accept()
			if err != nil {
				return
			}
			conn, err := net.Dial("tcp", server.String())
			if err != nil {
				_ = caller.Close()
				continue
			}
			go func() {
				_, _ = io.Copy(caller, conn)
				_ = caller.Close()
			}()
			go func() {
				defer func() { _ = conn.Close() }()
				const slices = 100
				for {
					if _, err := io.CopyN(conn, caller, int64(rate/slices)); err != nil {
						return
					}
					time.Sleep(time.Second / slices)
				}
			}()
		}
	}()
	return addr
}

// TestSnapshotOverSlowLink guards against a learner that never votes as its snapshot takes longer than other messages may.
func TestSnapshotOverSlowLink(t *testing.T) {
	Convey("A replica that needs a snapshot of 10 MB over a link of 10 MB/s becomes a voter", t, func() {
		l, addr := listen(t)
		leader := serveReplica(t, "a", l, addr)
		awaitCond(time.Minute, func() bool { return leader.Status().Role == repl.Leader.String() })
		const commands, size = 40, 256 << 10
		for i := range commands {
			_, err := leader.Propose(context.Background(), fmt.Appendf(nil, "%0*d", size, i))
			So(err, ShouldBeNil)
		}
		So(leader.Status().FirstIndex, ShouldBeGreaterThan, 1)
		l, own := listen(t)
		serveReplica(t, "b", l, throttle(t, own, 10<<20), addr)
		So(awaitCond(10*time.Second, func() bool { return isMember(leader, "b", true) }), ShouldBeLessThan, 4*time.Second)
	})
}
