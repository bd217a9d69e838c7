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

func reading(device string, seq uint64, value string) *intake.Reading {
	id := intake.ID{Device: device, Epoch: 1, Seq: seq}
	return &intake.Reading{ID: id, Route: 2, Value: []byte(value), Urgent: seq%2 == 0}
}

// put stores readings in one commit or more, and waits for all.
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

func names(readings []intake.Reading) string {
	var out []string
	for _, r := range readings {
		out = append(out, fmt.Sprintf("%s%d=%s", r.Device, r.Seq, r.Value))
	}
	return strings.Join(out, " ")
}

func reopen(t *testing.T, path string) (*Store, []intake.Reading) {
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
	s, readings := reopen(t, path)
	if len(readings) != 0 {
		t.Fatal(readings)
	}
	put(t, s, reading("b", 1, "x"), reading("a", 2, "y"), reading("a", 1, "z"), reading("a\x00", 1, "w"), reading("c", 1, "v"))
	s.Delete(intake.ID{Device: "b", Epoch: 1, Seq: 1})
	s.Quarantine(reading("c", 1, "v"))
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
	s.Put(reading("d", 1, "late"), func(err error) {
		if err == nil {
			t.Error("a closed store accepted a reading")
		}
	})
	s, readings = reopen(t, path)
	wrongFields := len(readings) < 2 || readings[1].Route != 2 || !readings[1].Urgent || readings[0].Urgent
	if got := names(readings); got != "a1=z a2=y a\x001=w" || wrongFields {
		t.Errorf("%q", got)
	}
	if conflicts, err := s.Conflicts(); err != nil || names(conflicts) != "c1=v" {
		t.Errorf("%v, %v", conflicts, err)
	}
	if want := 3*(18+11+1) + 4 + 1; s.Bytes() != want {
		t.Errorf("%d bytes are counted, %d are there", s.Bytes(), want)
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
		t.Errorf("%v", err)
	}
}

// A process that is killed leaves the writes of its commit up to some page:
// each such file must open, and contain either the state before or all of it.
func TestInterruptedCommitIsAtomic(t *testing.T) {
	dir := t.TempDir()
	path := filepath.Join(dir, "store")
	s, _ := reopen(t, path)
	put(t, s, reading("a", 1, "one"), reading("b", 1, "two"))
	before, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	const size = 4096
	store := func(rs ...*intake.Reading) (queue []change) {
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
	for step, queue := range [][]change{ // each one commit
		store(reading("c", 1, "three")),
		store(reading("d", 1, strings.Repeat("long", 3000))),
		store(many...),
		append(store(reading("f", 1, "last")), deletion),
		{quarantine, deletion},
	} {
		s.commit(queue)
		after, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		old, whole := opened(t, dir, before), opened(t, dir, after)
		var changed []int
		for at := 0; at < len(after); at += size {
			newPage := after[at:min(at+size, len(after))]
			if at >= len(before) || !bytes.Equal(before[at:min(at+size, len(before))], newPage) {
				changed = append(changed, at)
			}
		}
		// The meta pages are the first two; they are written last.
		slices.SortStableFunc(changed, func(a, b int) int { return isMeta(a) - isMeta(b) })
		cuts := 0
		for n := range len(changed) + 1 {
			file := append([]byte(nil), before...)
			if len(after) > len(file) { // the file grows before its pages are written
				file = append(file, make([]byte, len(after)-len(file))...)
			}
			for _, at := range changed[:n] {
				copy(file[at:], after[at:min(at+size, len(after))])
			}
			variants := [][]byte{file}
			if n < len(changed) { // and the next page torn in the middle
				torn := append([]byte(nil), file...)
				copy(torn[changed[n]:], after[changed[n]:min(changed[n]+size/8, len(after))])
				variants = append(variants, torn)
			}
			for _, v := range variants {
				cuts++
				if got := opened(t, dir, v); got != old && got != whole {
					t.Fatalf("step %d, cut after page %d: %q, neither before nor after", step, n, got)
				}
			}
		}
		if cuts < 4 {
			t.Fatalf("step %d: only %d cuts", step, cuts)
		}
		before = after
	}
}

func isMeta(at int) int {
	if at < 2*4096 {
		return 1
	}
	return 0
}

func opened(t *testing.T, dir string, file []byte) string {
	t.Helper()
	path := filepath.Join(dir, "cut")
	if err := os.WriteFile(path, file, 0o600); err != nil {
		t.Fatal(err)
	}
	s, readings, err := Open(path, 1<<20)
	if err != nil {
		t.Fatalf("a cut file does not open: %v", err)
	}
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
	return names(readings)
}

// A damaged or foreign file ends in one line, never in a panic, and is left
// as it is.
func TestOpenRejectsDamagedOrForeignFile(t *testing.T) {
	dir := t.TempDir()
	path := filepath.Join(dir, "store")
	s, _ := reopen(t, path)
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
		"text": []byte(strings.Repeat("this is a letter\n", 1000)), "short": good[:5000], "corrupted pages": corrupted,
		"one meta page": good[:4096], "zeros": make([]byte, 20000),
	}
	for name, file := range bad {
		if err := os.WriteFile(path, file, 0o600); err != nil {
			t.Fatal(err)
		}
		s, _, err := Open(path, 1<<20)
		if err == nil {
			_ = s.Close()
			t.Errorf("%s: it was accepted", name)
			continue
		}
		if now, _ := os.ReadFile(path); !bytes.Equal(now, file) {
			t.Errorf("%s: the file was changed", name)
		}
	}
}

// Whatever bytes are changed, the file is rejected or its readings are as stored.
func TestOpenOfCorruptedFileNeverPanics(t *testing.T) {
	dir := t.TempDir()
	path := filepath.Join(dir, "store")
	s, _ := reopen(t, path)
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
				t.Fatalf("a reading came back as %q", r.Value)
			}
		}
		if err := s.Close(); err != nil {
			t.Fatal(err)
		}
	})
}

func TestKeysKeepOrderAndRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		id := rapid.Custom(func(t *rapid.T) intake.ID {
			return intake.ID{Device: rapid.StringN(1, 8, 16).Draw(t, "device"), Epoch: rapid.Uint64Max(3).Draw(t, "epoch"),
				Seq: rapid.Uint64().Draw(t, "seq")}
		})
		a, b := id.Draw(t, "a"), id.Draw(t, "b")
		got, err := decodeReading(encodeKey(a), encodeReading(&intake.Reading{ID: a, Value: []byte("v")}))
		if err != nil || got.ID != a {
			t.Fatalf("%v came back as %v, %v", a, got.ID, err)
		}
		if (a == b) != bytes.Equal(encodeKey(a), encodeKey(b)) {
			t.Fatalf("%v and %v", a, b)
		}
		if a.Device == b.Device && a.Epoch == b.Epoch && a.Seq < b.Seq && bytes.Compare(encodeKey(a), encodeKey(b)) >= 0 {
			t.Fatalf("%v is not before %v", a, b)
		}
	})
}
