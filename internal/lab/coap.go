package lab

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"net"
	"time"

	"github.com/plgd-dev/go-coap/v3/message"
	"github.com/plgd-dev/go-coap/v3/message/codes"
	"github.com/plgd-dev/go-coap/v3/udp/coder"

	"lotusbend/internal/edge/batch"
)

const (
	// coapBlockSize is the size of a block in bytes, coapSZX its size exponent (SZX)
	// in a block option.
	coapBlockSize = 256
	coapSZX       = 4
	// coapMoreBlocks is the M bit of a block option: more blocks follow.
	coapMoreBlocks = 8
	// coapNoBlock stands for a message without a block option.
	coapNoBlock = int64(-1)

	coapMaxTransmissions = 8 // per message
	coapMaxBlockRetries  = 2 // per block without an answer
	coapMaxEchoAttempts  = 4 // per message that is answered with a new Echo value
)

// coapDevice is a CoAP client. Every fourth device uses non-confirmable messages, the
// others confirmable ones. Long batches use block-wise transfer.
type coapDevice struct {
	device         *device
	conn           net.Conn
	echo           []byte // the router's last Echo value
	messageID      uint16
	token          uint32
	nonConfirmable bool
	requestTag     []byte
	// echoSent reports that a message of this exchange had an Echo value. The router
	// accepts no readings without a valid one.
	echoSent bool
}

func dialCoAP(_ context.Context, d *device, address string) (transport, error) {
	conn, err := net.Dial("udp", address)
	if err != nil {
		return nil, err
	}
	messageID := uint16(d.rand.Uint32())
	token := d.rand.Uint32()
	return &coapDevice{
		device:         d,
		conn:           conn,
		messageID:      messageID,
		token:          token,
		nonConfirmable: d.number%4 == 3,
	}, nil
}

func (t *coapDevice) close() { _ = t.conn.Close() }

// elapsed returns nil: CoAP batches carry no elapsed time.
func (t *coapDevice) elapsed() *float64 { return nil }

// exchange sends a batch in one request or in blocks.
func (t *coapDevice) exchange(ctx context.Context, b *batch.Batch, _ bool) ([]batch.Result, bool, error) {
	t.echoSent = false
	payload := t.device.codec.Encode(b)
	t.requestTag = binary.BigEndian.AppendUint64(nil, t.device.rand.Uint64())
	answer, err := t.transfer(ctx, payload)
	if err != nil {
		return nil, t.echoSent, err
	}
	var reply batch.Reply
	if err := t.device.codec.Decode(answer.Payload, &reply); err != nil {
		return nil, t.echoSent, fmt.Errorf("%v: %w", answer.Code, err)
	}
	return reply.Results, t.echoSent, nil
}

// transfer sends a payload and returns the final answer.
func (t *coapDevice) transfer(ctx context.Context, payload []byte) (*message.Message, error) {
	if len(payload) <= coapBlockSize {
		answer, err := t.request(ctx, payload, coapNoBlock)
		return answer, transferError(answer, err)
	}
	last := (len(payload) - 1) / coapBlockSize
	for n := range last {
		part := payload[n*coapBlockSize : (n+1)*coapBlockSize]
		answer, err := t.requestBlock(ctx, part, int64(n)<<4|coapMoreBlocks|coapSZX)
		if err := transferError(answer, err); err != nil {
			return nil, err
		}
		if answer.Code != codes.Continue {
			return nil, fmt.Errorf("%v before the last block of a transfer, want Continue", answer.Code)
		}
	}
	answer, err := t.requestBlock(ctx, payload[last*coapBlockSize:], int64(last)<<4|coapSZX)
	return answer, transferError(answer, err)
}

// transferError returns err, or an error if the router no longer has the earlier blocks
// of the transfer. The device then sends the readings again, marked as sent before.
func transferError(answer *message.Message, err error) error {
	if err == nil && answer.Code == codes.RequestEntityIncomplete {
		return errors.New("the router no longer has the earlier blocks of the transfer")
	}
	return err
}

// requestBlock sends a block, and again if there is no answer: a lost block does not
// restart the transfer.
func (t *coapDevice) requestBlock(ctx context.Context, part []byte, block int64) (*message.Message, error) {
	answer, err := t.request(ctx, part, block)
	for retries := 0; err != nil && retries < coapMaxBlockRetries && ctx.Err() == nil; retries++ {
		answer, err = t.request(ctx, part, block)
	}
	return answer, err
}

// request sends a message with the last Echo value. It sends it again with a new value
// if the router demands that.
func (t *coapDevice) request(ctx context.Context, payload []byte, block int64) (*message.Message, error) {
	for range coapMaxEchoAttempts {
		answer, err := t.attempt(ctx, payload, block)
		if err != nil || answer.Code != codes.Unauthorized {
			return answer, err
		}
	}
	return nil, errors.New("the router accepted no Echo value")
}

// attempt sends one message and returns its answer. It sends the message up to
// coapMaxTransmissions times, also if it is non-confirmable, until the router
// acknowledges or answers it.
func (t *coapDevice) attempt(ctx context.Context, payload []byte, block int64) (*message.Message, error) {
	t.messageID++
	t.token++
	token := binary.BigEndian.AppendUint32(nil, t.token)
	datagram, err := t.encode(token, payload, block)
	if err != nil {
		return nil, err
	}
	wait := 400 * time.Millisecond
	acked := false
	for range coapMaxTransmissions {
		if !acked {
			if _, err := t.conn.Write(datagram); err != nil {
				return nil, err
			}
		}
		answer, ackedNow, err := t.receive(ctx, token, time.Now().Add(wait))
		if answer != nil || err != nil {
			return answer, err
		}
		acked = acked || ackedNow
		wait = min(wait*3/2, 2*time.Second)
	}
	return nil, errors.New("no answer to the last retransmission")
}

// encode encodes a POST request to /readings as a datagram. block is the value of
// the Block1 option, or coapNoBlock.
func (t *coapDevice) encode(token, payload []byte, block int64) ([]byte, error) {
	m := message.Message{
		Type:      message.Confirmable,
		Code:      codes.POST,
		MessageID: int32(t.messageID),
		Token:     token,
		Payload:   payload,
	}
	if t.nonConfirmable {
		m.Type = message.NonConfirmable
	}
	m.Options = m.Options.Add(message.Option{ID: message.URIPath, Value: []byte("readings")})
	if block != coapNoBlock {
		m.Options = m.Options.Add(message.Option{ID: message.Block1, Value: encodeOptionUint(uint64(block))})
		m.Options = m.Options.Add(message.Option{ID: message.RequestTag, Value: t.requestTag})
	}
	if t.echo != nil {
		m.Options = m.Options.Add(message.Option{ID: message.Echo, Value: t.echo})
		t.echoSent = true
	}
	datagram := make([]byte, len(payload)+128)
	size, err := coder.DefaultCoder.Encode(m, datagram)
	return datagram[:max(size, 0)], err
}

// receive reads until the answer with the token arrives. It returns no answer and no
// error if the deadline passes first. acked reports that the router acknowledged the
// message and will answer it separately. The error is errDrillEnded once ctx is done.
func (t *coapDevice) receive(ctx context.Context, token []byte, deadline time.Time) (
	answer *message.Message, acked bool, err error,
) {
	buffer := make([]byte, 2048)
	for {
		if err := t.conn.SetReadDeadline(deadline); err != nil {
			return nil, acked, err
		}
		size, err := t.conn.Read(buffer)
		if ctx.Err() != nil {
			return nil, acked, errDrillEnded
		}
		if isTimeout(err) {
			return nil, acked, nil
		}
		if err != nil { // port unreachable: the router is down
			time.Sleep(20 * time.Millisecond)
			if time.Now().After(deadline) {
				return nil, acked, nil
			}
			continue
		}
		m := &message.Message{Options: make(message.Options, 0, 32)}
		if _, err := coder.DefaultCoder.Decode(buffer[:size], m); err != nil {
			continue
		}
		if m.Type == message.Confirmable { // a separate response, perhaps to an earlier request
			t.acknowledge(m.MessageID)
		}
		if m.Code == codes.Empty {
			acked = acked || m.Type == message.Acknowledgement && m.MessageID == int32(t.messageID)
			continue
		}
		if string(m.Token) != string(token) {
			continue
		}
		if echo, err := m.Options.GetBytes(message.Echo); err == nil {
			t.echo = append([]byte(nil), echo...)
		}
		m.Payload = append([]byte(nil), m.Payload...)
		return m, acked, nil
	}
}

// acknowledge sends an empty acknowledgement for a message.
func (t *coapDevice) acknowledge(messageID int32) {
	const version = 1 << 6
	header := version | byte(message.Acknowledgement)<<4
	_, _ = t.conn.Write([]byte{header, 0, byte(messageID >> 8), byte(messageID)})
}

// isTimeout reports whether a read failed because its deadline passed.
func isTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout() || errors.Is(err, context.DeadlineExceeded)
}

// encodeOptionUint encodes an option's unsigned integer without leading zero bytes.
func encodeOptionUint(value uint64) []byte {
	encoded := binary.BigEndian.AppendUint64(nil, value)
	for len(encoded) > 0 && encoded[0] == 0 {
		encoded = encoded[1:]
	}
	return encoded
}
