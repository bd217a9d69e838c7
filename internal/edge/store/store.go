// Package store keeps readings on a disk until they are recorded, in one bbolt
// file. A reading whose storing was confirmed survives the end of the process at
// any moment, and of the machine if its disk flushes when asked to.
package store

import (
	"errors"
	"fmt"
	"sync"

	"go.etcd.io/bbolt"

	"lotusbend/internal/edge/intake"
)

// maxQueuedChanges bounds the changes that wait for a commit.
const maxQueuedChanges = 1 << 16

// Store is an open file. Its methods are safe for concurrent use and return at
// once, except Conflicts and Close. Changes are made in the order of the calls,
// many in one commit, by one goroutine that Close ends.
type Store struct {
	db           *bbolt.DB
	maxBytes     int           // bytes of readings
	commitSignal chan struct{} // signals the committing goroutine
	stopped      chan struct{} // closed when it has ended

	mu     sync.Mutex // guards what follows
	queue  []change
	bytes  int // of the readings in the file and in the queue
	closed bool
}

// change is one change of the file.
type change struct {
	kind    changeKind
	id      intake.ID
	encoded []byte      // the reading, for put and quarantine
	done    func(error) // called after the commit, unless nil
}

type changeKind uint8

const (
	putReading changeKind = iota
	deleteReading
	quarantineReading
)

// ErrFull reports that the store has as many bytes of readings as it may.
var ErrFull = errors.New("store: full")

var errClosed = errors.New("store: closed")

// Open opens or creates the file at path and returns the readings in it, ordered
// by device, epoch and sequence number. limit is in bytes of readings. The whole
// file is checked first: a damaged or foreign one is an error of one line, and
// is not changed.
func Open(path string, limit int) (s *Store, readings []intake.Reading, err error) {
	db, err := openFile(path)
	if err != nil {
		return nil, nil, fmt.Errorf("store %s: %w", path, err)
	}
	s = &Store{
		db:           db,
		maxBytes:     limit,
		commitSignal: make(chan struct{}, 1),
		stopped:      make(chan struct{}),
	}
	readings, s.bytes, err = loadReadings(db)
	if err != nil {
		return nil, nil, errors.Join(fmt.Errorf("store %s: %w", path, err), db.Close())
	}
	go s.commitLoop()
	return s, readings, nil
}

// Put stores a reading. done is called once from another goroutine: with nil
// when the reading is on the disk, with an error if it is not.
func (s *Store) Put(r *intake.Reading, done func(error)) {
	encoded := encodeReading(r)
	s.mu.Lock()
	defer s.mu.Unlock()
	size := len(encodeKey(r.ID)) + len(encoded)
	switch {
	case s.closed:
		go done(errClosed)
	case s.bytes+size > s.maxBytes || len(s.queue) >= maxQueuedChanges:
		go done(ErrFull)
	default:
		s.bytes += size
		s.enqueue(change{kind: putReading, id: r.ID, encoded: encoded, done: done})
	}
}

// Delete removes a reading that is recorded. If it comes back after a crash, a
// check finds it recorded.
func (s *Store) Delete(id intake.ID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.closed {
		s.enqueue(change{kind: deleteReading, id: id})
	}
}

// Quarantine moves a reading aside whose ID belongs to another value.
func (s *Store) Quarantine(r *intake.Reading) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.closed {
		s.enqueue(change{kind: quarantineReading, id: r.ID, encoded: encodeReading(r)})
	}
}

// Bytes returns the size of the readings in the store, with those that wait for
// their commit.
func (s *Store) Bytes() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.bytes
}

// Conflicts returns the quarantined readings.
func (s *Store) Conflicts() (readings []intake.Reading, err error) {
	err = s.db.View(func(tx *bbolt.Tx) error {
		return tx.Bucket([]byte(conflictsBucket)).ForEach(func(k, v []byte) error {
			reading, err := decodeReading(k, v)
			readings = append(readings, reading)
			return err
		})
	})
	return readings, err
}

// Close commits what is queued and closes the file.
func (s *Store) Close() error {
	s.mu.Lock()
	if s.closed {
		s.mu.Unlock()
		return nil
	}
	s.closed = true
	s.signalCommit()
	s.mu.Unlock()
	<-s.stopped
	return s.db.Close()
}

// enqueue requires s.mu.
func (s *Store) enqueue(c change) {
	s.queue = append(s.queue, c)
	s.signalCommit()
}

func (s *Store) signalCommit() {
	select {
	case s.commitSignal <- struct{}{}:
	default: // it is signalled already
	}
}

// commitLoop commits the queue, all of it at once, until the store is closed.
func (s *Store) commitLoop() {
	defer close(s.stopped)
	for range s.commitSignal {
		for {
			queue, closed := s.takeQueue()
			if len(queue) > 0 {
				s.commit(queue)
				continue
			}
			if closed {
				return
			}
			break
		}
	}
}

func (s *Store) takeQueue() (queue []change, closed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	queue = s.queue
	s.queue = nil
	return queue, s.closed
}

// commit makes all the changes or none, and reports the result.
func (s *Store) commit(queue []change) {
	freed := 0 // bytes of readings deleted or replaced
	err := s.db.Update(func(tx *bbolt.Tx) error {
		for _, c := range queue {
			bytes, err := c.apply(tx)
			if err != nil {
				return err
			}
			freed += bytes
		}
		return nil
	})
	if err != nil {
		// Nothing was changed. Readings that were to be deleted stay and will
		// be checked; those that were to be stored are given up.
		freed = putBytes(queue)
	}
	s.mu.Lock()
	s.bytes -= freed
	s.mu.Unlock()
	for _, c := range queue {
		if c.done != nil {
			c.done(err)
		}
	}
}

func putBytes(queue []change) (bytes int) {
	for _, c := range queue {
		if c.kind == putReading {
			bytes += len(encodeKey(c.id)) + len(c.encoded)
		}
	}
	return bytes
}

// apply makes one change and returns the size of the reading that it deleted or
// replaced.
func (c *change) apply(tx *bbolt.Tx) (freed int, err error) {
	readings := tx.Bucket([]byte(readingsBucket))
	k := encodeKey(c.id)
	old := readings.Get(k)
	if old != nil {
		freed = len(k) + len(old)
	}
	if c.kind == putReading {
		return freed, readings.Put(k, c.encoded)
	}
	if old != nil {
		if err := readings.Delete(k); err != nil {
			return 0, err
		}
	}
	if c.kind == quarantineReading {
		return freed, tx.Bucket([]byte(conflictsBucket)).Put(k, c.encoded)
	}
	return freed, nil
}
