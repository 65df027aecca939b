package group

import (
	"context"
	"fmt"
	"net/netip"
	"os"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"github.com/greengagewheel/greengagewheel/internal/peer"
	"github.com/greengagewheel/greengagewheel/internal/repl"
)

// recorder is a state machine that records each command and the index at which it was applied.
type recorder struct {
	indexes map[string]uint64
	order   []string
}

func (rec *recorder) Apply(index uint64, data []byte) any {
	if rec.indexes[string(data)] != 0 {
		panic("applied twice: " + string(data))
	}
	rec.indexes[string(data)] = index
	rec.order = append(rec.order, string(data))
	return index
}

func (rec *recorder) Snapshot() ([]byte, error) {
	return peer.Encode(rec.order)
}

func (rec *recorder) Restore(data []byte) error {
	rec.indexes = map[string]uint64{}
	if err := peer.Decode(data, &rec.order); err != nil {
		return err
	}
	for i, s := range rec.order {
		rec.indexes[s] = uint64(i + 1)
	}
	return nil
}

func (rec *recorder) Reset() {
	rec.indexes, rec.order = map[string]uint64{}, nil
}

// startReplica starts a single-replica cluster in a data folder and waits until it leads; stop ends it.
func startReplica(dir string, rec *recorder) (g *Group, stop func()) {
	g, err := New(Options{
		Name: "a", DataDir: dir, SelfAddr: netip.MustParseAddrPort("127.0.0.1:1"), Links: peer.NewLinks("", netip.Addr{}),
		FoundingMembers: []repl.Member{{Name: "a"}}, StateMachine: rec, Log: zap.NewNop(), RandSeed: 1,
	})
	So(err, ShouldBeNil)
	ctx, cancel := context.WithCancel(context.Background())
	var wg conc.WaitGroup
	wg.Go(func() { g.Run(ctx) })
	for g.Status().Role != repl.Leader.String() {
		time.Sleep(5 * time.Millisecond)
	}
	return g, func() {
		cancel()
		wg.Wait()
	}
}

func TestRestartReplaysEachCommandOnce(t *testing.T) {
	Convey("After 10,000 commands, most of them in a snapshot, a restart restores each of them exactly once", t, func() {
		const commands, writers = 10_000, 50
		dir := t.TempDir()
		rec := &recorder{indexes: map[string]uint64{}}
		g, stop := startReplica(dir, rec)
		var wg conc.WaitGroup
		for w := range writers {
			wg.Go(func() {
				for i := w; i < commands; i += writers {
					if _, err := g.Propose(context.Background(), fmt.Appendf(nil, "change %d", i)); err != nil {
						panic(err)
					}
				}
			})
		}
		wg.Wait()
		So(g.Status().FirstIndex, ShouldBeGreaterThan, 1)
		stop()
		restored := &recorder{indexes: map[string]uint64{}}
		g, stop = startReplica(dir, restored)
		_, err := g.Confirm(context.Background())
		So(err, ShouldBeNil)
		stop()
		So(len(restored.indexes), ShouldEqual, commands)
		for i := range commands {
			if restored.indexes[fmt.Sprint("change ", i)] == 0 {
				So(i, ShouldEqual, "not lost")
			}
		}
		So(restored.order, ShouldResemble, rec.order)
	})
}

func TestRecoveryFromStorageFailure(t *testing.T) {
	Convey("A replica recovers from a temporary storage failure with all commands that it had acknowledged", t, func() {
		dir := t.TempDir()
		rec := &recorder{indexes: map[string]uint64{}}
		g, stop := startReplica(dir, rec)
		defer stop()
		for i := range 20 {
			_, err := g.Propose(context.Background(), fmt.Appendf(nil, "change %d", i))
			So(err, ShouldBeNil)
		}
		So(g.submit(context.Background(), func(time.Time) { _ = g.store.Close() }), ShouldBeNil)
		_, err := g.Propose(context.Background(), []byte("refused"))
		So(err, ShouldNotBeNil)
		for g.Status().Role != repl.Leader.String() {
			time.Sleep(5 * time.Millisecond)
		}
		_, err = g.Propose(context.Background(), []byte("afterwards"))
		So(err, ShouldBeNil)
		for i := range 20 {
			So(rec.indexes[fmt.Sprint("change ", i)], ShouldNotEqual, 0)
		}
		So(rec.indexes["refused"], ShouldEqual, 0)
		So(rec.indexes["afterwards"], ShouldNotEqual, 0)
	})
}

func TestLeaderLosesDataFolder(t *testing.T) {
	Convey("A leader whose data folder is removed returns errors, no longer reports itself as leader and founds no new cluster", t, func() {
		dir := t.TempDir()
		g, stop := startReplica(dir, &recorder{indexes: map[string]uint64{}})
		defer stop()
		So(os.RemoveAll(dir), ShouldBeNil)
		var err error
		for i := 0; err == nil && i < 2*snapshotEntries; i++ {
			_, err = g.Propose(context.Background(), fmt.Appendf(nil, "change %d", i))
		}
		So(err, ShouldNotBeNil)
		cluster := g.Cluster()
		for end := time.Now().Add(4 * reopenInterval); time.Now().Before(end); time.Sleep(reopenInterval / 4) {
			_, err = g.Propose(context.Background(), []byte("one more"))
			So(err, ShouldEqual, repl.ErrNotLeader)
			_, err = g.Confirm(context.Background())
			So(err, ShouldEqual, repl.ErrNotLeader)
			So(g.Status().Role, ShouldNotEqual, repl.Leader.String())
			_, leaderKnown := g.Leader()
			So(leaderKnown, ShouldBeFalse)
		}
		So(g.Cluster(), ShouldNotEqual, cluster)
	})
}
