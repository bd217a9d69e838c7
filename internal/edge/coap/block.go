package coap

import (
	"strconv"

	"github.com/plgd-dev/go-coap/v3/message"
	"github.com/plgd-dev/go-coap/v3/message/codes"
)

// The Block1 option (RFC 7959, 2.2).
const (
	blockNumberShift  = 4
	blockMoreFlag     = 8
	blockExponentMask = 7
	reservedExponent  = 7
	minBlockExponent  = 4 // added to the option's exponent of the size
)

// minGlobalTag is the length in bytes from which a Request-Tag names a transfer
// under any address: eight random bytes cannot be guessed.
const minGlobalTag = 8

// transfer is a message that comes in blocks (RFC 7959).
type transfer struct {
	key       string
	owner     uint64 // in Server.unfinished
	nextBlock uint32
	blockSize int // bytes
	received  []byte
}

// handleBlock takes one block. It returns the whole message with the last one,
// else the code to respond with. An interrupted transfer resumes at its next
// block, under a Request-Tag of minGlobalTag also from another address.
func (s *Server) handleBlock(
	now float64, id exchangeID, path string, m *message.Message, block1 uint32,
) (payload []byte, code codes.Code) {
	number := block1 >> blockNumberShift
	more := block1&blockMoreFlag != 0
	exponent := block1 & blockExponentMask
	if exponent == reservedExponent {
		return nil, codes.BadRequest
	}
	size := 1 << (exponent + minBlockExponent)
	if more && len(m.Payload) != size || len(m.Payload) > size {
		return nil, codes.BadRequest
	}
	key := transferKey(id, path, m)
	if number == 0 {
		if !more { // a message of one block
			s.endTransfer(s.transfers[key])
			return m.Payload, noError
		}
		s.beginTransfer(key, size)
	}
	t := s.transfers[key]
	switch {
	case t == nil || number > t.nextBlock || size != t.blockSize:
		return nil, codes.RequestEntityIncomplete
	case number < t.nextBlock: // a duplicate
		return nil, codes.Continue
	case len(t.received)+len(m.Payload) > s.limits.MessageBytes:
		s.endTransfer(t)
		return nil, codes.RequestEntityTooLarge
	}
	t.nextBlock++
	t.received = append(t.received, m.Payload...)
	if !more {
		s.endTransfer(t)
		return t.received, noError
	}
	return nil, s.accountFor(now, t, len(m.Payload))
}

func transferKey(id exchangeID, path string, m *message.Message) string {
	tag, _ := m.Options.GetBytes(message.RequestTag) // an absent one is empty
	key := path + "\x00" + string(tag)
	if len(tag) < minGlobalTag {
		key += "\x00" + id.peer.String() + "\x00" + strconv.Itoa(len(tag))
	}
	return key
}

// beginTransfer begins a transfer, or begins it anew if it is past its first
// block.
func (s *Server) beginTransfer(key string, blockSize int) {
	t := s.transfers[key]
	if t != nil && t.nextBlock <= 1 {
		return // the first block is a duplicate
	}
	s.endTransfer(t)
	s.lastToken++
	t = &transfer{key: key, owner: s.lastToken, blockSize: blockSize}
	s.transfers[key] = t
	s.transferByOwner[t.owner] = t
}

// accountFor adds a block's bytes to those of all transfers, which may end the
// slowest. It returns the code to respond with.
func (s *Server) accountFor(now float64, t *transfer, blockBytes int) codes.Code {
	for _, owner := range s.unfinished.Grow(now, t.owner, blockBytes) {
		s.stats.Stalled++
		s.endTransfer(s.transferByOwner[owner])
	}
	if s.transfers[t.key] != t { // it was the slowest
		return codes.ServiceUnavailable
	}
	return codes.Continue
}

// endTransfer removes a transfer, unless it is nil.
func (s *Server) endTransfer(t *transfer) {
	if t == nil {
		return
	}
	delete(s.transfers, t.key)
	delete(s.transferByOwner, t.owner)
	s.unfinished.End(t.owner)
}
