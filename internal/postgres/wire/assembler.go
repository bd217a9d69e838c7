package wire

import "bytes"

// Framing describes how a stream divides into messages, and the memory that a message
// which arrives in parts may take.
type Framing interface {
	// MessageLength returns the length of the message that begins with b. If b is too
	// short to tell, it returns a greater length than that of b, which tells more.
	MessageLength(b []byte) (int, error)
	// ReserveMessage is called before a buffer of n bytes is allocated for the beginning
	// of a message. An error ends the reading.
	ReserveMessage(n int) error
}

// Assembler divides a stream into messages. It keeps the beginning of a message that
// has not arrived completely, in a buffer of the message's exact length. The zero
// Assembler is ready for use. It is not safe for concurrent use.
type Assembler struct {
	unfinished []byte // the received part of an incomplete message
}

// Next returns the first message and the bytes of data after it, nil if data ends
// before the message does. kept reports that the message is in a buffer of its own,
// which belongs to the caller; otherwise it is a part of data. An error is one of
// framing's.
func (a *Assembler) Next(framing Framing, data []byte) (message, rest []byte, kept bool, err error) {
	if len(a.unfinished) == 0 {
		length, err := framing.MessageLength(data)
		if err != nil {
			return nil, nil, false, err
		}
		if len(data) >= length {
			return data[:length], data[length:], false, nil
		}
	}
	for {
		length, err := framing.MessageLength(a.unfinished)
		if err != nil {
			return nil, nil, false, err
		}
		if len(a.unfinished) == length {
			return a.take(), data, true, nil
		}
		if err := a.grow(framing, length); err != nil {
			return nil, nil, false, err
		}
		missing := min(length-len(a.unfinished), len(data))
		a.unfinished = append(a.unfinished, data[:missing]...)
		data = data[missing:]
		if len(a.unfinished) < length {
			return nil, nil, false, nil
		}
	}
}

// grow makes room for a message of length bytes.
func (a *Assembler) grow(framing Framing, length int) error {
	if cap(a.unfinished) >= length {
		return nil
	}
	if err := framing.ReserveMessage(length); err != nil {
		return err
	}
	grown := make([]byte, len(a.unfinished), length)
	copy(grown, a.unfinished)
	a.unfinished = grown
	return nil
}

// take returns the message that is complete.
func (a *Assembler) take() []byte {
	message := a.unfinished
	a.unfinished = nil
	return message
}

// Room returns the missing part of an incomplete message, as far as its length is
// known, nil if there is none. Bytes that are read into it count once Filled is called.
func (a *Assembler) Room() []byte { return a.unfinished[len(a.unfinished):cap(a.unfinished)] }

// Filled adds n bytes that were read into Room. The next call of Next, with further
// bytes or none, continues with them.
func (a *Assembler) Filled(n int) { a.unfinished = a.unfinished[:len(a.unfinished)+n] }

// Complete reports whether the buffer of a message is full, as after Filled.
func (a *Assembler) Complete() bool {
	return len(a.unfinished) > 0 && len(a.unfinished) == cap(a.unfinished)
}

// Drop frees the beginning of a message whose rest is not processed.
func (a *Assembler) Drop() { a.unfinished = nil }

// Len returns how many bytes of an incomplete message are kept.
func (a *Assembler) Len() int { return len(a.unfinished) }

// Size returns the size of the buffer of an incomplete message, 0 if there is none.
func (a *Assembler) Size() int { return cap(a.unfinished) }

// Owned returns message, or a copy if it is not kept.
func Owned(message []byte, kept bool) []byte {
	if kept {
		return message
	}
	return bytes.Clone(message)
}
