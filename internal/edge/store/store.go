// Package store keeps readings on a lasting disk until they are recorded, in
// one bbolt file. What it has confirmed survives the process's end at any
// moment, and the machine's where the disk keeps its word.
package store

import (
	"encoding/binary"
	"errors"
	"fmt"
	"os"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.etcd.io/bbolt"

	"lotusbend/internal/edge/intake"
)

// The file's buckets. meta holds the format's name, by which a foreign file is
// told from a store.
const (
	metaBucket     = "meta"
	readingsBucket = "readings"
	conflictBucket = "conflicts"
	formatKey      = "format"
	format         = "lotusbend-edge-1"
)

// maxQueued bounds the changes that wait for the disk.
const maxQueued = 1 << 16

// Store is an open file. Its methods may be called from anywhere and return at
// once; what they ask for is done in the order of the calls, many in one
// commit.
type Store struct {
	db     *bbolt.DB
	most   int // bytes of readings
	mu     sync.Mutex
	wake   chan struct{}
	queue  []change
	held   int
	closed bool
	done   chan struct{}
}

type change struct {
	bucket string // "" to forget
	id     intake.ID
	value  []byte // encoded, nil to forget
	then   func(error)
}

// ErrFull tells that the readings in the store are as many as it may hold.
var ErrFull = errors.New("store: full")

var errClosed = errors.New("store: closed")

// Open opens or makes the file at path and returns the readings that it holds,
// in the order of their devices, epochs and sequences. The whole file is
// checked: a torn or foreign one is an error of one line, and stays as it is.
func Open(path string, most int) (s *Store, held []intake.Reading, err error) {
	db, err := open(path)
	if err != nil {
		return nil, nil, fmt.Errorf("store %s: %w", path, err)
	}
	s = &Store{db: db, most: most, wake: make(chan struct{}, 1), done: make(chan struct{})}
	if held, err = s.load(); err != nil {
		return nil, nil, errors.Join(fmt.Errorf("store %s: %w", path, err), db.Close())
	}
	go s.run()
	return s, held, nil
}

// open opens the file, if there is nothing wrong with it.
func open(path string) (db *bbolt.DB, err error) {
	defer func() { // what verify cannot see must not end the program either
		if r := recover(); r != nil {
			db, err = nil, fmt.Errorf("the file is damaged: %v", r)
		}
	}()
	info, err := os.Stat(path)
	switch {
	case errors.Is(err, os.ErrNotExist):
	case err != nil:
		return nil, err
	case info.Size() > 0: // else the process ended before the file was made
		if err := verify(path); err != nil {
			return nil, err
		}
	}
	if db, err = bbolt.Open(path, 0o600, &bbolt.Options{Timeout: time.Second, NoFreelistSync: true}); err != nil {
		return nil, err
	}
	err = db.View(func(tx *bbolt.Tx) error {
		meta := tx.Bucket([]byte(metaBucket))
		if meta == nil && empty(tx) || meta != nil && string(meta.Get([]byte(formatKey))) == format {
			return nil
		}
		return errForeign
	})
	if err != nil {
		return nil, errors.Join(err, db.Close())
	}
	err = db.Update(func(tx *bbolt.Tx) error {
		for _, name := range []string{metaBucket, readingsBucket, conflictBucket} {
			if _, err := tx.CreateBucketIfNotExists([]byte(name)); err != nil {
				return err
			}
		}
		return tx.Bucket([]byte(metaBucket)).Put([]byte(formatKey), []byte(format))
	})
	if err != nil {
		return nil, errors.Join(err, db.Close())
	}
	return db, nil
}

func empty(tx *bbolt.Tx) bool {
	k, _ := tx.Cursor().First()
	return k == nil
}

func (s *Store) load() (held []intake.Reading, err error) {
	err = s.db.View(func(tx *bbolt.Tx) error {
		return tx.Bucket([]byte(readingsBucket)).ForEach(func(k, v []byte) error {
			r, err := decode(k, v)
			if err != nil {
				return err
			}
			held = append(held, r)
			s.held += len(k) + len(v)
			return nil
		})
	})
	return held, err
}

// Put stores a reading. then is called once from another goroutine: with nil
// when the reading is on the disk, with an error if it is not.
func (s *Store) Put(r *intake.Reading, then func(error)) {
	v := encode(r)
	s.mu.Lock()
	defer s.mu.Unlock()
	size := len(key(r.ID)) + len(v)
	switch {
	case s.closed:
		go then(errClosed)
	case s.held+size > s.most || len(s.queue) >= maxQueued:
		go then(ErrFull)
	default:
		s.held += size
		s.add(change{readingsBucket, r.ID, v, then})
	}
}

// Forget removes a reading that is recorded. One that comes back after a crash
// is recorded already, which a check finds.
func (s *Store) Delete(id intake.ID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.closed {
		s.add(change{id: id})
	}
}

// Quarantine keeps a reading aside whose identity belongs to another value.
func (s *Store) Quarantine(r *intake.Reading) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.closed {
		s.add(change{conflictBucket, r.ID, encode(r), nil})
	}
}

// add is called with the lock held.
func (s *Store) add(c change) {
	s.queue = append(s.queue, c)
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// run commits what waits, all of it at once.
func (s *Store) run() {
	defer close(s.done)
	for range s.wake {
		for {
			s.mu.Lock()
			queue, closed := s.queue, s.closed
			s.queue = nil
			s.mu.Unlock()
			if len(queue) == 0 {
				if closed {
					return
				}
				break
			}
			s.commit(queue)
		}
	}
}

func (s *Store) commit(queue []change) {
	freed := 0
	err := s.db.Update(func(tx *bbolt.Tx) error {
		freed = 0
		readings, conflicts := tx.Bucket([]byte(readingsBucket)), tx.Bucket([]byte(conflictBucket))
		for _, c := range queue {
			k := key(c.id)
			if c.bucket == readingsBucket {
				if old := readings.Get(k); old != nil {
					freed += len(k) + len(old)
				}
				if err := readings.Put(k, c.value); err != nil {
					return err
				}
				continue
			}
			if old := readings.Get(k); old != nil {
				freed += len(k) + len(old)
				if err := readings.Delete(k); err != nil {
					return err
				}
			}
			if c.bucket == conflictBucket {
				if err := conflicts.Put(k, c.value); err != nil {
					return err
				}
			}
		}
		return nil
	})
	s.mu.Lock()
	if err == nil {
		s.held -= freed
	} else { // nothing of it is on the disk; what was to be forgotten will be checked
		for _, c := range queue {
			if c.bucket == readingsBucket {
				s.held -= len(key(c.id)) + len(c.value)
			}
		}
	}
	s.mu.Unlock()
	for _, c := range queue {
		if c.then != nil {
			c.then(err)
		}
	}
}

// Bytes returns how many bytes of readings are held.
func (s *Store) Bytes() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.held
}

// Conflicts returns the readings that were kept aside.
func (s *Store) Conflicts() (kept []intake.Reading, err error) {
	err = s.db.View(func(tx *bbolt.Tx) error {
		return tx.Bucket([]byte(conflictBucket)).ForEach(func(k, v []byte) error {
			r, err := decode(k, v)
			kept = append(kept, r)
			return err
		})
	})
	return kept, err
}

// Close commits what waits and closes the file.
func (s *Store) Close() error {
	s.mu.Lock()
	if s.closed {
		s.mu.Unlock()
		return nil
	}
	s.closed = true
	select {
	case s.wake <- struct{}{}:
	default:
	}
	s.mu.Unlock()
	<-s.done
	return s.db.Close()
}

// key orders readings by device, epoch and sequence. A device's name holds no
// length: a zero byte ends it, and one inside is escaped.
func key(id intake.ID) []byte {
	b := make([]byte, 0, len(id.Device)+18)
	for i := range len(id.Device) {
		if b = append(b, id.Device[i]); id.Device[i] == 0 {
			b = append(b, 0xff)
		}
	}
	b = binary.BigEndian.AppendUint64(append(b, 0, 1), id.Epoch)
	return binary.BigEndian.AppendUint64(b, id.Seq)
}

// encode writes what the key does not hold: the urgency, the route, the value.
func encode(r *intake.Reading) []byte {
	b := make([]byte, 0, len(r.Value)+3)
	var urgent byte
	if r.Urgent {
		urgent = 1
	}
	b = binary.BigEndian.AppendUint16(append(b, urgent), uint16(r.Route))
	b = append(b, r.Value...)
	return binary.BigEndian.AppendUint64(b, xxhash.Sum64(b)) // a page has no checksum of its own
}

func decode(k, v []byte) (r intake.Reading, err error) {
	if len(k) < 18 || len(v) < 11 {
		return r, fmt.Errorf("the file is damaged: an entry of %d and %d bytes is no reading", len(k), len(v))
	}
	v, sum := v[:len(v)-8], binary.BigEndian.Uint64(v[len(v)-8:])
	if xxhash.Sum64(v) != sum {
		return r, errors.New("the file is damaged: a reading that is not as it was written")
	}
	name := k[:len(k)-18]
	var device []byte
	for i := 0; i < len(name); i++ {
		device = append(device, name[i])
		if name[i] == 0 {
			i++
		}
	}
	r.ID = intake.ID{Device: string(device), Epoch: binary.BigEndian.Uint64(k[len(k)-16:]), Seq: binary.BigEndian.Uint64(k[len(k)-8:])}
	r.Urgent, r.Route, r.Value = v[0] == 1, int(binary.BigEndian.Uint16(v[1:])), append([]byte(nil), v[3:]...)
	return r, nil
}
