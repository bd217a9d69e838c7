package store

import (
	"errors"
	"fmt"
	"os"
	"time"

	"go.etcd.io/bbolt"

	"lotusbend/internal/edge/intake"
)

// The names of the file's buckets, and the entry of the metadata bucket that
// distinguishes a store from other bbolt files.
const (
	metadataBucket  = "meta"
	readingsBucket  = "readings"
	conflictsBucket = "conflicts"
	formatKey       = "format"
	formatName      = "lotusbend-edge-1"
)

const (
	filePermissions = 0o600
	// lockTimeout is how long Open waits for another process to unlock the file.
	lockTimeout = time.Second
)

var (
	errNotStore = errors.New("file is not a store of readings of this program")
	errDamaged  = errors.New("file is damaged")
)

// openFile opens or creates the file. It verifies an existing one first and does
// not change it if that fails.
func openFile(path string) (db *bbolt.DB, err error) {
	defer func() { // bbolt panics on damage that verify does not detect
		if panicked := recover(); panicked != nil {
			db = nil
			err = fmt.Errorf("%w: %v", errDamaged, panicked)
		}
	}()
	if err := verifyIfWritten(path); err != nil {
		return nil, err
	}
	options := &bbolt.Options{Timeout: lockTimeout, NoFreelistSync: true}
	if db, err = bbolt.Open(path, filePermissions, options); err != nil {
		return nil, err
	}
	if err = db.View(checkFormat); err == nil {
		err = db.Update(createBuckets)
	}
	if err != nil {
		return nil, errors.Join(err, db.Close())
	}
	return db, nil
}

// verifyIfWritten verifies the file unless it is absent or empty. It is empty
// after a crash before the first write.
func verifyIfWritten(path string) error {
	info, err := os.Stat(path)
	if errors.Is(err, os.ErrNotExist) {
		return nil
	}
	if err != nil {
		return err
	}
	if info.Size() == 0 {
		return nil
	}
	return verify(path)
}

// checkFormat returns errNotStore unless the database is a store of readings or
// has no bucket at all.
func checkFormat(tx *bbolt.Tx) error {
	metadata := tx.Bucket([]byte(metadataBucket))
	if metadata == nil {
		if first, _ := tx.Cursor().First(); first != nil {
			return errNotStore
		}
		return nil
	}
	if string(metadata.Get([]byte(formatKey))) != formatName {
		return errNotStore
	}
	return nil
}

// createBuckets creates the buckets that are missing and writes the format's
// name.
func createBuckets(tx *bbolt.Tx) error {
	for _, name := range []string{metadataBucket, readingsBucket, conflictsBucket} {
		if _, err := tx.CreateBucketIfNotExists([]byte(name)); err != nil {
			return err
		}
	}
	return tx.Bucket([]byte(metadataBucket)).Put([]byte(formatKey), []byte(formatName))
}

// loadReadings returns all stored readings in the order of their keys, and the
// size of their entries in bytes.
func loadReadings(db *bbolt.DB) (readings []intake.Reading, bytes int, err error) {
	err = db.View(func(tx *bbolt.Tx) error {
		return tx.Bucket([]byte(readingsBucket)).ForEach(func(k, v []byte) error {
			reading, err := decodeReading(k, v)
			if err != nil {
				return err
			}
			readings = append(readings, reading)
			bytes += len(k) + len(v)
			return nil
		})
	})
	return readings, bytes, err
}
