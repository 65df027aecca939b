package store

import (
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"os"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"github.com/greengagewheel/greengagewheel/internal/repl"
)

const (
	identityFile = "identity"
	logFile      = "log"
	snapshotFile = "snapshot"
	tmpSuffix    = ".tmp"
	dirMode      = 0o700
	fileMode     = 0o600
)

type (
	// Identity identifies a data folder. It is created once and lost with the folder; Cluster is empty until SetCluster is called.
	Identity struct {
		ID           string    `json:"id"`
		Cluster      string    `json:"cluster,omitempty"`
		FoundingConf repl.Conf `json:"founding"`
	}

	// Store is an open data folder. It is not safe for concurrent use.
	Store struct {
		folder    folder
		ident     Identity
		log       file
		logSize   int64
		hardState repl.HardState
		buf       []byte
	}

	// checksummed is the format of the identity and snapshot files.
	checksummed struct {
		Checksum uint64 `json:"sum"`
		Body     []byte `json:"body"`
	}
)

// Open opens a data folder, creating it with a new identity if there is none.
// A folder with a damaged file, or one that belongs to a cluster but has no log file, is emptied and gets a new identity; wiped
// reports this.
func Open(dir string) (s *Store, stored repl.Stored, wiped bool, err error) {
	return openFolder(dirFolder(dir))
}

func openFolder(f folder) (s *Store, stored repl.Stored, wiped bool, err error) {
	if err = f.create(); err != nil {
		return nil, stored, false, err
	}
	s = &Store{folder: f}
	stored, err = s.load()
	if errors.Is(err, ErrDamaged) {
		wiped = true
		if err = s.wipe(); err == nil {
			stored, err = s.load()
		}
	}
	if err != nil {
		return nil, stored, wiped, err
	}
	return s, stored, wiped, nil
}

func (s *Store) load() (repl.Stored, error) {
	var stored repl.Stored
	err := s.readFile(identityFile, &s.ident)
	if errors.Is(err, os.ErrNotExist) {
		s.ident = Identity{ID: NewID()}
		err = s.writeFile(identityFile, s.ident)
	}
	if err != nil {
		return stored, err
	}
	stored.Snapshot.Conf = s.ident.FoundingConf
	if err := s.readFile(snapshotFile, &stored.Snapshot); err != nil && !errors.Is(err, os.ErrNotExist) {
		return stored, err
	}
	return stored, s.loadLog(&stored)
}

// loadLog reads the log file, truncates a torn tail, and leaves the file open for writing.
func (s *Store) loadLog(stored *repl.Stored) error {
	data, err := s.folder.read(logFile)
	if errors.Is(err, os.ErrNotExist) && s.ident.Cluster != "" {
		return ErrDamaged
	}
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		return fmt.Errorf("read log: %w", err)
	}
	end, err := scanRecords(data, func(r record) error { return replayRecord(stored, r) })
	if err != nil {
		return err
	}
	if s.log, err = s.folder.open(logFile); err != nil {
		return fmt.Errorf("open log: %w", err)
	}
	if err = s.log.Truncate(int64(end)); err != nil {
		return fmt.Errorf("truncate torn log tail: %w", err)
	}
	s.logSize = int64(end)
	s.hardState = stored.HardState
	return s.folder.sync()
}

// replayRecord applies one record to the stored state; an entry replaces all entries at or after its index.
func replayRecord(stored *repl.Stored, r record) error {
	if r.HardState != nil {
		stored.HardState = *r.HardState
	}
	for _, e := range r.Entries {
		if e.Index <= stored.Snapshot.Index {
			continue
		}
		pos := e.Index - stored.Snapshot.Index - 1
		if pos > uint64(len(stored.Entries)) {
			return ErrDamaged
		}
		stored.Entries = append(stored.Entries[:pos], e)
	}
	return nil
}

// wipe removes the files of the folder; the next load creates a new identity.
func (s *Store) wipe() error {
	for _, f := range []string{identityFile, logFile, snapshotFile} {
		if err := s.folder.remove(f); err != nil && !errors.Is(err, os.ErrNotExist) {
			return fmt.Errorf("remove damaged file: %w", err)
		}
	}
	return s.folder.sync()
}

// NewID returns a random ID of 16 hexadecimal digits, for a data folder or a cluster.
func NewID() string {
	var b [8]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// Identity returns the folder's identity.
func (s *Store) Identity() Identity {
	return s.ident
}

// SetCluster records that the folder belongs to a cluster with the given founding configuration.
func (s *Store) SetCluster(cluster string, founding repl.Conf) error {
	if err := s.log.Sync(); err != nil {
		return fmt.Errorf("sync log: %w", err)
	}
	ident := s.ident
	ident.Cluster, ident.FoundingConf = cluster, founding
	if err := s.writeFile(identityFile, ident); err != nil {
		return err
	}
	s.ident = ident
	return nil
}

// Save persists the state in a replica's output with one synced write to the log. If the output has a snapshot, Save first stores
// it and drops all entries of the log.
func (s *Store) Save(out repl.Output) error {
	if out.HardState != nil {
		s.hardState = *out.HardState
	}
	if out.Snapshot != nil {
		if err := s.Compact(*out.Snapshot, nil); err != nil {
			return err
		}
	}
	if out.HardState == nil && len(out.Entries) == 0 {
		return nil
	}
	buf, err := appendRecord(s.buf[:0], record{HardState: out.HardState, Entries: out.Entries})
	if err != nil {
		return err
	}
	s.buf = buf
	if _, err = s.log.WriteAt(buf, s.logSize); err != nil {
		return fmt.Errorf("write log: %w", err)
	}
	if err = s.log.Sync(); err != nil {
		return fmt.Errorf("sync log: %w", err)
	}
	s.logSize += int64(len(buf))
	return nil
}

// Compact stores a snapshot and replaces the log by the current term and vote and the given entries.
func (s *Store) Compact(snap repl.Snapshot, entries []repl.Entry) error {
	if err := s.writeFile(snapshotFile, snap); err != nil {
		return err
	}
	buf, err := appendRecord(nil, record{HardState: &s.hardState, Entries: entries})
	if err != nil {
		return err
	}
	if err := s.replaceFile(logFile, buf); err != nil {
		return err
	}
	_ = s.log.Close()
	if s.log, err = s.folder.open(logFile); err != nil {
		return fmt.Errorf("open log: %w", err)
	}
	s.logSize = int64(len(buf))
	return nil
}

// Snapshot returns the stored snapshot.
func (s *Store) Snapshot() (repl.Snapshot, error) {
	var snap repl.Snapshot
	err := s.readFile(snapshotFile, &snap)
	return snap, err
}

// LogSize returns the size of the log file in bytes.
func (s *Store) LogSize() int64 {
	return s.logSize
}

// Close closes the log file.
func (s *Store) Close() error {
	return s.log.Close()
}

// readFile decodes a checksummed file into v. It returns ErrDamaged if the file is corrupt.
func (s *Store) readFile(name string, v any) error {
	data, err := s.folder.read(name)
	if err != nil {
		return err
	}
	var f checksummed
	if cbor.Unmarshal(data, &f) != nil || xxhash.Sum64(f.Body) != f.Checksum {
		return ErrDamaged
	}
	if cbor.Unmarshal(f.Body, v) != nil {
		return ErrDamaged
	}
	return nil
}

// writeFile atomically replaces a file by the encoding of v with a checksum.
func (s *Store) writeFile(name string, v any) error {
	body, err := cbor.Marshal(v)
	if err != nil {
		return err
	}
	data, err := cbor.Marshal(checksummed{Checksum: xxhash.Sum64(body), Body: body})
	if err != nil {
		return err
	}
	return s.replaceFile(name, data)
}

// replaceFile replaces a file atomically: it writes and syncs a temporary file, renames it, and syncs the folder.
func (s *Store) replaceFile(name string, data []byte) error {
	tmp := name + tmpSuffix
	f, err := s.folder.truncate(tmp)
	if err != nil {
		return fmt.Errorf("write %s: %w", name, err)
	}
	if _, err = f.Write(data); err == nil {
		err = f.Sync()
	}
	if closeErr := f.Close(); err == nil {
		err = closeErr
	}
	if err != nil {
		return fmt.Errorf("write %s: %w", name, err)
	}
	if err = s.folder.rename(tmp, name); err != nil {
		return fmt.Errorf("rename %s: %w", name, err)
	}
	return s.folder.sync()
}
