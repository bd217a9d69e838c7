package coap

import (
	"strconv"

	"github.com/plgd-dev/go-coap/v3/message"
	"github.com/plgd-dev/go-coap/v3/message/codes"
)

// transfer is a message that comes in blocks (RFC 7959).
type transfer struct {
	name  string
	owner uint64 // in the ledger
	next  uint32 // the number of the block that must come
	size  int    // of a block
	bytes []byte
}

// blockwise takes one block and returns the whole message with the last one,
// or what to answer meanwhile. A transfer that was interrupted goes on where
// it stood, under a Request-Tag of eight bytes also from another address.
func (s *Server) blockwise(now float64, id exchangeID, path string, m *message.Message, v uint32) ([]byte, codes.Code) {
	number, more, szx := v>>4, v&8 != 0, v&7
	if szx == 7 {
		return nil, codes.BadRequest
	}
	size := 1 << (szx + 4)
	if more && len(m.Payload) != size || len(m.Payload) > size {
		return nil, codes.BadRequest
	}
	tag, _ := m.Options.GetBytes(message.RequestTag)
	name := path + "\x00" + string(tag)
	if len(tag) < freeTag {
		name += "\x00" + id.peer.String() + "\x00" + strconv.Itoa(len(tag))
	}
	t := s.transfers[name]
	if number == 0 {
		if !more { // a message of one block
			s.endTransfer(t)
			return m.Payload, 0
		}
		if t != nil && t.next > 1 { // begun anew
			s.endTransfer(t)
			t = nil
		}
		if t == nil {
			s.next++
			t = &transfer{name: name, owner: s.next, size: size}
			s.transfers[name], s.byOwner[t.owner] = t, t
		}
	}
	switch {
	case t == nil || number > t.next || size != t.size:
		return nil, codes.RequestEntityIncomplete
	case number < t.next: // a repeat of a block that is there
		return nil, codes.Continue
	case len(t.bytes)+len(m.Payload) > s.lim.MessageBytes:
		s.endTransfer(t)
		return nil, codes.RequestEntityTooLarge
	}
	t.next++
	t.bytes = append(t.bytes, m.Payload...)
	if !more {
		s.endTransfer(t)
		return t.bytes, 0
	}
	for _, owner := range s.ledger.Grow(now, t.owner, len(m.Payload)) {
		s.stats.Stalled++
		s.endTransfer(s.byOwner[owner])
	}
	if s.transfers[name] != t { // it was itself the slowest
		return nil, codes.ServiceUnavailable
	}
	return nil, codes.Continue
}

func (s *Server) endTransfer(t *transfer) {
	if t != nil {
		delete(s.transfers, t.name)
		delete(s.byOwner, t.owner)
		s.ledger.End(t.owner)
	}
}
