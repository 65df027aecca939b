package store

import (
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"os"
	"path/filepath"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"github.com/greengagewheel/greengagewheel/internal/repl"
)

const (
	identityFile = "identity"
	logFile      = "log"
	snapFile     = "snapshot"
	tmpSuffix    = ".tmp"
	folderMode   = 0o700
	fileMode     = 0o600
)

type (
	// Identity names a data folder; it is made once and lost with the folder.
	Identity struct {
		ID       string    `json:"id"`
		Cluster  string    `json:"cluster,omitempty"`
		Founding repl.Conf `json:"founding"`
	}

	// Store is an open data folder; its owner calls it from one goroutine at a time.
	Store struct {
		dir   string
		ident Identity
		log   *os.File
		size  int64
		hard  repl.Hard
		buf   []byte
	}

	// sealed is a file's content with the check of its body.
	sealed struct {
		Sum  uint64 `json:"sum"`
		Body []byte `json:"body"`
	}
)

// Open opens a data folder, and makes it with a new identity if there is none.
// A folder whose log is damaged before its tail, or lost, is emptied and gets a new identity; wiped tells so.
func Open(dir string) (s *Store, st repl.Stored, wiped bool, err error) {
	if err = os.MkdirAll(dir, folderMode); err != nil {
		return nil, st, false, fmt.Errorf("make data folder: %w", err)
	}
	s = &Store{dir: dir}
	st, err = s.load()
	if errors.Is(err, ErrDamaged) {
		wiped = true
		if err = s.wipe(); err == nil {
			st, err = s.load()
		}
	}
	if err != nil {
		return nil, st, wiped, err
	}
	return s, st, wiped, nil
}

func (s *Store) load() (repl.Stored, error) {
	var st repl.Stored
	err := s.readSealed(identityFile, &s.ident)
	if errors.Is(err, os.ErrNotExist) {
		s.ident = Identity{ID: NewID()}
		err = s.writeSealed(identityFile, s.ident)
	}
	if err != nil {
		return st, err
	}
	st.Snap.Conf = s.ident.Founding
	if err := s.readSealed(snapFile, &st.Snap); err != nil && !errors.Is(err, os.ErrNotExist) {
		return st, err
	}
	return st, s.loadLog(&st)
}

// loadLog reads the log file, cuts a torn tail, and leaves the file open for appending.
func (s *Store) loadLog(st *repl.Stored) error {
	path := s.path(logFile)
	data, err := os.ReadFile(path)
	if errors.Is(err, os.ErrNotExist) && s.ident.Cluster != "" {
		return ErrDamaged
	}
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		return fmt.Errorf("read log: %w", err)
	}
	end, err := scan(data, func(r record) error { return replay(st, r) })
	if err != nil {
		return err
	}
	if s.log, err = os.OpenFile(path, os.O_CREATE|os.O_RDWR, fileMode); err != nil {
		return fmt.Errorf("open log: %w", err)
	}
	if err = s.log.Truncate(int64(end)); err != nil {
		return fmt.Errorf("cut torn tail: %w", err)
	}
	s.size = int64(end)
	s.hard = st.Hard
	return s.syncDir()
}

// replay puts the parts of one record in their place; an entry cuts off all that stood at or after its index.
func replay(st *repl.Stored, r record) error {
	if r.Hard != nil {
		st.Hard = *r.Hard
	}
	for _, e := range r.Entries {
		if e.Index <= st.Snap.Index {
			continue
		}
		at := e.Index - st.Snap.Index - 1
		if at > uint64(len(st.Entries)) {
			return ErrDamaged
		}
		st.Entries = append(st.Entries[:at], e)
	}
	return nil
}

// wipe empties the folder; the next load gives it a new identity.
func (s *Store) wipe() error {
	for _, f := range []string{identityFile, logFile, snapFile} {
		if err := os.Remove(s.path(f)); err != nil && !errors.Is(err, os.ErrNotExist) {
			return fmt.Errorf("wipe: %w", err)
		}
	}
	return s.syncDir()
}

// NewID returns a random identity.
func NewID() string {
	var b [8]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// Identity returns the folder's identity.
func (s *Store) Identity() Identity {
	return s.ident
}

// Found records that the folder belongs to a cluster with the given founding members.
func (s *Store) Found(cluster string, founding repl.Conf) error {
	if err := s.log.Sync(); err != nil {
		return fmt.Errorf("sync log: %w", err)
	}
	next := s.ident
	next.Cluster, next.Founding = cluster, founding
	if err := s.writeSealed(identityFile, next); err != nil {
		return err
	}
	s.ident = next
	return nil
}

// Save stores what a replica put out and syncs it, in one write.
func (s *Store) Save(out repl.Output) error {
	if out.Hard != nil {
		s.hard = *out.Hard
	}
	if out.Snap != nil {
		if err := s.Compact(*out.Snap, nil); err != nil {
			return err
		}
	}
	if out.Hard == nil && len(out.Entries) == 0 {
		return nil
	}
	buf, err := appendRecord(s.buf[:0], record{Hard: out.Hard, Entries: out.Entries})
	if err != nil {
		return err
	}
	s.buf = buf
	if _, err = s.log.WriteAt(buf, s.size); err != nil {
		return fmt.Errorf("write log: %w", err)
	}
	if err = s.log.Sync(); err != nil {
		return fmt.Errorf("sync log: %w", err)
	}
	s.size += int64(len(buf))
	return nil
}

// Compact stores a snapshot and replaces the log by the last vote and the given entries.
func (s *Store) Compact(snap repl.Snapshot, entries []repl.Entry) error {
	if err := s.writeSealed(snapFile, snap); err != nil {
		return err
	}
	buf, err := appendRecord(nil, record{Hard: &s.hard, Entries: entries})
	if err != nil {
		return err
	}
	if err := s.replaceFile(logFile, buf); err != nil {
		return err
	}
	_ = s.log.Close()
	if s.log, err = os.OpenFile(s.path(logFile), os.O_RDWR, fileMode); err != nil {
		return fmt.Errorf("open log: %w", err)
	}
	s.size = int64(len(buf))
	return nil
}

// Snapshot reads the stored snapshot back.
func (s *Store) Snapshot() (repl.Snapshot, error) {
	var snap repl.Snapshot
	err := s.readSealed(snapFile, &snap)
	return snap, err
}

// Size returns the length of the log file in bytes.
func (s *Store) Size() int64 {
	return s.size
}

// Close closes the log file.
func (s *Store) Close() error {
	return s.log.Close()
}

func (s *Store) path(name string) string {
	return filepath.Join(s.dir, name)
}

func (s *Store) readSealed(name string, v any) error {
	data, err := os.ReadFile(s.path(name))
	if err != nil {
		return err
	}
	var f sealed
	if cbor.Unmarshal(data, &f) != nil || xxhash.Sum64(f.Body) != f.Sum {
		return ErrDamaged
	}
	if cbor.Unmarshal(f.Body, v) != nil {
		return ErrDamaged
	}
	return nil
}

func (s *Store) writeSealed(name string, v any) error {
	body, err := cbor.Marshal(v)
	if err != nil {
		return err
	}
	data, err := cbor.Marshal(sealed{Sum: xxhash.Sum64(body), Body: body})
	if err != nil {
		return err
	}
	return s.replaceFile(name, data)
}

// replaceFile puts a file in place whole: written aside, synced, renamed, and the folder synced.
func (s *Store) replaceFile(name string, data []byte) error {
	tmp := s.path(name + tmpSuffix)
	f, err := os.OpenFile(tmp, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, fileMode)
	if err != nil {
		return fmt.Errorf("write %s: %w", name, err)
	}
	if _, err = f.Write(data); err == nil {
		err = f.Sync()
	}
	if e := f.Close(); err == nil {
		err = e
	}
	if err != nil {
		return fmt.Errorf("write %s: %w", name, err)
	}
	if err = os.Rename(tmp, s.path(name)); err != nil {
		return fmt.Errorf("rename %s: %w", name, err)
	}
	return s.syncDir()
}

func (s *Store) syncDir() error {
	d, err := os.Open(s.dir)
	if err != nil {
		return fmt.Errorf("open data folder: %w", err)
	}
	defer func() { _ = d.Close() }()
	if err = d.Sync(); err != nil {
		return fmt.Errorf("sync data folder: %w", err)
	}
	return nil
}
