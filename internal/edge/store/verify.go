package store

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/fnv"
	"os"
)

// The file's form, as bbolt documents it: pages of one size, of which the
// first two are meta pages; branches and leaves of trees of keys.
const (
	boltMagic    = 0xED0CDAED
	boltVersion  = 2
	pageHeader   = 16
	metaLen      = 64
	branchFlag   = 0x01
	leafFlag     = 0x02
	metaFlag     = 0x04
	bucketFlag   = 0x01 // of a leaf's element
	elementLen   = 16
	bucketHeader = 16
	maxDepth     = 32
)

var errForeign = errors.New("the file is no store of readings of this program")

// verify walks every page of the file's newest tree before bbolt sees it:
// bbolt ends the process at a page that contradicts itself.
func verify(path string) error {
	file, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	var v *walk
	// The page size stands in the meta page; the second one is a page further.
	for _, at := range []int{0, 4096, 8192, 16384, 65536} {
		if m, ok := readMeta(file, at); ok && (v == nil || m.tx > v.meta.tx) && (at == 0 || at == m.pageSize) {
			v = &walk{file: file, meta: m, seen: map[uint64]bool{}}
		}
	}
	if v == nil {
		return errForeign
	}
	if uint64(len(file)) < v.meta.pages*uint64(v.meta.pageSize) {
		return fmt.Errorf("the file is damaged: it ends before page %d", v.meta.pages)
	}
	if err := v.tree(v.meta.root, span{}, 0); err != nil {
		return fmt.Errorf("the file is damaged: %w", err)
	}
	return nil
}

type meta struct {
	pageSize        int
	root, pages, tx uint64
}

// readMeta reads a meta page, if a whole one stands there.
func readMeta(file []byte, at int) (m meta, ok bool) {
	if len(file) < at+pageHeader+metaLen {
		return m, false
	}
	b := file[at+pageHeader : at+pageHeader+metaLen]
	sum := fnv.New64a()
	_, _ = sum.Write(b[:metaLen-8]) // never fails
	le := binary.LittleEndian
	if le.Uint32(b) != boltMagic || le.Uint32(b[4:]) != boltVersion || le.Uint64(b[56:]) != sum.Sum64() {
		return m, false
	}
	m = meta{int(le.Uint32(b[8:])), le.Uint64(b[16:]), le.Uint64(b[40:]), le.Uint64(b[48:])}
	return m, m.pageSize >= 1024 && m.pageSize <= 65536 && m.pageSize&(m.pageSize-1) == 0
}

type walk struct {
	file []byte
	meta meta
	seen map[uint64]bool
}

// span is where a page's keys must lie, from its branch's entry to the next
// one; nil for no bound.
type span struct{ from, before []byte }

func (s span) holds(key []byte) bool {
	return bytes.Compare(key, s.from) >= 0 && (s.before == nil || bytes.Compare(key, s.before) < 0)
}

// tree checks the page and all below it.
func (w *walk) tree(id uint64, keys span, depth int) error {
	if id < 2 || id >= w.meta.pages || depth > maxDepth {
		return fmt.Errorf("page %d is out of range", id)
	}
	at := int(id) * w.meta.pageSize
	le := binary.LittleEndian
	head := w.file[at : at+pageHeader]
	overflow := uint64(le.Uint32(head[12:]))
	if le.Uint64(head) != id || overflow >= w.meta.pages-id {
		return fmt.Errorf("page %d says it is another", id)
	}
	for n := id; n <= id+overflow; n++ {
		if w.seen[n] {
			return fmt.Errorf("page %d is used twice", n)
		}
		w.seen[n] = true
	}
	return w.page(w.file[at:at+int(overflow+1)*w.meta.pageSize], fmt.Sprint("page ", id), keys, depth)
}

// page checks a branch or a leaf, which may also stand inside a value.
func (w *walk) page(b []byte, name string, keys span, depth int) error {
	le := binary.LittleEndian
	flags, count := le.Uint16(b[8:]), int(le.Uint16(b[10:]))
	if flags != branchFlag && flags != leafFlag || pageHeader+count*elementLen > len(b) || flags == branchFlag && count == 0 {
		return fmt.Errorf("%s is neither branch nor leaf", name)
	}
	entry := func(i int) (e, key, value []byte, err error) {
		from := pageHeader + i*elementLen
		e = b[from : from+elementLen]
		var pos, ksize, vsize uint64
		if flags == branchFlag {
			pos, ksize = uint64(le.Uint32(e)), uint64(le.Uint32(e[4:]))
		} else {
			pos, ksize, vsize = uint64(le.Uint32(e[4:])), uint64(le.Uint32(e[8:])), uint64(le.Uint32(e[12:]))
		}
		at := uint64(from) + pos
		if pos < elementLen || at+ksize+vsize > uint64(len(b)) {
			return nil, nil, nil, fmt.Errorf("%s: an entry beyond its end", name)
		}
		return e, b[at : at+ksize], b[at+ksize : at+ksize+vsize], nil
	}
	var last []byte
	for i := range count {
		e, key, value, err := entry(i)
		if err != nil {
			return err
		}
		if i > 0 && bytes.Compare(last, key) >= 0 || !keys.holds(key) {
			return fmt.Errorf("%s: entries out of order", name)
		}
		last = key
		switch {
		case flags == branchFlag:
			below := span{key, keys.before}
			if i+1 < count {
				if _, below.before, _, err = entry(i + 1); err != nil {
					return err
				}
			}
			err = w.tree(le.Uint64(e[8:]), below, depth+1)
		case le.Uint32(e)&bucketFlag != 0:
			err = w.bucket(value, depth)
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// bucket checks a tree within a tree: its root's number, or all of it inline.
func (w *walk) bucket(value []byte, depth int) error {
	if len(value) < bucketHeader {
		return errors.New("a bucket without its root")
	}
	if root := binary.LittleEndian.Uint64(value); root != 0 {
		return w.tree(root, span{}, depth+1)
	}
	inline := value[bucketHeader:]
	if len(inline) < pageHeader || binary.LittleEndian.Uint16(inline[8:]) != leafFlag || depth > maxDepth {
		return errors.New("a bucket without its page")
	}
	return w.page(inline, "an inline page", span{}, depth+1)
}
