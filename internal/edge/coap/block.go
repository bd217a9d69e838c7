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
const minGlobalTagBytes = 8

// transfer is a message that comes in blocks (RFC 7959).
type blockTransfer struct {
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
	now float64, id exchangeID, path string, received *message.Message, block1 uint32,
) (payload []byte, code codes.Code) {
	number := block1 >> blockNumberShift
	more := block1&blockMoreFlag != 0
	exponent := block1 & blockExponentMask
	if exponent == reservedExponent {
		return nil, codes.BadRequest
	}
	size := 1 << (exponent + minBlockExponent)
	if more && len(received.Payload) != size || len(received.Payload) > size {
		return nil, codes.BadRequest
	}
	key := transferKey(id, path, received)
	if number == 0 {
		if !more { // a message of one block
			s.endTransfer(s.transfers[key])
			return received.Payload, noError
		}
		s.beginTransfer(key, size)
	}
	transfer := s.transfers[key]
	switch {
	case transfer == nil || number > transfer.nextBlock || size != transfer.blockSize:
		return nil, codes.RequestEntityIncomplete
	case number < transfer.nextBlock: // a duplicate
		return nil, codes.Continue
	case len(transfer.received)+len(received.Payload) > s.limits.MessageBytes:
		s.endTransfer(transfer)
		return nil, codes.RequestEntityTooLarge
	}
	transfer.nextBlock++
	transfer.received = append(transfer.received, received.Payload...)
	if !more {
		s.endTransfer(transfer)
		return transfer.received, noError
	}
	return nil, s.addTransferBytes(now, transfer, len(received.Payload))
}

func transferKey(id exchangeID, path string, received *message.Message) string {
	tag, _ := received.Options.GetBytes(message.RequestTag) // an absent one is empty
	key := path + "\x00" + string(tag)
	if len(tag) < minGlobalTagBytes {
		key += "\x00" + id.peer.String() + "\x00" + strconv.Itoa(len(tag))
	}
	return key
}

// beginTransfer begins a transfer, or begins it anew if it is past its first
// block.
func (s *Server) beginTransfer(key string, blockSize int) {
	transfer := s.transfers[key]
	if transfer != nil && transfer.nextBlock <= 1 {
		return // the first block is a duplicate
	}
	s.endTransfer(transfer)
	s.lastToken++
	transfer = &blockTransfer{key: key, owner: s.lastToken, blockSize: blockSize}
	s.transfers[key] = transfer
	s.transferByOwner[transfer.owner] = transfer
}

// accountFor adds a block's bytes to those of all transfers, which may end the
// slowest. It returns the code to respond with.
func (s *Server) addTransferBytes(now float64, transfer *blockTransfer, blockBytes int) codes.Code {
	for _, owner := range s.unfinished.Grow(now, transfer.owner, blockBytes) {
		s.stats.Stalled++
		s.endTransfer(s.transferByOwner[owner])
	}
	if s.transfers[transfer.key] != transfer { // it was the slowest
		return codes.ServiceUnavailable
	}
	return codes.Continue
}

// endTransfer removes a transfer, unless it is nil.
func (s *Server) endTransfer(transfer *blockTransfer) {
	if transfer == nil {
		return
	}
	delete(s.transfers, transfer.key)
	delete(s.transferByOwner, transfer.owner)
	s.unfinished.End(transfer.owner)
}
