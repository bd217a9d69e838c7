package store

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/fnv"
	"os"
)

// The file's layout, as bbolt documents it: pages of one size, of which the
// first two are meta pages; branches and leaves of B+ trees; numbers are
// little-endian. Sizes and offsets are in bytes.
const (
	firstTreePage    = 2
	pageHeaderSize   = 16
	pageFlagsOffset  = 8
	pageCountOffset  = 10
	overflowOffset   = 12 // how many pages continue this one
	elementSize      = 16
	bucketHeaderSize = 16

	branchPage    = 0x01
	leafPage      = 0x02
	bucketElement = 0x01 // flag of a leaf's element

	metaMagic          = 0xED0CDAED
	metaVersion        = 2
	metaSize           = 64
	metaVersionOffset  = 4
	metaPageSizeOffset = 8
	metaRootOffset     = 16
	metaPagesOffset    = 40
	metaTxOffset       = 48
	metaChecksumOffset = 56

	minPageSize = 1024
	maxPageSize = 65536
	maxDepth    = 32 // of a tree, against pages that refer to each other
)

// verify walks every page of the file's newest tree before bbolt opens it:
// bbolt ends the process at a page that contradicts itself.
func verify(path string) error {
	file, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	newest, found := newestMeta(file)
	if !found {
		return errNotStore
	}
	if uint64(len(file)) < newest.pages*uint64(newest.pageSize) {
		return fmt.Errorf("%w: it ends before page %d", errDamaged, newest.pages)
	}
	v := &verifier{file: file, meta: newest, visited: map[uint64]bool{}}
	if err := v.verifyTree(newest.root, keyRange{}, 0); err != nil {
		return fmt.Errorf("%w: %w", errDamaged, err)
	}
	return nil
}

// metaPage is the content of a metaPage page.
type metaPage struct {
	pageSize int    // bytes
	root     uint64 // page of the root bucket
	pages    uint64 // in the file
	tx       uint64 // the transaction that wrote it
}

// newestMeta finds the valid meta page of the last transaction. The second one
// follows the first by a page size, which only they state.
func newestMeta(file []byte) (newest metaPage, found bool) {
	for _, offset := range []int{0, 4096, 8192, 16384, 65536} {
		m, ok := readMeta(file, offset)
		if !ok || offset != 0 && offset != m.pageSize {
			continue
		}
		if !found || m.tx > newest.tx {
			newest = m
			found = true
		}
	}
	return newest, found
}

// readMeta reads a meta page, if a valid one is at the offset.
func readMeta(file []byte, offset int) (m metaPage, ok bool) {
	if len(file) < offset+pageHeaderSize+metaSize {
		return m, false
	}
	b := file[offset+pageHeaderSize : offset+pageHeaderSize+metaSize]
	checksum := fnv.New64a()
	_, _ = checksum.Write(b[:metaChecksumOffset]) // never fails
	valid := binary.LittleEndian.Uint32(b) == metaMagic &&
		binary.LittleEndian.Uint32(b[metaVersionOffset:]) == metaVersion &&
		binary.LittleEndian.Uint64(b[metaChecksumOffset:]) == checksum.Sum64()
	if !valid {
		return m, false
	}
	m = metaPage{
		pageSize: int(binary.LittleEndian.Uint32(b[metaPageSizeOffset:])),
		root:     binary.LittleEndian.Uint64(b[metaRootOffset:]),
		pages:    binary.LittleEndian.Uint64(b[metaPagesOffset:]),
		tx:       binary.LittleEndian.Uint64(b[metaTxOffset:]),
	}
	powerOfTwo := m.pageSize&(m.pageSize-1) == 0
	return m, m.pageSize >= minPageSize && m.pageSize <= maxPageSize && powerOfTwo
}

// keyRange is where a page's keys must lie, from its branch's entry to the next
// one; nil for no bound.
type keyRange struct {
	from   []byte
	before []byte
}

func (r keyRange) contains(key []byte) bool {
	if bytes.Compare(key, r.from) < 0 {
		return false
	}
	return r.before == nil || bytes.Compare(key, r.before) < 0
}

// verifier walks the trees of a file.
type verifier struct {
	file    []byte
	meta    metaPage
	visited map[uint64]bool // pages
}

// verifyTree verifies the page and all below it.
func (v *verifier) verifyTree(id uint64, keys keyRange, depth int) error {
	if id < firstTreePage || id >= v.meta.pages || depth > maxDepth {
		return fmt.Errorf("page %d is out of range", id)
	}
	start := int(id) * v.meta.pageSize
	header := v.file[start : start+pageHeaderSize]
	overflow := uint64(binary.LittleEndian.Uint32(header[overflowOffset:]))
	if binary.LittleEndian.Uint64(header) != id || overflow >= v.meta.pages-id {
		return fmt.Errorf("page %d says it is another", id)
	}
	for n := id; n <= id+overflow; n++ {
		if v.visited[n] {
			return fmt.Errorf("page %d is used twice", n)
		}
		v.visited[n] = true
	}
	end := start + int(overflow+1)*v.meta.pageSize
	p, err := parsePage(fmt.Sprint("page ", id), v.file[start:end])
	if err != nil {
		return err
	}
	return v.verifyPage(p, keys, depth)
}

// verifyPage verifies the entries of a verifyPage and all below them.
func (v *verifier) verifyPage(p treePage, keys keyRange, depth int) error {
	var last []byte
	for i := range p.count {
		e, err := p.entry(i)
		if err != nil {
			return err
		}
		if i > 0 && bytes.Compare(last, e.key) >= 0 || !keys.contains(e.key) {
			return fmt.Errorf("%s: entries out of order", p.name)
		}
		last = e.key
		switch {
		case p.branch:
			err = v.verifyChild(p, i, e, keys, depth)
		case e.bucket:
			err = v.verifyBucket(e.value, depth)
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// verifyChild verifies the subtree of a branch's entry. Its keys lie before those of
// the next entry.
func (v *verifier) verifyChild(p treePage, index int, e pageEntry, keys keyRange, depth int) error {
	below := keyRange{from: e.key, before: keys.before}
	if index+1 < p.count {
		next, err := p.entry(index + 1)
		if err != nil {
			return err
		}
		below.before = next.key
	}
	return v.verifyTree(e.child, below, depth+1)
}

// verifyBucket verifies a tree within a tree: the value holds its root's number, or
// all of it inline.
func (v *verifier) verifyBucket(value []byte, depth int) error {
	if len(value) < bucketHeaderSize {
		return errors.New("a bucket without its root")
	}
	if root := binary.LittleEndian.Uint64(value); root != 0 {
		return v.verifyTree(root, keyRange{}, depth+1)
	}
	inline := value[bucketHeaderSize:]
	if len(inline) < pageHeaderSize || pageFlags(inline) != leafPage || depth > maxDepth {
		return errors.New("a bucket without its page")
	}
	p, err := parsePage("an inline page", inline)
	if err != nil {
		return err
	}
	return v.verifyPage(p, keyRange{}, depth+1)
}
