package store

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"lotusbend/internal/edge/intake"
)

// reading returns a reading of epoch 1, urgent if seq is even.
func reading(device string, seq uint64, value string) *intake.Reading {
	id := intake.ID{Device: device, Epoch: 1, Seq: seq}
	return &intake.Reading{ID: id, Route: 2, Value: []byte(value), Urgent: seq%2 == 0}
}

// put stores readings and waits until all are confirmed.
func put(t *testing.T, s *Store, rs ...*intake.Reading) {
	t.Helper()
	done := make(chan error, len(rs))
	for _, r := range rs {
		s.Put(r, func(err error) { done <- err })
	}
	for range rs {
		if err := <-done; err != nil {
			t.Fatal(err)
		}
	}
}

// describe returns the device, sequence number and value of each reading.
func describe(readings []intake.Reading) string {
	var words []string
	for _, r := range readings {
		words = append(words, fmt.Sprintf("%s%d=%s", r.Device, r.Seq, r.Value))
	}
	return strings.Join(words, " ")
}

// openStore opens a store, which the end of the test closes.
func openStore(t *testing.T, path string) (*Store, []intake.Reading) {
	t.Helper()
	s, readings, err := Open(path, 1<<20)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = s.Close() })
	return s, readings
}

func TestConfirmedReadingsSurviveReopening(t *testing.T) {
	path := filepath.Join(t.TempDir(), "store")
	s, readings := openStore(t, path)
	if len(readings) != 0 {
		t.Fatalf("Open of a new store returned %v, want no readings", readings)
	}
	put(t, s, reading("b", 1, "x"), reading("a", 2, "y"), reading("a", 1, "z"), reading("a\x00", 1, "w"), reading("c", 1, "v"))
	s.Delete(intake.ID{Device: "b", Epoch: 1, Seq: 1})
	s.Quarantine(reading("c", 1, "v"))
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
	s.Put(reading("d", 1, "late"), func(err error) {
		if err == nil {
			t.Error("Put on a closed store succeeded, want an error")
		}
	})
	s, readings = openStore(t, path)
	wrongFields := len(readings) < 2 || readings[1].Route != 2 || !readings[1].Urgent || readings[0].Urgent
	if got, want := describe(readings), "a1=z a2=y a\x001=w"; got != want || wrongFields {
		t.Errorf("Open returned %q (%+v), want %q on route 2, urgent if the number is even", got, readings, want)
	}
	if conflicts, err := s.Conflicts(); err != nil || describe(conflicts) != "c1=v" {
		t.Errorf("Conflicts() = %v, %v, want c1=v", conflicts, err)
	}
	if want := 3*(18+11+1) + 4 + 1; s.Bytes() != want {
		t.Errorf("Bytes() = %d, want %d", s.Bytes(), want)
	}
}

func TestFullStoreReturnsErrFull(t *testing.T) {
	s, _, err := Open(filepath.Join(t.TempDir(), "store"), 70)
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	put(t, s, reading("a", 1, "x"), reading("a", 2, "x"))
	done := make(chan error, 1)
	s.Put(reading("a", 3, "x"), func(err error) { done <- err })
	if err := <-done; !errors.Is(err, ErrFull) {
		t.Errorf("Put beyond the limit: error %v, want %v", err, ErrFull)
	}
}

// A process that is killed during a commit has written only some of its pages,
// perhaps the last of them in part. Each such file must open, with the readings
// from either before or after the commit.
func TestInterruptedCommitIsAtomic(t *testing.T) {
	dir := t.TempDir()
	path := filepath.Join(dir, "store")
	s, _ := openStore(t, path)
	put(t, s, reading("a", 1, "one"), reading("b", 1, "two"))
	before, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	const pageSize = 4096
	putChanges := func(rs ...*intake.Reading) (queue []change) {
		for _, r := range rs {
			queue = append(queue, change{kind: putReading, id: r.ID, encoded: encodeReading(r)})
		}
		return queue
	}
	var many []*intake.Reading
	for seq := range uint64(200) {
		many = append(many, reading("e", seq, strings.Repeat("v", 100)))
	}
	deletion := change{kind: deleteReading, id: intake.ID{Device: "a", Epoch: 1, Seq: 1}}
	quarantine := change{kind: quarantineReading, id: many[7].ID, encoded: encodeReading(many[7])}
	for step, queue := range [][]change{ // each is one commit
		putChanges(reading("c", 1, "three")),
		putChanges(reading("d", 1, strings.Repeat("long", 3000))),
		putChanges(many...),
		append(putChanges(reading("f", 1, "last")), deletion),
		{quarantine, deletion},
	} {
		s.commit(queue)
		after, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		readingsBefore, readingsAfter := readingsIn(t, dir, before), readingsIn(t, dir, after)
		var changed []int
		for at := 0; at < len(after); at += pageSize {
			newPage := after[at:min(at+pageSize, len(after))]
			if at >= len(before) || !bytes.Equal(before[at:min(at+pageSize, len(before))], newPage) {
				changed = append(changed, at)
			}
		}
		// The first two pages are the meta pages, which bbolt writes last.
		slices.SortStableFunc(changed, func(a, b int) int { return metaOrder(a) - metaOrder(b) })
		interruptions := 0
		for n := range len(changed) + 1 {
			file := append([]byte(nil), before...)
			if len(after) > len(file) { // the file grows before its pages are written
				file = append(file, make([]byte, len(after)-len(file))...)
			}
			for _, at := range changed[:n] {
				copy(file[at:], after[at:min(at+pageSize, len(after))])
			}
			variants := [][]byte{file}
			if n < len(changed) { // a variant in which the next page is written in part
				torn := append([]byte(nil), file...)
				copy(torn[changed[n]:], after[changed[n]:min(changed[n]+pageSize/8, len(after))])
				variants = append(variants, torn)
			}
			for _, v := range variants {
				interruptions++
				if got := readingsIn(t, dir, v); got != readingsBefore && got != readingsAfter {
					t.Fatalf("commit %d, interrupted after page %d: readings %q, want %q or %q",
						step, n, got, readingsBefore, readingsAfter)
				}
			}
		}
		if interruptions < 4 {
			t.Fatalf("commit %d: tested %d interruptions, want at least 4", step, interruptions)
		}
		before = after
	}
}

// metaOrder returns 1 for the offset of a meta page and 0 for that of another.
func metaOrder(at int) int {
	if at < 2*4096 {
		return 1
	}
	return 0
}

// readingsIn opens a store with the given content and describes its readings.
func readingsIn(t *testing.T, dir string, file []byte) string {
	t.Helper()
	path := filepath.Join(dir, "interrupted")
	if err := os.WriteFile(path, file, 0o600); err != nil {
		t.Fatal(err)
	}
	s, readings, err := Open(path, 1<<20)
	if err != nil {
		t.Fatalf("Open after an interrupted commit: %v", err)
	}
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
	return describe(readings)
}

// A file that is damaged or not a store gives an error, never a panic, and is
// left unchanged.
func TestOpenRejectsDamagedOrForeignFile(t *testing.T) {
	dir := t.TempDir()
	path := filepath.Join(dir, "store")
	s, _ := openStore(t, path)
	for seq := range uint64(300) {
		put(t, s, reading("a", seq, strings.Repeat("x", 50)))
	}
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
	good, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	corrupted := append([]byte(nil), good...)
	for at := 2 * 4096; at < len(corrupted); at++ {
		corrupted[at] ^= 0x5a
	}
	bad := map[string][]byte{
		"text": []byte(strings.Repeat("this is a letter\n", 1000)), "truncated": good[:5000], "corrupted pages": corrupted,
		"one meta page": good[:4096], "zeros": make([]byte, 20000),
	}
	for name, file := range bad {
		if err := os.WriteFile(path, file, 0o600); err != nil {
			t.Fatal(err)
		}
		s, _, err := Open(path, 1<<20)
		if err == nil {
			_ = s.Close()
			t.Errorf("%s: Open succeeded, want an error", name)
			continue
		}
		if now, _ := os.ReadFile(path); !bytes.Equal(now, file) {
			t.Errorf("%s: Open changed the file", name)
		}
	}
}

// Whatever bytes of the file are changed, Open returns an error or readings with
// the values that were stored.
func TestOpenOfCorruptedFileNeverPanics(t *testing.T) {
	dir := t.TempDir()
	path := filepath.Join(dir, "store")
	s, _ := openStore(t, path)
	for seq := range uint64(40) {
		put(t, s, reading("a", seq, strings.Repeat("x", 100)))
	}
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
	good, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	rapid.Check(t, func(t *rapid.T) {
		file := append([]byte(nil), good...)
		for range rapid.IntRange(1, 4).Draw(t, "places") {
			page := rapid.IntRange(0, len(file)/4096-1).Draw(t, "page") * 4096
			at := page + rapid.OneOf(rapid.IntRange(0, 100), rapid.IntRange(0, 4095)).Draw(t, "at")
			file[at] = rapid.Byte().Draw(t, "byte")
		}
		if err := os.WriteFile(path, file, 0o600); err != nil {
			t.Fatal(err)
		}
		s, readings, err := Open(path, 1<<20)
		if err != nil {
			return
		}
		for _, r := range readings {
			if string(r.Value) != strings.Repeat("x", 100) {
				t.Fatalf("Open returned a reading with the value %q, want 100 times x", r.Value)
			}
		}
		if err := s.Close(); err != nil {
			t.Fatal(err)
		}
	})
}

func TestKeysSortBySequenceAndRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		id := rapid.Custom(func(t *rapid.T) intake.ID {
			return intake.ID{Device: rapid.StringN(1, 8, 16).Draw(t, "device"), Epoch: rapid.Uint64Max(3).Draw(t, "epoch"),
				Seq: rapid.Uint64().Draw(t, "seq")}
		})
		a, b := id.Draw(t, "a"), id.Draw(t, "b")
		got, err := decodeReading(encodeKey(a), encodeReading(&intake.Reading{ID: a, Value: []byte("v")}))
		if err != nil || got.ID != a {
			t.Fatalf("decodeReading(encodeKey(%v)) = %v, %v, want the same ID", a, got.ID, err)
		}
		if (a == b) != bytes.Equal(encodeKey(a), encodeKey(b)) {
			t.Fatalf("encodeKey(%v) == encodeKey(%v) is %t, want %t", a, b, a != b, a == b)
		}
		if a.Device == b.Device && a.Epoch == b.Epoch && a.Seq < b.Seq && bytes.Compare(encodeKey(a), encodeKey(b)) >= 0 {
			t.Fatalf("encodeKey(%v) does not sort before encodeKey(%v)", a, b)
		}
	})
}
