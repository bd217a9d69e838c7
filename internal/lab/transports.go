package lab

import (
	"bufio"
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"time"

	"github.com/mochi-mqtt/server/v2/packets"
	"github.com/plgd-dev/go-coap/v3/message"
	"github.com/plgd-dev/go-coap/v3/message/codes"
	"github.com/plgd-dev/go-coap/v3/udp/coder"

	"lotusbend/internal/edge/batch"
	"lotusbend/internal/edge/frames"
	"lotusbend/internal/edge/intake"
	"lotusbend/internal/edge/mqtt"
)

// patience is how long a device waits for an answer on a connection that is up.
const patience = 6 * time.Second

// coapDevice speaks CoAP, with confirmable messages or without, and in blocks
// where a batch is long.
type coapDevice struct {
	d       *device
	conn    net.Conn
	echo    []byte
	mid     uint16
	token   uint32
	plain   bool // non-confirmable
	tag     []byte
	started bool // a request of this exchange carried a valid Echo, as far as the device knows
}

func dialCoAP(_ context.Context, d *device, address string) (transport, error) {
	c, err := net.Dial("udp", address)
	if err != nil {
		return nil, err
	}
	return &coapDevice{d: d, conn: c, mid: uint16(d.rand.Uint32()), token: d.rand.Uint32(), plain: d.number%4 == 3}, nil
}

func (t *coapDevice) close()            { _ = t.conn.Close() }
func (t *coapDevice) elapsed() *float64 { return nil }

// blockSize is that of Block1, and szx its code.
const (
	blockSize = 256
	szx       = 4
)

// exchange sends a batch in one request or in blocks.
func (t *coapDevice) exchange(ctx context.Context, b *batch.Batch, _ bool) ([]batch.Result, bool, error) {
	payload := t.d.codec.Encode(b)
	t.started = false
	t.tag = binary.BigEndian.AppendUint64(nil, t.d.rand.Uint64())
	last := 0
	if len(payload) > blockSize {
		last = (len(payload) - 1) / blockSize
	}
	for n := 0; n <= last; n++ {
		part, block := payload, int64(-1)
		if last > 0 {
			part = payload[n*blockSize : min((n+1)*blockSize, len(payload))]
			block = int64(n)<<4 | szx
			if n < last {
				block |= 8
			}
		}
		m, err := t.request(ctx, part, block)
		for again := 0; err != nil && last > 0 && again < 2 && ctx.Err() == nil; again++ { // the transfer goes on where it stood
			m, err = t.request(ctx, part, block)
		}
		if err != nil {
			return nil, t.started, err
		}
		switch {
		case m.Code == codes.Continue && n < last:
		case m.Code == codes.RequestEntityIncomplete: // the transfer was forgotten: from its beginning, marked as sent
			return nil, t.started, errors.New("the transfer was forgotten")
		case n < last:
			return nil, t.started, fmt.Errorf("%v in the middle of a transfer", m.Code)
		default:
			var r batch.Reply
			if err := t.d.codec.Decode(m.Payload, &r); err != nil {
				return nil, t.started, fmt.Errorf("%v: %w", m.Code, err)
			}
			return r.Results, t.started, nil
		}
	}
	return nil, t.started, errors.New("no answer to the last block")
}

// request sends one message until it is answered, with its Echo value, and
// again with a new one where that is asked for.
func (t *coapDevice) request(ctx context.Context, payload []byte, block int64) (*message.Message, error) {
	for range 4 {
		m, err := t.attempt(ctx, payload, block)
		if err != nil || m.Code != codes.Unauthorized {
			return m, err
		}
	}
	return nil, errors.New("the address is never believed")
}

func (t *coapDevice) attempt(ctx context.Context, payload []byte, block int64) (*message.Message, error) {
	t.mid++
	t.token++
	token := binary.BigEndian.AppendUint32(nil, t.token)
	m := message.Message{Type: message.Confirmable, Code: codes.POST, MessageID: int32(t.mid), Token: token, Payload: payload}
	if t.plain {
		m.Type = message.NonConfirmable
	}
	m.Options = m.Options.Add(message.Option{ID: message.URIPath, Value: []byte("readings")})
	if block >= 0 {
		m.Options = m.Options.Add(message.Option{ID: message.Block1, Value: shortest(uint64(block))})
		m.Options = m.Options.Add(message.Option{ID: message.RequestTag, Value: t.tag})
	}
	if t.echo != nil {
		m.Options = m.Options.Add(message.Option{ID: message.Echo, Value: t.echo})
		t.started = true
	}
	b := make([]byte, len(payload)+128)
	n, err := coder.DefaultCoder.Encode(m, b)
	if err != nil {
		return nil, err
	}
	wait := 400 * time.Millisecond
	in := make([]byte, 2048)
	acked := false
	for range 8 {
		if !acked {
			if _, err := t.conn.Write(b[:n]); err != nil {
				return nil, err
			}
		}
		end := time.Now().Add(wait)
		for {
			if err := t.conn.SetReadDeadline(end); err != nil {
				return nil, err
			}
			got, err := t.conn.Read(in)
			if ctx.Err() != nil {
				return nil, errStopped
			}
			if err != nil {
				if errors.Is(err, context.DeadlineExceeded) || isTimeout(err) {
					break
				}
				time.Sleep(20 * time.Millisecond) // refused: the router is away
				if time.Now().After(end) {
					break
				}
				continue
			}
			a := &message.Message{Options: make(message.Options, 0, 32)}
			if _, err := coder.DefaultCoder.Decode(in[:got], a); err != nil {
				continue
			}
			if a.Type == message.Confirmable { // a separate response, maybe an old one
				_, _ = t.conn.Write([]byte{1<<6 | byte(message.Acknowledgement)<<4, 0, byte(a.MessageID >> 8), byte(a.MessageID)})
			}
			if a.Code == codes.Empty {
				acked = acked || a.Type == message.Acknowledgement && a.MessageID == int32(t.mid)
				continue
			}
			if string(a.Token) != string(token) {
				continue
			}
			if e, err := a.Options.GetBytes(message.Echo); err == nil {
				t.echo = append([]byte(nil), e...)
			}
			a.Payload = append([]byte(nil), a.Payload...)
			return a, nil
		}
		wait = min(wait*3/2, 2*time.Second)
	}
	return nil, errors.New("no answer")
}

func isTimeout(err error) bool {
	var n net.Error
	return errors.As(err, &n) && n.Timeout()
}

func shortest(v uint64) []byte {
	b := binary.BigEndian.AppendUint64(nil, v)
	for len(b) > 0 && b[0] == 0 {
		b = b[1:]
	}
	return b
}

// mqttDevice speaks MQTT 3.1.1 or 5 with quality of service 1 or 2.
type mqttDevice struct {
	d       *device
	conn    net.Conn
	in      *bufio.Reader
	version byte
	qos     byte
	packet  uint16
	greeted time.Time
}

func dialMQTT(ctx context.Context, d *device, address string) (transport, error) {
	c, err := net.DialTimeout("tcp", address, patience)
	if err != nil {
		return nil, err
	}
	t := &mqttDevice{d: d, conn: c, in: bufio.NewReader(c), version: 4 + byte(d.number%2), qos: 1 + byte(d.number/2%2), packet: uint16(d.rand.Uint32())}
	hello := packets.Packet{FixedHeader: packets.FixedHeader{Type: packets.Connect}, ProtocolVersion: t.version,
		Connect: packets.ConnectParams{ProtocolName: []byte("MQTT"), ClientIdentifier: d.name, Keepalive: 20}}
	if t.version == 5 {
		hello.Properties.SessionExpiryInterval, hello.Properties.SessionExpiryIntervalFlag = 600, true
	}
	if _, err := c.Write(mqtt.Encode(&hello)); err != nil {
		_ = c.Close()
		return nil, err
	}
	pk, err := t.next(ctx)
	if err == nil && (pk.FixedHeader.Type != packets.Connack || pk.ReasonCode != 0) {
		err = fmt.Errorf("greeted by packet %d, reason %d", pk.FixedHeader.Type, pk.ReasonCode)
	}
	if err != nil {
		_ = c.Close()
		return nil, err
	}
	t.greeted = time.Now()
	return t, nil
}

func (t *mqttDevice) close()            { _ = t.conn.Close() }
func (t *mqttDevice) elapsed() *float64 { return since(t.greeted) }

// next reads one packet.
func (t *mqttDevice) next(ctx context.Context) (pk packets.Packet, err error) {
	if err := t.conn.SetReadDeadline(time.Now().Add(patience)); err != nil {
		return pk, err
	}
	first, err := t.in.ReadByte()
	if err != nil {
		return pk, err
	}
	n, _, err := packets.DecodeLength(t.in)
	if err != nil {
		return pk, err
	}
	body := make([]byte, n)
	if _, err := io.ReadFull(t.in, body); err != nil {
		return pk, err
	}
	if ctx.Err() != nil {
		return pk, errStopped
	}
	pk.ProtocolVersion = t.version
	if err := pk.FixedHeader.Decode(first); err != nil {
		return pk, err
	}
	pk.FixedHeader.Remaining = n
	switch pk.FixedHeader.Type {
	case packets.Connack:
		err = pk.ConnackDecode(body)
	case packets.Puback:
		err = pk.PubackDecode(body)
	case packets.Pubrec:
		err = pk.PubrecDecode(body)
	case packets.Pubcomp:
		err = pk.PubcompDecode(body)
	case packets.Disconnect:
		err = errors.New("let go")
	}
	return pk, err
}

func (t *mqttDevice) exchange(ctx context.Context, b *batch.Batch, again bool) ([]batch.Result, bool, error) {
	if t.packet++; t.packet == 0 {
		t.packet = 1
	}
	pub := packets.Packet{FixedHeader: packets.FixedHeader{Type: packets.Publish, Qos: t.qos, Dup: again}, ProtocolVersion: t.version,
		TopicName: "readings", PacketID: t.packet, Payload: t.d.codec.Encode(b)}
	if _, err := t.conn.Write(mqtt.Encode(&pub)); err != nil {
		return nil, true, err
	}
	for {
		pk, err := t.next(ctx)
		if err != nil {
			return nil, true, err
		}
		want := byte(packets.Puback)
		if t.qos == 2 {
			want = packets.Pubrec
		}
		if pk.FixedHeader.Type != want || pk.PacketID != t.packet {
			continue
		}
		var results []batch.Result
		for i, r := range b.Readings {
			res := batch.Result{Seq: r.Seq}
			if pk.ReasonCode >= 0x80 {
				res.Status = uint8(intake.Unknown)
				if i < len(pk.Properties.User) {
					res = parseResult(pk.Properties.User[i].Val, res)
				}
			}
			results = append(results, res)
		}
		if t.qos == 2 && pk.ReasonCode < 0x80 { // and its second half
			rel := packets.Packet{FixedHeader: packets.FixedHeader{Type: packets.Pubrel, Qos: 1}, ProtocolVersion: t.version, PacketID: t.packet}
			if _, err := t.conn.Write(mqtt.Encode(&rel)); err != nil {
				return results, true, err
			}
			for {
				pk, err := t.next(ctx)
				if err != nil {
					return results, true, err
				}
				if pk.FixedHeader.Type == packets.Pubcomp && pk.PacketID == t.packet {
					break
				}
			}
		}
		return results, true, nil
	}
}

// parseResult reads a reading's answer as version 5's user properties have it.
func parseResult(text string, r batch.Result) batch.Result {
	var word string
	if _, err := fmt.Sscanf(text, "%d %s %d", &r.Seq, &word, &r.Wait); err != nil {
		return r
	}
	for s := intake.Recorded; s <= intake.Invalid; s++ {
		if strings.EqualFold(s.String(), word) {
			r.Status = uint8(s)
		}
	}
	return r
}

// frameDevice speaks the framed stream, as a gateway for one device.
type frameDevice struct {
	d     *device
	conn  net.Conn
	in    *bufio.Reader
	id    uint32
	mark  float64
	heard time.Time
}

func dialFrames(ctx context.Context, d *device, address string) (transport, error) {
	c, err := net.DialTimeout("tcp", address, patience)
	if err != nil {
		return nil, err
	}
	t := &frameDevice{d: d, conn: c, in: bufio.NewReader(c)}
	var w frames.Welcome
	err = t.send(frames.Hello{Kind: frames.KindHello, Version: frames.Version, Name: d.name})
	if err == nil {
		err = t.receive(ctx, frames.KindWelcome, &w)
	}
	if err != nil {
		_ = c.Close()
		return nil, err
	}
	t.mark, t.heard = w.Mark, time.Now()
	return t, nil
}

func (t *frameDevice) close()            { _ = t.conn.Close() }
func (t *frameDevice) elapsed() *float64 { return since(t.heard) }

func (t *frameDevice) send(frame any) error {
	_, err := t.conn.Write(frames.Append(nil, t.d.codec, frame))
	return err
}

// receive reads frames up to one of a kind.
func (t *frameDevice) receive(ctx context.Context, kind frames.Kind, to any) error {
	for {
		if err := t.conn.SetReadDeadline(time.Now().Add(patience)); err != nil {
			return err
		}
		head := make([]byte, frames.HeaderLen)
		if _, err := io.ReadFull(t.in, head); err != nil {
			return err
		}
		body := make([]byte, binary.BigEndian.Uint32(head))
		if _, err := io.ReadFull(t.in, body); err != nil {
			return err
		}
		if ctx.Err() != nil {
			return errStopped
		}
		if len(body) > 1 && body[1] == byte(kind) {
			return t.d.codec.Decode(body, to)
		}
		if len(body) > 1 && body[1] == byte(frames.KindBye) {
			return errors.New("let go")
		}
	}
}

func (t *frameDevice) exchange(ctx context.Context, b *batch.Batch, _ bool) ([]batch.Result, bool, error) {
	t.id++
	if err := t.send(frames.Readings{Kind: frames.KindReadings, ID: t.id, Route: "readings", Mark: t.mark, Batch: *b}); err != nil {
		return nil, true, err
	}
	for {
		var a frames.Answer
		if err := t.receive(ctx, frames.KindAnswer, &a); err != nil {
			return nil, true, err
		}
		if a.ID != t.id {
			continue
		}
		t.mark, t.heard = a.Mark, time.Now()
		var results []batch.Result
		for _, r := range a.Ranges {
			for seq := r.From; seq <= r.To; seq++ {
				results = append(results, batch.Result{Seq: seq, Status: r.Status, Wait: r.Wait})
			}
		}
		return results, true, nil
	}
}
