package coap

import (
	"bytes"
	"math"
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

// messageBody is the payload of a complete message.
type messageBody struct {
	payload   []byte
	sentAfter float64 // earliest time at which the message was sent, Unix milliseconds
}

// requestBlock is one block of a message (RFC 7959).
type requestBlock struct {
	number    uint32
	more      bool // it is not the last one
	size      int  // bytes of each block but the last
	payload   []byte
	sentAfter float64 // creation time of the request's Echo value, Unix milliseconds
}

// newRequestBlock returns the block in a request with the given value of the Block1
// option. The code is noError if the block is valid.
func newRequestBlock(option uint32, payload []byte, sentAfter float64) (b requestBlock, code codes.Code) {
	exponent := option & blockExponentMask
	if exponent == reservedExponent {
		return requestBlock{}, codes.BadRequest
	}
	b = requestBlock{
		number:    option >> blockNumberShift,
		more:      option&blockMoreFlag != 0,
		size:      1 << (exponent + minBlockExponent),
		payload:   payload,
		sentAfter: sentAfter,
	}
	if b.more && len(payload) != b.size || len(payload) > b.size {
		return requestBlock{}, codes.BadRequest
	}
	return b, noError
}

// blockTransfer is a message that is being received in blocks.
type blockTransfer struct {
	key       string
	owner     uint64 // identifies the transfer in Server.unfinished
	nextBlock uint32
	blockSize int // bytes
	received  []byte
	sentAfter float64 // of the first block
	startedAt float64 // Unix milliseconds; Echo values created earlier are of earlier messages
	lastAt    float64 // when the last block arrived, Unix milliseconds
}

// belongsTo returns noError if a block other than the first belongs to the
// transfer, else the code to respond with. A client sends such a block after the
// response to the block before it, with the new Echo value in that response. A
// block with an older value may be a delayed one of a message that its client has
// abandoned: the client must repeat it with a new value. If the value is older than
// the transfer but newer than that of the first block, the first block was delayed
// and may be of an abandoned message: the client must begin its message anew.
func (b requestBlock) belongsTo(transfer *blockTransfer) codes.Code {
	switch {
	case b.number > transfer.nextBlock || b.size != transfer.blockSize:
		return codes.RequestEntityIncomplete
	case b.sentAfter >= transfer.startedAt:
		return noError
	case b.sentAfter > transfer.sentAfter:
		return codes.RequestEntityIncomplete
	}
	return codes.Unauthorized
}

// handleBlock handles one block. After the last block it returns the complete
// message, else the code to respond with. A client may continue an interrupted
// transfer with the next block, also from another address if its Request-Tag has
// at least minGlobalTagBytes.
func (s *Server) handleBlock(now float64, key string, b requestBlock) (body messageBody, code codes.Code) {
	if b.number == 0 {
		if !b.more { // the message consists of one block
			s.endTransfer(s.transfers[key])
			return messageBody{b.payload, b.sentAfter}, noError
		}
		s.beginTransfer(now, key, b)
	}
	transfer := s.transfers[key]
	if transfer == nil {
		return messageBody{}, codes.RequestEntityIncomplete
	}
	transfer.lastAt = now
	if b.number > 0 {
		if code := b.belongsTo(transfer); code != noError {
			return messageBody{}, code
		}
	}
	switch {
	case b.number < transfer.nextBlock: // a duplicate block
		return messageBody{}, codes.Continue
	case len(transfer.received)+len(b.payload) > s.limits.MessageBytes:
		s.endTransfer(transfer)
		return messageBody{}, codes.RequestEntityTooLarge
	}
	transfer.nextBlock++
	transfer.received = append(transfer.received, b.payload...)
	if !b.more {
		s.endTransfer(transfer)
		return messageBody{transfer.received, transfer.sentAfter}, noError
	}
	return messageBody{}, s.addTransferBytes(now, transfer, len(b.payload))
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

// beginTransfer starts a transfer with its first block. The block begins a new
// message even if another transfer is unfinished, whose client has abandoned it,
// unless it repeats the only block of that transfer.
func (s *Server) beginTransfer(now float64, key string, first requestBlock) {
	old := s.transfers[key]
	startedAt := now
	switch {
	case old == nil:
	case !bytes.HasPrefix(old.received, first.payload) || old.blockSize != first.size:
		if old.lastAt >= now { // the response to old has an Echo value of the same time
			startedAt = math.Nextafter(now, math.Inf(1))
		}
	case old.nextBlock == 1:
		return
	}
	s.endTransfer(old)
	s.lastToken++
	transfer := &blockTransfer{
		key:       key,
		owner:     s.lastToken,
		blockSize: first.size,
		sentAfter: first.sentAfter,
		startedAt: startedAt,
	}
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
