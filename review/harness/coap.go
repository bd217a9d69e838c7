package harness

import (
	"encoding/binary"
	"errors"
	"net"
	"sync/atomic"
	"time"

	"github.com/plgd-dev/go-coap/v3/message"
	"github.com/plgd-dev/go-coap/v3/message/codes"
	"github.com/plgd-dev/go-coap/v3/udp/coder"
)

// UDPLink forwards datagrams between one device and a router. It drops all of them
// while it stalls.
type UDPLink struct {
	Address string
	Record  *Recorder

	stalled atomic.Bool
	device  net.PacketConn
	router  net.Conn
	last    atomic.Value // address of the device
}

// Start opens the link to a router's address.
func (l *UDPLink) Start(target string) (err error) {
	if l.device, err = net.ListenPacket("udp", "127.0.0.1:0"); err != nil {
		return err
	}
	if l.router, err = net.Dial("udp", target); err != nil {
		return err
	}
	l.Address = l.device.LocalAddr().String()
	go l.toRouter()
	go l.toDevice()
	return nil
}

// Stall begins or ends a stall.
func (l *UDPLink) Stall(stalled bool) {
	l.Record.Note("link: stalled=%v", stalled)
	l.stalled.Store(stalled)
}

// Close closes the link.
func (l *UDPLink) Close() {
	_ = l.device.Close()
	_ = l.router.Close()
}

func (l *UDPLink) toRouter() {
	buffer := make([]byte, 2048)
	for {
		n, from, err := l.device.ReadFrom(buffer)
		if err != nil {
			return
		}
		l.last.Store(from)
		if !l.stalled.Load() {
			_, _ = l.router.Write(buffer[:n])
		}
	}
}

func (l *UDPLink) toDevice() {
	buffer := make([]byte, 2048)
	for {
		n, err := l.router.Read(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			Sleep(10)
			continue
		}
		if to, ok := l.last.Load().(net.Addr); ok && !l.stalled.Load() {
			_, _ = l.device.WriteTo(buffer[:n], to)
		}
	}
}

// Device is a CoAP client with one socket. It sends confirmable requests, each with
// the router's last Echo value, and no Request-Tag.
type Device struct {
	Path string

	conn      net.Conn
	echo      []byte
	messageID uint16
	token     uint32
}

// Dial opens the socket to a link or a router.
func (d *Device) Dial(address string) (err error) {
	d.conn, err = net.Dial("udp", address)
	d.messageID = uint16(time.Now().UnixNano())
	return err
}

// Close closes the socket.
func (d *Device) Close() { _ = d.conn.Close() }

// NoBlock stands for a request that is not sent in blocks.
const NoBlock = -1

// ErrNoAnswer is returned for a request that got no answer in time.
var ErrNoAnswer = errors.New("no answer")

// Request sends a payload, or one block of it, and returns the answer. It repeats
// the message while there is none, and once more with a new Echo value if the
// router demands that.
func (d *Device) Request(payload []byte, block int, timeoutMs float64) (*message.Message, error) {
	until := NowMs() + timeoutMs
	for {
		answer, err := d.exchange(payload, block, until)
		if err != nil || answer.Code != codes.Unauthorized {
			return answer, err
		}
	}
}

// exchange sends one message until it is answered.
func (d *Device) exchange(payload []byte, block int, until float64) (*message.Message, error) {
	d.messageID++
	d.token++
	token := binary.BigEndian.AppendUint32(nil, d.token)
	m := message.Message{Type: message.Confirmable, Code: codes.POST, MessageID: int32(d.messageID),
		Token: token, Payload: payload}
	m.Options = m.Options.Add(message.Option{ID: message.URIPath, Value: []byte(d.Path)})
	if block != NoBlock {
		m.Options = m.Options.Add(message.Option{ID: message.Block1, Value: shortest(uint64(block))})
	}
	if d.echo != nil {
		m.Options = m.Options.Add(message.Option{ID: message.Echo, Value: d.echo})
	}
	datagram := make([]byte, len(payload)+128)
	n, err := coder.DefaultCoder.Encode(m, datagram)
	if err != nil {
		return nil, err
	}
	for acked := false; NowMs() < until; {
		if !acked {
			_, _ = d.conn.Write(datagram[:n])
		}
		answer, ackedNow := d.receive(token, min(until, NowMs()+2000))
		if answer != nil {
			return answer, nil
		}
		acked = acked || ackedNow
	}
	return nil, ErrNoAnswer
}

// receive waits for the answer with a token.
func (d *Device) receive(token []byte, until float64) (answer *message.Message, acked bool) {
	buffer := make([]byte, 2048)
	for NowMs() < until {
		_ = d.conn.SetReadDeadline(time.UnixMilli(int64(until)))
		n, err := d.conn.Read(buffer)
		if err != nil {
			Sleep(1)
			continue
		}
		m := &message.Message{Options: make(message.Options, 0, 32)}
		if _, err := coder.DefaultCoder.Decode(buffer[:n], m); err != nil {
			continue
		}
		if m.Type == message.Confirmable { // a separate response is acknowledged
			_, _ = d.conn.Write([]byte{0x60, 0, byte(m.MessageID >> 8), byte(m.MessageID)})
		}
		if m.Code == codes.Empty {
			acked = acked || m.MessageID == int32(d.messageID)
			continue
		}
		if string(m.Token) != string(token) {
			continue
		}
		if echo, err := m.Options.GetBytes(message.Echo); err == nil {
			d.echo = append([]byte(nil), echo...)
		}
		m.Payload = append([]byte(nil), m.Payload...)
		return m, acked
	}
	return nil, acked
}

// shortest encodes an option's number without leading zero bytes.
func shortest(value uint64) []byte {
	b := binary.BigEndian.AppendUint64(nil, value)
	for len(b) > 0 && b[0] == 0 {
		b = b[1:]
	}
	return b
}
