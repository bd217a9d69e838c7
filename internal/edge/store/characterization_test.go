package store_test

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"flag"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"go.etcd.io/bbolt"

	"lotusbend/internal/edge/intake"
	"lotusbend/internal/edge/store"
)

// update rewrites the expected values. They may change only with a deliberate
// change of behaviour, which the commit message must name.
var update = flag.Bool("update", false,
	"rewrite testdata/characterization.txt; only for a deliberate change of behaviour")

const expectedFile = "testdata/characterization.txt"

// storeFile was written by an earlier version of the program and is never
// rewritten: every later version must find the readings in it, as a router finds
// those on its disk after an upgrade. -update creates it only if it is missing.
const storeFile = "testdata/store.db"

// maxBytes limits the readings in the stores of these tests.
const maxBytes = 1 << 20

// TestCharacterization compares with the expected values what is read from a
// file of an earlier version, what an Intake does with its readings, and what
// this version writes.
func TestCharacterization(t *testing.T) {
	got := map[string]string{}
	if _, err := os.Stat(storeFile); *update && os.IsNotExist(err) {
		writeStore(t, storeFile)
	}
	path := copyOfStore(t)
	readings := readStore(t, got, "old", path)
	recoverReadings(t, got, readings)

	writeStore(t, path) // adds to the readings in the file
	readStore(t, got, "old-and-new", path)

	path = filepath.Join(t.TempDir(), "store")
	writeStore(t, path)
	readStore(t, got, "new", path)
	readEntries(t, got, path)
	got["errors"] = putErrors(t)
	got["spoilt-files"] = corruptedFiles(t)
	compareExpected(t, got)
}

// compareExpected compares the scenarios with the expected values, or rewrites
// these with -update.
func compareExpected(t *testing.T, got map[string]string) {
	t.Helper()
	if *update {
		var out strings.Builder
		for _, name := range slices.Sorted(maps.Keys(got)) {
			fmt.Fprintln(&out, strings.TrimSpace(name+" "+got[name]))
		}
		if err := os.WriteFile(expectedFile, []byte(out.String()), 0o644); err != nil {
			t.Fatal(err)
		}
		return
	}
	text, err := os.ReadFile(expectedFile)
	if err != nil {
		t.Fatal(err)
	}
	want := map[string]string{}
	for line := range strings.Lines(string(text)) {
		name, value, _ := strings.Cut(strings.TrimSuffix(line, "\n"), " ")
		want[name] = value
	}
	for _, name := range slices.Sorted(maps.Keys(got)) {
		if value, ok := want[name]; !ok {
			t.Errorf("scenario %s is not in %s", name, expectedFile)
		} else if got[name] != value {
			t.Errorf("scenario %s: got %s, want %s", name, got[name], value)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(want)) {
		if _, ok := got[name]; !ok {
			t.Errorf("scenario %s of %s did not run", name, expectedFile)
		}
	}
}

// copyOfStore copies storeFile to a temporary file and returns its path.
func copyOfStore(t *testing.T) (path string) {
	t.Helper()
	file, err := os.ReadFile(storeFile)
	if err != nil {
		t.Fatal(err)
	}
	path = filepath.Join(t.TempDir(), "store")
	if err := os.WriteFile(path, file, 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

func open(t *testing.T, path string) (*store.Store, []intake.Reading) {
	t.Helper()
	s, readings, err := store.Open(path, maxBytes)
	if err != nil {
		t.Fatal(err)
	}
	return s, readings
}

func closeStore(t *testing.T, s *store.Store) {
	t.Helper()
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
}

// reading returns a reading on route 1 whose value names its ID.
func reading(device string, epoch, seq uint64) *intake.Reading {
	id := intake.ID{Device: device, Epoch: epoch, Seq: seq}
	return &intake.Reading{ID: id, Route: 1, Value: fmt.Appendf(nil, "%s/%d/%d", device, epoch, seq)}
}

// writeStore leaves readings in every state in the store at path: stored, urgent
// or not, with the least and greatest numbers and names, written twice, deleted
// because they are recorded, and quarantined, both stored ones and others.
func writeStore(t *testing.T, path string) {
	t.Helper()
	s, _ := open(t, path)
	urgent := reading("meter-2", 1, 4)
	urgent.Urgent = true
	first := reading("meter-3", 0, 0)
	first.Route = 0
	last := reading("meter-3", math.MaxUint64, math.MaxUint64)
	last.Route = math.MaxUint16
	withoutValue, replaced := reading("meter-4", 1, 1), reading("meter-4", 1, 2)
	withoutValue.Value, replaced.Value = nil, []byte("the first value")
	binary := reading("\x00\xff\x00a\x00", 1, 1)
	binary.Value = []byte{0, 1, 0xfe, 0xff}
	longest := reading(strings.Repeat("n", intake.MaxDeviceNameBytes), 1, 1)
	recorded, quarantined := reading("meter-1", 1, 1), reading("meter-1", 1, 2)
	for _, r := range []*intake.Reading{
		recorded, quarantined, reading("meter-1", 1, 3), reading("meter-1", 2, 1), reading("meter-1", 1, 256), urgent,
		first, last, withoutValue, replaced, reading("meter-4", 1, 2), binary, longest,
		reading("m", 1, 1), reading("meter-10", 1, 1), reading("gone", 1, 1),
	} {
		put(t, s, r)
	}
	s.Delete(recorded.ID)
	s.Delete(intake.ID{Device: "gone", Epoch: 1, Seq: 1})
	s.Delete(intake.ID{Device: "never there", Epoch: 1, Seq: 1})
	quarantined.Urgent = true
	s.Quarantine(quarantined)
	s.Quarantine(reading("meter-5", 3, 9))
	closeStore(t, s)
}

// put stores a reading and waits until it is confirmed.
func put(t *testing.T, s *store.Store, r *intake.Reading) {
	t.Helper()
	done := make(chan error, 1)
	s.Put(r, func(err error) { done <- err })
	if err := <-done; err != nil {
		t.Fatal(err)
	}
}

// readStore adds to got the readings and conflicts in the store at path, under
// names that begin with name, and returns the readings.
func readStore(t *testing.T, got map[string]string, name, path string) (readings []intake.Reading) {
	t.Helper()
	s, readings := open(t, path)
	defer closeStore(t, s)
	for i, r := range readings {
		got[fmt.Sprintf("%s-held-%02d", name, i)] = readingText(&r)
	}
	conflicts, err := s.Conflicts()
	if err != nil {
		t.Fatal(err)
	}
	for i, r := range conflicts {
		got[fmt.Sprintf("%s-conflict-%02d", name, i)] = readingText(&r)
	}
	got[name+"-bytes"] = fmt.Sprint(s.Bytes())
	return readings
}

// readingText returns a reading's device, epoch, sequence number, route, urgency
// and value as one line.
func readingText(r *intake.Reading) string {
	return fmt.Sprintf("%x %d %d %d %d =%x", r.Device, r.Epoch, r.Seq, r.Route, digit(r.Urgent), r.Value)
}

// readEntries adds to got the key and the value of every entry in the file at
// path, as they are on disk.
func readEntries(t *testing.T, got map[string]string, path string) {
	t.Helper()
	db, err := bbolt.Open(path, 0o600, &bbolt.Options{ReadOnly: true})
	if err != nil {
		t.Fatal(err)
	}
	defer db.Close()
	err = db.View(func(tx *bbolt.Tx) error {
		return tx.ForEach(func(bucket []byte, b *bbolt.Bucket) error {
			count := 0
			return b.ForEach(func(key, value []byte) error {
				got[fmt.Sprintf("entry-%x-%02d", bucket, count)] = hex.EncodeToString(key) + " " + hex.EncodeToString(value)
				count++
				return nil
			})
		})
	})
	if err != nil {
		t.Fatal(err)
	}
}

// putErrors returns two digits for each of four calls of Put: whether it failed,
// and whether with ErrFull. The second and third exceed the limit, and the fourth
// comes after Close.
func putErrors(t *testing.T) (text string) {
	t.Helper()
	const oneReadingBytes = 60 // enough for one reading, not for two
	s, _, err := store.Open(filepath.Join(t.TempDir(), "store"), oneReadingBytes)
	if err != nil {
		t.Fatal(err)
	}
	for n := range 4 {
		if n == 3 {
			closeStore(t, s)
			closeStore(t, s)
			s.Delete(intake.ID{Device: "a"})
			s.Quarantine(reading("a", 1, 1))
		}
		done := make(chan error, 1)
		s.Put(reading("meter", 1, uint64(n)), func(err error) { done <- err })
		err := <-done
		text += fmt.Sprintf("%d%d ", digit(err != nil), digit(errors.Is(err, store.ErrFull)))
	}
	return strings.TrimSpace(text)
}

// digit returns 1 for true and 0 for false.
func digit(condition bool) int {
	if condition {
		return 1
	}
	return 0
}

// corruptedFiles opens copies of storeFile with a few bytes changed, a tenth of
// them also truncated, and returns the digest of the results.
func corruptedFiles(t *testing.T) string {
	t.Helper()
	const copies = 250
	original, err := os.ReadFile(storeFile)
	if err != nil {
		t.Fatal(err)
	}
	random := rand.New(rand.NewPCG(1, 2))
	path := filepath.Join(t.TempDir(), "store")
	results := sha256.New()
	for n := range copies {
		file := slices.Clone(original)
		for range 1 + random.IntN(3) {
			at := random.IntN(len(file))
			if random.IntN(2) == 0 { // the beginning of a page, where its header and elements are
				at = at&^4095 + random.IntN(160)
			}
			file[at] ^= byte(1 + random.IntN(255))
		}
		if n%10 == 0 {
			file = file[:random.IntN(len(file))]
		}
		if err := os.WriteFile(path, file, 0o600); err != nil {
			t.Fatal(err)
		}
		s, readings, err := store.Open(path, maxBytes)
		fmt.Fprintln(results, digit(err != nil), len(readings))
		for _, r := range readings {
			fmt.Fprintln(results, readingText(&r))
		}
		if err == nil {
			closeStore(t, s)
		}
	}
	return hex.EncodeToString(results.Sum(nil))
}

// database implements intake.Actions. It records the actions and queues the
// submissions, which recoverReadings serves in order.
type database struct {
	actions     []string
	submissions []submission
}

// submission is the arguments of a call of Submit.
type submission struct {
	number    uint64
	operation intake.Operation
	reading   *intake.Reading
}

func (d *database) Submit(id intake.ID, n uint64, operation intake.Operation, r *intake.Reading, group int, timeout float64) {
	d.record(0, id, n, uint64(operation), uint64(group), uint64(timeout))
	d.actions[len(d.actions)-1] += " " + id.Row() + " " + id.Key() + " " + readingText(r)
	d.submissions = append(d.submissions, submission{n, operation, r})
}
func (d *database) Answer(intake.Origin, intake.Answer) { d.actions = append(d.actions, "1") }
func (d *database) Persist(r *intake.Reading)           { d.record(2, r.ID) }
func (d *database) Delete(id intake.ID)                 { d.record(3, id) }
func (d *database) Quarantine(r *intake.Reading)        { d.record(4, r.ID) }

// record adds an action: its kind, the reading's ID and further numbers.
func (d *database) record(kind int, id intake.ID, numbers ...uint64) {
	action := fmt.Sprintf("%d %x %d %d", kind, id.Device, id.Epoch, id.Seq)
	for _, n := range numbers {
		action += fmt.Sprintf(" %d", n)
	}
	d.actions = append(d.actions, action)
}

// recoverReadings adds to got the actions of an Intake that recovers the
// readings. Checks find no row, and writes are recorded except those of the
// device "m", for which another value is recorded already.
func recoverReadings(t *testing.T, got map[string]string, readings []intake.Reading) {
	t.Helper()
	const now, windowMs = 1.7e12, 60000 // now is in Unix milliseconds
	var routes [math.MaxUint16 + 1]intake.Route
	for i := range routes {
		routes[i] = intake.Route{IdempotencyWindow: windowMs, Groups: []int{0, 1, 2}}
	}
	config := intake.Defaults()
	config.Durable = true
	d := &database{}
	in, err := intake.New(config, routes[:], 1, d)
	if err != nil {
		t.Fatal(err)
	}
	for _, r := range readings {
		in.Recover(now, r)
	}
	for len(d.submissions) > 0 {
		s := d.submissions[0]
		d.submissions = d.submissions[1:]
		switch {
		case s.operation == intake.Check:
			in.Served(now, s.number, nil)
		case s.reading.Device == "m":
			in.Served(now, s.number, []byte("another value"))
		default:
			in.Served(now, s.number, s.reading.Value)
		}
	}
	for i, action := range d.actions {
		got[fmt.Sprintf("recovered-%02d", i)] = action
	}
}
