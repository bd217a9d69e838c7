package store

import (
	"encoding/binary"
	"fmt"
)

// page is a branch or leaf page of a bbolt tree. A small bucket is a leaf
// page inside a value.
type page struct {
	name   string // for error messages
	bytes  []byte
	branch bool // false for a leaf
	count  int  // number of entries
}

// pageFlags returns the flags in a page's header.
func pageFlags(b []byte) uint16 { return binary.LittleEndian.Uint16(b[pageFlagsOffset:]) }

// parsePage reads the header of the page in b. It returns an error if the page is
// neither a leaf nor a branch with at least one entry, or if its elements exceed
// b. b must hold a page header.
func parsePage(name string, b []byte) (page, error) {
	flags := pageFlags(b)
	p := page{
		name:   name,
		bytes:  b,
		branch: flags == branchPage,
		count:  int(binary.LittleEndian.Uint16(b[pageCountOffset:])),
	}
	known := flags == branchPage || flags == leafPage
	emptyBranch := p.branch && p.count == 0
	if !known || pageHeaderSize+p.count*elementSize > len(b) || emptyBranch {
		return p, fmt.Errorf("%s: not a valid branch or leaf page", name)
	}
	return p, nil
}

// entry is one element of a page with its key and value.
type entry struct {
	key    []byte
	child  uint64 // page number of the subtree, in a branch
	value  []byte // in a leaf
	bucket bool   // the value is a nested bucket, in a leaf
}

// entryAt returns the entry at the given index. The element of a branch consists
// of position, key size and child; that of a leaf of flags, position, key size and
// value size. The position of the key is relative to the start of the element.
func (p page) entryAt(index int) (entry, error) {
	start := pageHeaderSize + index*elementSize
	element := p.bytes[start : start+elementSize]
	uint32At := func(offset int) uint64 { return uint64(binary.LittleEndian.Uint32(element[offset:])) }
	var e entry
	var position, keySize, valueSize uint64
	if p.branch {
		position = uint32At(0)
		keySize = uint32At(4)
		e.child = binary.LittleEndian.Uint64(element[8:])
	} else {
		e.bucket = uint32At(0)&bucketElement != 0
		position = uint32At(4)
		keySize = uint32At(8)
		valueSize = uint32At(12)
	}
	keyStart := uint64(start) + position
	valueStart := keyStart + keySize
	if position < elementSize || valueStart+valueSize > uint64(len(p.bytes)) {
		return entry{}, fmt.Errorf("%s: entry %d exceeds the page", p.name, index)
	}
	e.key = p.bytes[keyStart:valueStart]
	e.value = p.bytes[valueStart : valueStart+valueSize]
	return e, nil
}
