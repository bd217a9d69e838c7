package coap

import (
	"strconv"

	"github.com/plgd-dev/go-coap/v3/message"
	"github.com/plgd-dev/go-coap/v3/message/codes"
)

// The value of the Block1 option (RFC 7959, 2.2). A block has
// 2^(exponent+minBlockExponent) bytes.
const (
	blockNumberShift  = 4
	blockMoreFlag     = 8
	blockExponentMask = 7
	reservedExponent  = 7
	minBlockExponent  = 4
)

// minGlobalTagBytes is the length from which a Request-Tag identifies a transfer
// regardless of the client's address. Eight random bytes cannot be guessed by
// another client; shorter tags identify a transfer only together with the
// address.
const minGlobalTagBytes = 8

// blockTransfer is a message that is being received in blocks (RFC 7959).
type blockTransfer struct {
	key       string
	owner     uint64 // identifies the transfer in Server.unfinished
	nextBlock uint32
	blockSize int // bytes
	received  []byte
}

// handleBlock handles one block. After the last block it returns the complete
// message, else the code to respond with. A client may continue an interrupted
// transfer with the next block, also from another address if its Request-Tag has
// at least minGlobalTagBytes.
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
		if !more { // the message consists of one block
			s.endTransfer(s.transfers[key])
			return received.Payload, noError
		}
		s.beginTransfer(key, size)
	}
	transfer := s.transfers[key]
	switch {
	case transfer == nil || number > transfer.nextBlock || size != transfer.blockSize:
		return nil, codes.RequestEntityIncomplete
	case number < transfer.nextBlock: // a duplicate block
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

// transferKey returns what identifies the transfer that a block belongs to.
func transferKey(id exchangeID, path string, received *message.Message) string {
	tag, _ := received.Options.GetBytes(message.RequestTag) // empty if absent
	key := path + "\x00" + string(tag)
	if len(tag) < minGlobalTagBytes {
		key += "\x00" + id.peer.String() + "\x00" + strconv.Itoa(len(tag))
	}
	return key
}

// beginTransfer starts a transfer with its first block. It restarts a transfer
// that has received later blocks.
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

// addTransferBytes accounts for a block's bytes, which may evict the slowest
// transfers. It returns the code to respond with.
func (s *Server) addTransferBytes(now float64, transfer *blockTransfer, blockBytes int) codes.Code {
	for _, owner := range s.unfinished.Add(now, transfer.owner, blockBytes) {
		s.stats.Stalled++
		s.endTransfer(s.transferByOwner[owner])
	}
	if s.transfers[transfer.key] != transfer { // it was evicted itself
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
