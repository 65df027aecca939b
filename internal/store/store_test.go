package store

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/greengagewheel/greengagewheel/internal/repl"
)

func testEntries(from, to uint64) []repl.Entry {
	var out []repl.Entry
	for i := from; i <= to; i++ {
		out = append(out, repl.Entry{Index: i, Term: 1, Kind: repl.Command, Data: []byte(fmt.Sprint("command ", i))})
	}
	return out
}

// newFilledFolder creates a data folder of a cluster with ten log entries, closes it, and returns its path and ID.
func newFilledFolder(t *testing.T) (dir, id string) {
	dir = t.TempDir()
	s, _, _, err := Open(dir)
	So(err, ShouldBeNil)
	So(s.SetCluster("c1", repl.Conf{}), ShouldBeNil)
	So(s.Save(repl.Output{HardState: &repl.HardState{Term: 1, Vote: "x"}}), ShouldBeNil)
	for _, e := range testEntries(1, 10) {
		So(s.Save(repl.Output{Entries: []repl.Entry{e}}), ShouldBeNil)
	}
	So(s.Close(), ShouldBeNil)
	return dir, s.Identity().ID
}

func TestStore(t *testing.T) {
	Convey("Saved state is read back, and later entries replace earlier ones", t, func() {
		dir, id := newFilledFolder(t)
		s, stored, wiped, err := Open(dir)
		So(err, ShouldBeNil)
		So(wiped, ShouldBeFalse)
		So(s.Identity().ID, ShouldEqual, id)
		So(stored.HardState.Vote, ShouldEqual, "x")
		So(stored.Entries, ShouldResemble, testEntries(1, 10))
		So(s.Save(repl.Output{Entries: testEntries(5, 6)}), ShouldBeNil)
		_, stored, _, err = Open(dir)
		So(err, ShouldBeNil)
		So(stored.Entries, ShouldResemble, testEntries(1, 6))
	})
	Convey("A torn tail of any length is truncated, and all records before it are kept", t, func() {
		dir, id := newFilledFolder(t)
		fullLog, err := os.ReadFile(filepath.Join(dir, logFile))
		So(err, ShouldBeNil)
		ends := []int{}
		_, _ = scanRecords(fullLog, func(record) error { return nil })
		for offset := 0; offset < len(fullLog); {
			payload, _ := parsePayload(fullLog[offset:])
			offset += headerBytes + len(payload)
			ends = append(ends, offset)
		}
		for length := ends[0]; length < len(fullLog); length += 7 {
			So(os.WriteFile(filepath.Join(dir, logFile), fullLog[:length], fileMode), ShouldBeNil)
			s, stored, wiped, err := Open(dir)
			So(err, ShouldBeNil)
			So(wiped, ShouldBeFalse)
			So(s.Identity().ID, ShouldEqual, id)
			kept := 0
			for _, end := range ends[1:] {
				if end <= length {
					kept++
				}
			}
			So(len(stored.Entries), ShouldEqual, kept)
			So(s.Close(), ShouldBeNil)
		}
	})
	Convey("A last write of which only the end reached the disk is a torn tail", t, func() {
		dir, id := newFilledFolder(t)
		path := filepath.Join(dir, logFile)
		before, err := os.ReadFile(path)
		So(err, ShouldBeNil)
		s, _, _, err := Open(dir)
		So(err, ShouldBeNil)
		So(s.Save(repl.Output{Entries: testEntries(11, 20)}), ShouldBeNil)
		So(s.Close(), ShouldBeNil)
		data, err := os.ReadFile(path)
		So(err, ShouldBeNil)
		for missing := 1; missing < len(data)-len(before); missing += 5 {
			tornLog := append([]byte(nil), data...)
			clear(tornLog[len(before) : len(before)+missing])
			So(os.WriteFile(path, tornLog, fileMode), ShouldBeNil)
			s, stored, wiped, err := Open(dir)
			So(err, ShouldBeNil)
			So(wiped, ShouldBeFalse)
			So(s.Identity().ID, ShouldEqual, id)
			So(stored.Entries, ShouldResemble, testEntries(1, 10))
			So(s.Close(), ShouldBeNil)
		}
	})
	Convey("Damage before the tail empties the folder and gives it a new identity", t, func() {
		dir, id := newFilledFolder(t)
		path := filepath.Join(dir, logFile)
		data, err := os.ReadFile(path)
		So(err, ShouldBeNil)
		data[len(data)/2] ^= 0x40
		So(os.WriteFile(path, data, fileMode), ShouldBeNil)
		s, stored, wiped, err := Open(dir)
		So(err, ShouldBeNil)
		So(wiped, ShouldBeTrue)
		So(s.Identity().ID, ShouldNotEqual, id)
		So(s.Identity().Cluster, ShouldEqual, "")
		So(stored.Entries, ShouldBeEmpty)
		So(stored.HardState.Vote, ShouldEqual, "")
	})
	Convey("A missing log or a damaged snapshot empties the folder and gives it a new identity", t, func() {
		dir, id := newFilledFolder(t)
		So(os.Remove(filepath.Join(dir, logFile)), ShouldBeNil)
		s, _, wiped, err := Open(dir)
		So(err, ShouldBeNil)
		So(wiped, ShouldBeTrue)
		So(s.Identity().ID, ShouldNotEqual, id)
		dir, id = newFilledFolder(t)
		So(os.WriteFile(filepath.Join(dir, snapshotFile), []byte("no snapshot"), fileMode), ShouldBeNil)
		s, _, wiped, err = Open(dir)
		So(err, ShouldBeNil)
		So(wiped, ShouldBeTrue)
		So(s.Identity().ID, ShouldNotEqual, id)
	})
	Convey("Compaction keeps the vote, the snapshot and the entries after the snapshot", t, func() {
		dir, _ := newFilledFolder(t)
		s, _, _, err := Open(dir)
		So(err, ShouldBeNil)
		So(s.Compact(repl.Snapshot{Index: 8, Term: 1, Data: []byte("state")}, testEntries(6, 10)), ShouldBeNil)
		So(s.Save(repl.Output{Entries: testEntries(11, 12)}), ShouldBeNil)
		_, stored, _, err := Open(dir)
		So(err, ShouldBeNil)
		So(stored.HardState.Vote, ShouldEqual, "x")
		So(string(stored.Snapshot.Data), ShouldEqual, "state")
		So(stored.Entries, ShouldResemble, testEntries(9, 12))
	})
	Convey("A snapshot from the leader replaces the log and keeps the vote", t, func() {
		dir, _ := newFilledFolder(t)
		s, _, _, err := Open(dir)
		So(err, ShouldBeNil)
		So(s.Save(repl.Output{Snapshot: &repl.Snapshot{Index: 50, Term: 1, Data: []byte("s")}, Entries: testEntries(51, 52)}), ShouldBeNil)
		_, stored, _, err := Open(dir)
		So(err, ShouldBeNil)
		So(stored.HardState.Vote, ShouldEqual, "x")
		So(stored.Entries, ShouldResemble, testEntries(51, 52))
	})
}

// FuzzScan feeds arbitrary bytes to the log reader, which must neither panic nor read past the end of the data.
func FuzzScan(f *testing.F) {
	buf, _ := appendRecord(nil, record{HardState: &repl.HardState{Term: 1}})
	f.Add(buf)
	f.Add([]byte{1, 2, 3})
	f.Fuzz(func(t *testing.T, data []byte) {
		end, err := scanRecords(data, func(record) error { return nil })
		if end > len(data) || err == nil && end < 0 {
			t.Fatal("read past the end")
		}
	})
}
