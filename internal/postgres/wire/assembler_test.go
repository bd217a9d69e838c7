package wire

import (
	"bytes"
	"errors"
	"math/rand/v2"
	"testing"
)

// lengthByte is a Framing whose messages begin with their length in one byte. Messages
// that begin with 0 are invalid.
type lengthByte struct{ reserved []int }

var errNoLength, errNoMemory = errors.New("no length"), errors.New("no memory")

func (l *lengthByte) MessageLength(b []byte) (int, error) {
	if len(b) == 0 {
		return 1, nil
	}
	if b[0] == 0 {
		return 0, errNoLength
	}
	return int(b[0]), nil
}

func (l *lengthByte) ReserveMessage(n int) error {
	l.reserved = append(l.reserved, n)
	if n > 200 {
		return errNoMemory
	}
	return nil
}

// A stream must divide into the same messages however its bytes arrive: in one piece,
// in pieces of any size, and read into the buffer of the incomplete message.
func TestAssemblerDividesStreamInAnyPieces(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	for range 500 {
		var stream []byte
		var want [][]byte
		for range 1 + random.IntN(6) {
			message := bytes.Repeat([]byte{byte(random.IntN(256))}, 1+random.IntN(200))
			message[0] = byte(len(message))
			want = append(want, message)
			stream = append(stream, message...)
		}
		if got := assemble(t, stream, random); len(got) != len(want) || !bytes.Equal(bytes.Join(got, nil), stream) {
			t.Fatalf("got messages %q, want %q", got, want)
		}
	}
}

// assemble passes a stream to an Assembler in random pieces, of which some are read
// into its Room, and returns the messages.
func assemble(t *testing.T, stream []byte, random *rand.Rand) (messages [][]byte) {
	t.Helper()
	var assembler Assembler
	framing := &lengthByte{}
	for len(stream) > 0 {
		piece := stream[:1+random.IntN(len(stream))]
		if room := assembler.Room(); len(room) > 0 && random.IntN(2) == 0 {
			n := copy(room, piece)
			assembler.Filled(n)
			stream = stream[n:]
			piece = nil
		} else {
			stream = stream[len(piece):]
		}
		for len(piece) > 0 || assembler.Complete() {
			message, rest, kept, err := assembler.Next(framing, piece)
			if err != nil {
				t.Fatal(err)
			}
			piece = rest
			if message == nil {
				break
			}
			messages = append(messages, Owned(message, kept))
		}
	}
	return messages
}

// The buffer of an incomplete message has the message's exact length and is reserved
// before it is allocated; an error of the framing ends the reading.
func TestAssemblerReservesBeforeItAllocates(t *testing.T) {
	var assembler Assembler
	framing := &lengthByte{}
	if _, _, _, err := assembler.Next(framing, []byte{100, 1, 2}); err != nil {
		t.Fatal(err)
	}
	if assembler.Size() != 100 || framing.reserved[len(framing.reserved)-1] != 100 {
		t.Errorf("buffer of %d bytes, reserved %v, want 100", assembler.Size(), framing.reserved)
	}
	assembler.Drop()
	if _, _, _, err := assembler.Next(framing, []byte{201, 1, 2}); !errors.Is(err, errNoMemory) {
		t.Errorf("Next() without memory = %v, want %v", err, errNoMemory)
	}
	assembler.Drop()
	if _, _, _, err := assembler.Next(framing, []byte{0, 1}); !errors.Is(err, errNoLength) {
		t.Errorf("Next() of an invalid message = %v, want %v", err, errNoLength)
	}
}
