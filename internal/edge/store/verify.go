package store

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/fnv"
	"os"
)

// The layout of a bbolt file. It consists of pages of one size: two meta pages,
// then branch and leaf pages of B+ trees. Numbers are little-endian. Sizes and
// offsets are in bytes.
const (
	firstTreePage    = 2
	pageHeaderSize   = 16
	pageFlagsOffset  = 8
	pageCountOffset  = 10
	overflowOffset   = 12 // of the number of pages that continue this one
	elementSize      = 16
	bucketHeaderSize = 16

	branchPage    = 0x01
	leafPage      = 0x02
	bucketElement = 0x01 // flag of a leaf's element whose value is a bucket

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
	maxDepth    = 32 // of nested pages; ends the recursion in a damaged file
)

// verify checks every page of the file's newest tree before bbolt opens it,
// because bbolt can end the process at an inconsistent page. It returns
// errNotStore if there is no valid meta page, and an error that wraps errDamaged
// if the file is too short or a page is inconsistent.
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
		return fmt.Errorf("%w: %d bytes are too few for %d pages", errDamaged, len(file), newest.pages)
	}
	v := &verifier{file: file, meta: newest, visited: map[uint64]bool{}}
	if err := v.verifyTree(newest.root, keyRange{}, 0); err != nil {
		return fmt.Errorf("%w: %w", errDamaged, err)
	}
	return nil
}

// meta is the content of a meta page.
type meta struct {
	pageSize int    // bytes
	root     uint64 // page number of the root bucket's tree
	pages    uint64 // number of pages up to the highest one in use
	tx       uint64 // number of the transaction that wrote the meta page
}

// newestMeta returns the valid meta page of the latest transaction. The second
// meta page is at the offset of one page size, which only the meta pages state,
// so the usual page sizes are tried.
func newestMeta(file []byte) (newest meta, found bool) {
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

// readMeta returns the meta page at the offset; ok is false if there is no valid
// one.
func readMeta(file []byte, offset int) (m meta, ok bool) {
	if len(file) < offset+pageHeaderSize+metaSize {
		return m, false
	}
	b := file[offset+pageHeaderSize : offset+pageHeaderSize+metaSize]
	checksum := fnv.New64a()
	_, _ = checksum.Write(b[:metaChecksumOffset]) // a hash never returns an error
	valid := binary.LittleEndian.Uint32(b) == metaMagic &&
		binary.LittleEndian.Uint32(b[metaVersionOffset:]) == metaVersion &&
		binary.LittleEndian.Uint64(b[metaChecksumOffset:]) == checksum.Sum64()
	if !valid {
		return m, false
	}
	m = meta{
		pageSize: int(binary.LittleEndian.Uint32(b[metaPageSizeOffset:])),
		root:     binary.LittleEndian.Uint64(b[metaRootOffset:]),
		pages:    binary.LittleEndian.Uint64(b[metaPagesOffset:]),
		tx:       binary.LittleEndian.Uint64(b[metaTxOffset:]),
	}
	powerOfTwo := m.pageSize&(m.pageSize-1) == 0
	return m, m.pageSize >= minPageSize && m.pageSize <= maxPageSize && powerOfTwo
}

// keyRange is the half-open range of the keys of a page: from the key of its
// entry in the parent branch up to the key of the next entry there. Nil means no
// bound.
type keyRange struct {
	from   []byte // inclusive
	before []byte // exclusive
}

// contains reports whether a key is within the range.
func (r keyRange) contains(key []byte) bool {
	if bytes.Compare(key, r.from) < 0 {
		return false
	}
	return r.before == nil || bytes.Compare(key, r.before) < 0
}

// verifier verifies the trees of a file.
type verifier struct {
	file    []byte
	meta    meta
	visited map[uint64]bool // by page number
}

// verifyTree verifies the page with the given number and all pages below it.
func (v *verifier) verifyTree(id uint64, keys keyRange, depth int) error {
	if id < firstTreePage || id >= v.meta.pages || depth > maxDepth {
		return fmt.Errorf("page %d at depth %d is out of range", id, depth)
	}
	start := int(id) * v.meta.pageSize
	header := v.file[start : start+pageHeaderSize]
	overflow := uint64(binary.LittleEndian.Uint32(header[overflowOffset:]))
	if binary.LittleEndian.Uint64(header) != id || overflow >= v.meta.pages-id {
		return fmt.Errorf("page %d: header has another page number or exceeds the file", id)
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

// verifyPage verifies the entries of a page and all pages below them.
func (v *verifier) verifyPage(p page, keys keyRange, depth int) error {
	var last []byte
	for i := range p.count {
		e, err := p.entryAt(i)
		if err != nil {
			return err
		}
		if i > 0 && bytes.Compare(last, e.key) >= 0 || !keys.contains(e.key) {
			return fmt.Errorf("%s: key of entry %d is out of order or out of range", p.name, i)
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

// verifyChild verifies the subtree of a branch's entry, whose keys must be before
// the key of the next entry.
func (v *verifier) verifyChild(p page, index int, e entry, keys keyRange, depth int) error {
	below := keyRange{from: e.key, before: keys.before}
	if index+1 < p.count {
		next, err := p.entryAt(index + 1)
		if err != nil {
			return err
		}
		below.before = next.key
	}
	return v.verifyTree(e.child, below, depth+1)
}

// verifyBucket verifies a nested bucket. The value holds the page number of its
// root, or 0 and the whole bucket as an inline page.
func (v *verifier) verifyBucket(value []byte, depth int) error {
	if len(value) < bucketHeaderSize {
		return fmt.Errorf("bucket of %d bytes is too short", len(value))
	}
	if root := binary.LittleEndian.Uint64(value); root != 0 {
		return v.verifyTree(root, keyRange{}, depth+1)
	}
	inline := value[bucketHeaderSize:]
	if len(inline) < pageHeaderSize || pageFlags(inline) != leafPage || depth > maxDepth {
		return errors.New("bucket has no valid inline page")
	}
	p, err := parsePage("inline page", inline)
	if err != nil {
		return err
	}
	return v.verifyPage(p, keyRange{}, depth+1)
}
