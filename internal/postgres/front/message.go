package front

import (
	"bytes"

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
// ends before the message does, it keeps the beginning in c.unfinished and returns
// a nil message. Memory for a long message is reserved before more than its header
// is kept; without it, nextMessage returns errOutOfMemory. The message does not
// refer to data, and belongs to the caller.
func (c *client) nextMessage(data []byte) (message, rest []byte, err error) {
	if len(c.unfinished) == 0 {
		length, err := c.messageLength(data)
		if err != nil {
			return nil, nil, err
		}
		if len(data) >= length {
			return bytes.Clone(data[:length]), data[length:], nil
		}
	}
	for {
		length, err := c.messageLength(c.unfinished)
		if err != nil {
			return nil, nil, err
		}
		if err := c.growUnfinished(length); err != nil {
			return nil, nil, err
		}
		missing := min(length-len(c.unfinished), len(data))
		c.unfinished = append(c.unfinished, data[:missing]...)
		data = data[missing:]
		if len(c.unfinished) < length {
			return nil, nil, nil
		}
		if total, err := c.messageLength(c.unfinished); err != nil || total == length {
			return c.takeUnfinished(), data, err
		}
	}
}

// messageLength returns the length of the message that begins with b. If b is too
// short to tell, it returns the length of the header. The error wraps
// wire.ErrMalformed if the header is invalid.
func (c *client) messageLength(b []byte) (int, error) {
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

// growUnfinished makes room for a message of length bytes in c.unfinished. It
// returns errOutOfMemory if they exceed the memory budget.
func (c *client) growUnfinished(length int) error {
	if cap(c.unfinished) >= length {
		return nil
	}
	if !c.reserveUnread(length) {
		return errOutOfMemory
	}
	grown := make([]byte, len(c.unfinished), length)
	copy(grown, c.unfinished)
	c.unfinished = grown
	return nil
}

// takeUnfinished returns the message in c.unfinished, which is complete. Its memory
// stays reserved until the message is processed.
func (c *client) takeUnfinished() []byte {
	message := c.unfinished
	c.unfinished = nil
	return message
}

// dropUnfinished frees the beginning of a message whose rest is not processed.
func (c *client) dropUnfinished() {
	c.unfinished = nil
	c.partial = false
	c.reserveUnread(0)
}
