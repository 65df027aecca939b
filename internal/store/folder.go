package store

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
)

type (
	// folder is a data folder. Changes of its names are durable after sync, those of a file's content after the file's Sync.
	folder interface {
		// create makes the folder if it does not exist; it is durable then.
		create() error
		// read returns the content of a file, or os.ErrNotExist.
		read(name string) ([]byte, error)
		// open opens a file for reading and writing, and creates it if it does not exist.
		open(name string) (file, error)
		// truncate opens a new or emptied file for writing.
		truncate(name string) (file, error)
		rename(from, to string) error
		remove(name string) error
		sync() error
	}

	// file is an open file of a folder.
	file interface {
		io.Writer
		io.WriterAt
		Truncate(size int64) error
		Sync() error
		Close() error
	}

	// dirFolder is a folder in the file system, by its path.
	dirFolder string
)

// create makes the folder and its parents, and syncs the folders in which a name is new.
func (d dirFolder) create() error {
	var missing []string
	for path := filepath.Clean(string(d)); ; path = filepath.Dir(path) {
		if _, err := os.Stat(path); err == nil || filepath.Dir(path) == path {
			break
		}
		missing = append(missing, path)
	}
	if err := os.MkdirAll(string(d), dirMode); err != nil {
		return fmt.Errorf("create data folder: %w", err)
	}
	for _, path := range missing {
		if err := dirFolder(filepath.Dir(path)).sync(); err != nil {
			return err
		}
	}
	return nil
}

func (d dirFolder) path(name string) string {
	return filepath.Join(string(d), name)
}

func (d dirFolder) read(name string) ([]byte, error) {
	return os.ReadFile(d.path(name))
}

func (d dirFolder) open(name string) (file, error) {
	f, err := os.OpenFile(d.path(name), os.O_CREATE|os.O_RDWR, fileMode)
	if err != nil {
		return nil, err
	}
	return f, nil
}

func (d dirFolder) truncate(name string) (file, error) {
	f, err := os.OpenFile(d.path(name), os.O_CREATE|os.O_TRUNC|os.O_WRONLY, fileMode)
	if err != nil {
		return nil, err
	}
	return f, nil
}

func (d dirFolder) rename(from, to string) error {
	return os.Rename(d.path(from), d.path(to))
}

func (d dirFolder) remove(name string) error {
	return os.Remove(d.path(name))
}

func (d dirFolder) sync() error {
	dir, err := os.Open(string(d))
	if err != nil {
		return fmt.Errorf("open data folder: %w", err)
	}
	defer func() { _ = dir.Close() }()
	if err = dir.Sync(); err != nil {
		return fmt.Errorf("sync data folder: %w", err)
	}
	return nil
}
