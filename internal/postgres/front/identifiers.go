package front

import "hash/maphash"

// maxKeptIdentifiers bounds the identifiers that are kept after their statements have
// ended; past it the oldest are dropped.
const maxKeptIdentifiers = 4096

// identifiers are those of running statements, and of writes whose clients left while
// they ran. Neither this router nor an endpoint could tell the answers of two running
// statements with the same identifier apart, and such a write may still be executed.
type identifiers struct {
	running map[string]struct{}
	seed    maphash.Seed
	kept    map[uint64]float64 // until when a hash of an identifier is taken, Unix milliseconds
	order   []uint64           // the keys of kept, the oldest first
}

// newIdentifiers returns an empty set.
func newIdentifiers() *identifiers {
	return &identifiers{
		running: map[string]struct{}{},
		seed:    maphash.MakeSeed(),
		kept:    map[uint64]float64{},
	}
}

// take marks an identifier as running, and reports whether it was free at a time in
// Unix milliseconds.
func (ids *identifiers) take(id string, now float64) bool {
	_, taken := ids.running[id]
	if taken || now < ids.kept[maphash.String(ids.seed, id)] {
		return false
	}
	ids.running[id] = struct{}{}
	return true
}

// release frees an identifier.
func (ids *identifiers) release(id string) { delete(ids.running, id) }

// keep keeps an identifier that is not running taken up to a time in Unix
// milliseconds; now is the present time.
func (ids *identifiers) keep(id string, now, until float64) {
	for len(ids.order) > 0 && (len(ids.order) >= maxKeptIdentifiers || ids.kept[ids.order[0]] <= now) {
		delete(ids.kept, ids.order[0])
		ids.order = ids.order[1:]
	}
	hash := maphash.String(ids.seed, id)
	if _, known := ids.kept[hash]; !known {
		ids.order = append(ids.order, hash)
	}
	ids.kept[hash] = until
}
