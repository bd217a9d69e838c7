// Package store keeps readings on disk, in one bbolt file, until they are
// recorded in the database. A reading whose storing was confirmed survives a
// crash of the process at any moment, and of the machine if its disk honors
// flush requests.
package store

import (
	"errors"
	"fmt"
	"sync"

	"go.etcd.io/bbolt"

	"lotusbend/internal/edge/intake"
)

// maxQueuedChanges is the number of changes waiting for a commit at which Put
// fails with ErrFull.
const maxQueuedChanges = 1 << 16

// Store is an open file of readings. Its methods are safe for concurrent use and
// do not wait for the disk, except Conflicts and Close. Changes are applied in
// the order of the calls, many in one commit, by one goroutine that Close ends.
type Store struct {
	db           *bbolt.DB
	maxBytes     int           // limit on bytes
	commitSignal chan struct{} // wakes commitLoop; its buffer holds one signal
	stopped      chan struct{} // closed when commitLoop has returned

	mu     sync.Mutex // guards the fields below
	queue  []change
	bytes  int // size of the entries in the file and of those queued, with their keys
	closed bool
}

// change is one change to the file.
type change struct {
	kind    changeKind
	id      intake.ID
	encoded []byte      // the encoded reading, for putReading and quarantineReading
	done    func(error) // called with the result of the commit, unless nil
}

// changeKind is the kind of a change.
type changeKind uint8

const (
	putReading changeKind = iota
	deleteReading
	quarantineReading
)

// ErrFull is the error of Put when the store is at its limit of bytes, or when
// too many changes wait for a commit.
var ErrFull = errors.New("store: full")

var errClosed = errors.New("store: closed")

// Open opens or creates the file at path and returns the readings in it, ordered
// by device, epoch and sequence number. maxBytes limits the size of the readings
// with their keys, without the quarantined ones; readings already in the file are
// loaded even beyond it. The whole file is verified first: one that is damaged or
// not a store is left unchanged and gives an error of one line.
func Open(path string, maxBytes int) (s *Store, readings []intake.Reading, err error) {
	db, err := openFile(path)
	if err != nil {
		return nil, nil, fmt.Errorf("opening store %q: %w", path, err)
	}
	s = &Store{
		db:           db,
		maxBytes:     maxBytes,
		commitSignal: make(chan struct{}, 1),
		stopped:      make(chan struct{}),
	}
	readings, s.bytes, err = loadReadings(db)
	if err != nil {
		return nil, nil, errors.Join(fmt.Errorf("loading store %q: %w", path, err), db.Close())
	}
	go s.commitLoop()
	return s, readings, nil
}

// Put stores a reading, replacing one of the same ID. done is called once from
// another goroutine: with nil when the reading is on disk, else with ErrFull or
// another error.
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

// Delete removes a recorded reading. A crash or a failed commit can undo this: a
// check then finds the reading recorded.
func (s *Store) Delete(id intake.ID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.closed {
		s.enqueue(change{kind: deleteReading, id: id})
	}
}

// Quarantine moves a reading to the conflicts, because another value is recorded
// under its ID.
func (s *Store) Quarantine(r *intake.Reading) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.closed {
		s.enqueue(change{kind: quarantineReading, id: r.ID, encoded: encodeReading(r)})
	}
}

// Bytes returns the size of the stored readings with their keys, in bytes. It
// includes those that wait for a commit, but not the quarantined ones.
func (s *Store) Bytes() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.bytes
}

// Conflicts returns the quarantined readings, ordered by device, epoch and
// sequence number.
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

// Close commits the queued changes and closes the file. Later changes are
// ignored, except that Put reports an error.
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

// enqueue adds a change to the queue. The caller must hold s.mu.
func (s *Store) enqueue(c change) {
	s.queue = append(s.queue, c)
	s.signalCommit()
}

// signalCommit wakes commitLoop.
func (s *Store) signalCommit() {
	select {
	case s.commitSignal <- struct{}{}:
	default: // a signal is already pending
	}
}

// commitLoop commits the queued changes, all of them at once, until the store is
// closed and the queue is empty.
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

// takeQueue empties the queue and returns its changes, and whether the store is
// closed.
func (s *Store) takeQueue() (queue []change, closed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	queue = s.queue
	s.queue = nil
	return queue, s.closed
}

// commit applies all the changes or none, and reports the result to their done
// functions.
func (s *Store) commit(queue []change) {
	freed := 0 // bytes of entries deleted or replaced
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
		// Nothing was changed. Readings that were to be deleted or quarantined stay
		// in the file and are checked after a restart; those that were to be stored
		// are not, and their done functions get the error.
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

// putBytes returns the size of the entries that a queue was to store.
func putBytes(queue []change) (bytes int) {
	for _, c := range queue {
		if c.kind == putReading {
			bytes += len(encodeKey(c.id)) + len(c.encoded)
		}
	}
	return bytes
}

// apply applies the change and returns the size of the entry that it deleted or
// replaced, in bytes.
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
