package store

import (
	"encoding/binary"
	"fmt"
)

// treePage is a branch or a leaf of bbolt's, which may also be inside a value.
type treePage struct {
	name   string // for errors
	bytes  []byte
	branch bool
	count  int // of entries
}

func pageFlags(b []byte) uint16 { return binary.LittleEndian.Uint16(b[pageFlagsOffset:]) }

func parsePage(name string, b []byte) (treePage, error) {
	flags := pageFlags(b)
	p := treePage{
		name:   name,
		bytes:  b,
		branch: flags == branchPage,
		count:  int(binary.LittleEndian.Uint16(b[pageCountOffset:])),
	}
	known := flags == branchPage || flags == leafPage
	emptyBranch := p.branch && p.count == 0
	if !known || pageHeaderSize+p.count*elementSize > len(b) || emptyBranch {
		return p, fmt.Errorf("%s is neither branch nor leaf", name)
	}
	return p, nil
}

// pageEntry is one element of a page with its key and value.
type pageEntry struct {
	key    []byte
	child  uint64 // page, of a branch's element
	value  []byte // of a leaf's
	bucket bool   // the value is a bucket
}

// entry reads an element: in a branch position, key size and child; in a leaf
// flags, position, key size and value size. The position counts from the
// element's beginning.
func (p treePage) entry(index int) (pageEntry, error) {
	start := pageHeaderSize + index*elementSize
	element := p.bytes[start : start+elementSize]
	word := func(offset int) uint64 { return uint64(binary.LittleEndian.Uint32(element[offset:])) }
	var e pageEntry
	var position, keySize, valueSize uint64
	if p.branch {
		position = word(0)
		keySize = word(4)
		e.child = binary.LittleEndian.Uint64(element[8:])
	} else {
		e.bucket = word(0)&bucketElement != 0
		position = word(4)
		keySize = word(8)
		valueSize = word(12)
	}
	keyStart := uint64(start) + position
	valueStart := keyStart + keySize
	if position < elementSize || valueStart+valueSize > uint64(len(p.bytes)) {
		return pageEntry{}, fmt.Errorf("%s: an entry beyond its end", p.name)
	}
	e.key = p.bytes[keyStart:valueStart]
	e.value = p.bytes[valueStart : valueStart+valueSize]
	return e, nil
}
