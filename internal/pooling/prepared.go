package pooling

import (
	"container/list"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"errors"
)

// Errors of prepared statements, with the SQLSTATE that the client gets.
var (
	ErrDuplicate = errors.New("42P05: a prepared statement of this name exists")
	ErrNoSuch    = errors.New("26000: there is no prepared statement of this name")
	ErrTooMany   = errors.New("53400: too many prepared statements")
)

// serverPrefix begins the names that statements have on servers.
const serverPrefix = "lb_"

// Prepared is one text with its parameter types, shared by all clients that
// prepared it.
type Prepared struct {
	Text       string
	Types      []uint32 // as given; 0 for one that is left open
	ServerName string   // the same on every host
	uses       int
	key        [32]byte
}

// Catalog holds every prepared statement that some client has. A change of the
// schema makes all of them old: what a connection has of them is prepared anew
// before its next use, since its plan may no longer give the same columns.
type Catalog struct {
	all        map[[32]byte]*Prepared
	generation uint64
}

// Changed notes that a statement changed the schema.
func (c *Catalog) Changed() { c.generation++ }

// Len returns how many statements are held.
func (c *Catalog) Len() int { return len(c.all) }

func (c *Catalog) use(text string, types []uint32) *Prepared {
	h := sha256.New()
	var n [8]byte
	binary.BigEndian.PutUint64(n[:], uint64(len(types)))
	h.Write(n[:])
	for _, t := range types {
		binary.BigEndian.PutUint32(n[:4], t)
		h.Write(n[:4])
	}
	h.Write([]byte(text))
	var key [32]byte
	h.Sum(key[:0])
	p := c.all[key]
	if p == nil {
		p = &Prepared{Text: text, Types: append([]uint32(nil), types...), ServerName: serverPrefix + hex.EncodeToString(key[:16]), key: key}
		if c.all == nil {
			c.all = map[[32]byte]*Prepared{}
		}
		c.all[key] = p
	}
	p.uses++
	return p
}

func (c *Catalog) drop(p *Prepared) {
	if p.uses--; p.uses == 0 {
		delete(c.all, p.key)
	}
}

// Names are one client's prepared statements by its own names, which may be of
// any length. The unnamed one is "".
type Names struct {
	Most  int // of them, 0 for no bound
	names map[string]*Prepared
}

// Parse gives a name to a statement. A name must be free; the unnamed statement
// is replaced.
func (n *Names) Parse(c *Catalog, name, text string, types []uint32) (*Prepared, error) {
	old := n.names[name]
	switch {
	case old != nil && name != "":
		return nil, ErrDuplicate
	case old == nil && n.Most > 0 && len(n.names) >= n.Most:
		return nil, ErrTooMany
	}
	p := c.use(text, types)
	if old != nil {
		c.drop(old)
	}
	if n.names == nil {
		n.names = map[string]*Prepared{}
	}
	n.names[name] = p
	return p, nil
}

// Get returns the statement of a name.
func (n *Names) Get(name string) (*Prepared, error) {
	if p := n.names[name]; p != nil {
		return p, nil
	}
	return nil, ErrNoSuch
}

// Close frees a name. One that is not there is no error, as in PostgreSQL.
func (n *Names) Close(c *Catalog, name string) {
	if p := n.names[name]; p != nil {
		c.drop(p)
		delete(n.names, name)
	}
}

// Clear frees every name: DEALLOCATE ALL, DISCARD ALL, or the client has gone.
func (n *Names) Clear(c *Catalog) {
	for _, p := range n.names {
		c.drop(p)
	}
	n.names = nil
}

// Held are the prepared statements that a connection has, the one used longest
// ago first.
type Held struct {
	Most  int // of them, 0 for no bound
	order list.List
	have  map[string]*list.Element
}

type held struct {
	name       string
	generation uint64
}

// Steps are what must be sent before a statement can be bound.
type Steps struct {
	Close []string // these server-side names, in order
	Parse bool     // then the statement itself
}

// Ensure returns what a connection needs before p can be bound there, and
// notes it as done. Where its Parse fails, Lost must follow.
func (h *Held) Ensure(c *Catalog, p *Prepared) (s Steps) {
	if e := h.have[p.ServerName]; e != nil {
		if e.Value.(*held).generation == c.generation {
			h.order.MoveToBack(e)
			return s
		}
		s.Close = append(s.Close, p.ServerName)
		h.remove(e)
	}
	for h.Most > 0 && h.order.Len() >= h.Most {
		oldest := h.order.Front()
		s.Close = append(s.Close, oldest.Value.(*held).name)
		h.remove(oldest)
	}
	if h.have == nil {
		h.have = map[string]*list.Element{}
	}
	h.have[p.ServerName] = h.order.PushBack(&held{p.ServerName, c.generation})
	s.Parse = true
	return s
}

// Lost notes that the connection does not have a statement after all: its
// Parse failed, or was skipped after another error.
func (h *Held) Lost(p *Prepared) {
	if e := h.have[p.ServerName]; e != nil {
		h.remove(e)
	}
}

// Restore notes that the connection still has a statement whose Close was
// passed over. It counts as old, so that it is closed before it is used.
func (h *Held) Restore(name string) {
	if h.have[name] != nil {
		return
	}
	if h.have == nil {
		h.have = map[string]*list.Element{}
	}
	h.have[name] = h.order.PushFront(&held{name, old})
}

// old is a generation that never is.
const old = ^uint64(0)

// Clear notes that the connection has none: DEALLOCATE ALL or DISCARD ALL.
func (h *Held) Clear() {
	h.order.Init()
	h.have = nil
}

// Len returns how many the connection has.
func (h *Held) Len() int { return h.order.Len() }

func (h *Held) remove(e *list.Element) {
	delete(h.have, e.Value.(*held).name)
	h.order.Remove(e)
}
