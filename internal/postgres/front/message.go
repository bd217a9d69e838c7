package front

import (
	"lotusbend/internal/postgres/wire"
)

const (
	// smallMessageBytes is the largest amount of unparsed input that a client may
	// have even if the memory budget is exceeded.
	smallMessageBytes = 8 << 10
	// readBufferBytes is the size of netpoll's read buffer, which every connection
	// has whether or not it holds input.
	readBufferBytes = 8 << 10
)

// nextMessage returns the first message of data and the bytes after it. If data
// ends before the message does, it keeps the beginning in c.input and returns a nil
// message. Memory for a long message is reserved before more than its header is
// kept; without it, nextMessage returns errOutOfMemory. The message does not refer to
// data, and belongs to the caller.
func (c *client) nextMessage(data []byte) (message, rest []byte, err error) {
	message, rest, kept, err := c.input.Next(c, data)
	return wire.Owned(message, kept), rest, err
}

// MessageLength implements wire.Framing. The error wraps wire.ErrMalformed if the
// header is invalid.
func (c *client) MessageLength(b []byte) (int, error) {
	headerLen := wire.HeaderLen
	if !c.started {
		headerLen = wire.StartupHeaderLen
	}
	if len(b) < headerLen {
		return headerLen, nil
	}
	var bodyLen int
	var err error
	if c.started {
		_, bodyLen, err = wire.ParseHeader(b[:headerLen])
	} else {
		bodyLen, err = wire.ParseStartupHeader(b[:headerLen])
	}
	return headerLen + bodyLen, err
}

// ReserveMessage implements wire.Framing. It returns errOutOfMemory if n bytes exceed
// the memory budget. The memory of a message that becomes complete stays reserved
// until it is processed.
func (c *client) ReserveMessage(n int) error {
	if !c.reserveUnread(n) {
		return errOutOfMemory
	}
	return nil
}

// dropUnfinished frees the beginning of a message whose rest is not processed.
func (c *client) dropUnfinished() {
	c.input.Drop()
	c.partial = false
	c.reserveUnread(0)
}
