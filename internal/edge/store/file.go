package store

import (
	"errors"
	"fmt"
	"os"
	"time"

	"go.etcd.io/bbolt"

	"lotusbend/internal/edge/intake"
)

// The file's buckets. The metadata holds the format's name, which distinguishes
// a store from a foreign file.
const (
	metadataBucket  = "meta"
	readingsBucket  = "readings"
	conflictsBucket = "conflicts"
	formatKey       = "format"
	formatName      = "lotusbend-edge-1"
)

const (
	filePermissions = 0o600
	// lockTimeout is how long Open waits for another process to close the file.
	lockTimeout = time.Second
)

var (
	errNotStore = errors.New("the file is no store of readings of this program")
	errDamaged  = errors.New("the file is damaged")
)

// openFile opens or creates the file, after a check of its contents.
func openFile(path string) (db *bbolt.DB, err error) {
	defer func() { // bbolt panics on damage that verify cannot see
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

// verifyIfWritten verifies the file unless it is absent or empty, as after a
// crash before its first write.
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

// checkFormat accepts a store of readings and a database without any bucket.
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

func createBuckets(tx *bbolt.Tx) error {
	for _, name := range []string{metadataBucket, readingsBucket, conflictsBucket} {
		if _, err := tx.CreateBucketIfNotExists([]byte(name)); err != nil {
			return err
		}
	}
	return tx.Bucket([]byte(metadataBucket)).Put([]byte(formatKey), []byte(formatName))
}

// loadReadings returns all stored readings and their size with their keys.
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
