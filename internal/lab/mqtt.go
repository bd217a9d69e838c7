package lab

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"time"

	"github.com/mochi-mqtt/server/v2/packets"

	"lotusbend/internal/edge/batch"
	"lotusbend/internal/edge/intake"
	"lotusbend/internal/edge/mqtt"
)

// deviceAnswerTimeout limits a device's TCP connect and its wait for an answer over
// MQTT or frames.
const deviceAnswerTimeout = 6 * time.Second

// errDisconnected is returned when the router sends an MQTT DISCONNECT or a bye frame.
var errDisconnected = errors.New("lab: the router closed the connection")

// mqttMinFailureCode is the smallest reason code that reports a failure.
const mqttMinFailureCode = 0x80

// mqttDevice is a client of MQTT 3.1.1 or 5 that publishes with QoS 1 or 2.
type mqttDevice struct {
	device      *device
	conn        net.Conn
	in          *bufio.Reader
	version     byte // protocol level: 4 for 3.1.1, 5 for 5
	qos         byte
	packetID    uint16
	connectedAt time.Time
}

func dialMQTT(ctx context.Context, d *device, address string) (transport, error) {
	conn, err := net.DialTimeout("tcp", address, deviceAnswerTimeout)
	if err != nil {
		return nil, err
	}
	t := &mqttDevice{
		device:   d,
		conn:     conn,
		in:       bufio.NewReader(conn),
		version:  4 + byte(d.number%2),
		qos:      1 + byte(d.number/2%2),
		packetID: uint16(d.rand.Uint32()),
	}
	if err := t.connect(ctx); err != nil {
		t.close()
		return nil, err
	}
	return t, nil
}

// connect sends CONNECT and waits for CONNACK.
func (t *mqttDevice) connect(ctx context.Context) error {
	connect := packets.Packet{
		FixedHeader:     packets.FixedHeader{Type: packets.Connect},
		ProtocolVersion: t.version,
		Connect: packets.ConnectParams{
			ProtocolName:     []byte("MQTT"),
			ClientIdentifier: t.device.name,
			Keepalive:        20,
		},
	}
	if t.version == 5 {
		connect.Properties.SessionExpiryInterval = 600
		connect.Properties.SessionExpiryIntervalFlag = true
	}
	if err := t.write(&connect); err != nil {
		return err
	}
	answer, err := t.readPacket(ctx)
	if err != nil {
		return err
	}
	if answer.FixedHeader.Type != packets.Connack || answer.ReasonCode != 0 {
		return fmt.Errorf("CONNECT answered by packet type %d with reason code %d, want CONNACK with 0",
			answer.FixedHeader.Type, answer.ReasonCode)
	}
	t.connectedAt = time.Now()
	return nil
}

func (t *mqttDevice) close() { _ = t.conn.Close() }

func (t *mqttDevice) elapsed() *float64 { return millisecondsSince(t.connectedAt) }

func (t *mqttDevice) write(packet *packets.Packet) error {
	_, err := t.conn.Write(mqtt.Encode(packet))
	return err
}

// readPacket reads and decodes one packet. It returns errDisconnected for a DISCONNECT,
// and errDrillEnded once ctx is done.
func (t *mqttDevice) readPacket(ctx context.Context) (packet packets.Packet, err error) {
	if err := t.conn.SetReadDeadline(time.Now().Add(deviceAnswerTimeout)); err != nil {
		return packet, err
	}
	first, err := t.in.ReadByte()
	if err != nil {
		return packet, err
	}
	size, _, err := packets.DecodeLength(t.in)
	if err != nil {
		return packet, err
	}
	body := make([]byte, size)
	if _, err := io.ReadFull(t.in, body); err != nil {
		return packet, err
	}
	if ctx.Err() != nil {
		return packet, errDrillEnded
	}
	packet.ProtocolVersion = t.version
	if err := packet.FixedHeader.Decode(first); err != nil {
		return packet, err
	}
	packet.FixedHeader.Remaining = size
	switch packet.FixedHeader.Type {
	case packets.Connack:
		err = packet.ConnackDecode(body)
	case packets.Puback:
		err = packet.PubackDecode(body)
	case packets.Pubrec:
		err = packet.PubrecDecode(body)
	case packets.Pubcomp:
		err = packet.PubcompDecode(body)
	case packets.Disconnect:
		err = errDisconnected
	}
	return packet, err
}

// awaitPacket reads packets until one of the given type for the current packet
// identifier arrives.
func (t *mqttDevice) awaitPacket(ctx context.Context, packetType byte) (packets.Packet, error) {
	for {
		packet, err := t.readPacket(ctx)
		if err != nil {
			return packet, err
		}
		if packet.FixedHeader.Type == packetType && packet.PacketID == t.packetID {
			return packet, nil
		}
	}
}

func (t *mqttDevice) exchange(ctx context.Context, b *batch.Batch, again bool) ([]batch.Result, bool, error) {
	t.packetID++
	if t.packetID == 0 { // 0 is not a valid packet identifier
		t.packetID = 1
	}
	publish := packets.Packet{
		FixedHeader:     packets.FixedHeader{Type: packets.Publish, Qos: t.qos, Dup: again},
		ProtocolVersion: t.version,
		TopicName:       "readings",
		PacketID:        t.packetID,
		Payload:         t.device.codec.Encode(b),
	}
	if err := t.write(&publish); err != nil {
		return nil, true, err
	}
	answerType := byte(packets.Puback)
	if t.qos == 2 {
		answerType = packets.Pubrec
	}
	answer, err := t.awaitPacket(ctx, answerType)
	if err != nil {
		return nil, true, err
	}
	results := publishResults(b, &answer)
	if t.qos == 2 && answer.ReasonCode < mqttMinFailureCode {
		err = t.completeQoS2(ctx)
	}
	return results, true, err
}

// publishResults returns the results of the readings: all recorded, which is the zero
// status, after a success; otherwise those in the user properties of the answer, or
// unknown.
func publishResults(b *batch.Batch, answer *packets.Packet) []batch.Result {
	results := make([]batch.Result, len(b.Readings))
	for i, reading := range b.Readings {
		results[i].Seq = reading.Seq
		if answer.ReasonCode < mqttMinFailureCode {
			continue
		}
		results[i].Status = uint8(intake.Unknown)
		if i < len(answer.Properties.User) {
			results[i] = parseResult(answer.Properties.User[i].Val, results[i])
		}
	}
	return results
}

// completeQoS2 sends PUBREL and waits for PUBCOMP.
func (t *mqttDevice) completeQoS2(ctx context.Context) error {
	release := packets.Packet{
		FixedHeader:     packets.FixedHeader{Type: packets.Pubrel, Qos: 1},
		ProtocolVersion: t.version,
		PacketID:        t.packetID,
	}
	if err := t.write(&release); err != nil {
		return err
	}
	_, err := t.awaitPacket(ctx, packets.Pubcomp)
	return err
}

// parseResult parses a reading's result in a user property of MQTT 5. The result has the
// status of fallback if the status is not known, and the status and wait of fallback if
// the property is malformed.
func parseResult(property string, fallback batch.Result) batch.Result {
	result := fallback
	var status string
	if _, err := fmt.Sscanf(property, "%d %s %d", &result.Seq, &status, &result.Wait); err != nil {
		return result
	}
	for known := intake.Recorded; known <= intake.Invalid; known++ {
		if strings.EqualFold(known.String(), status) {
			result.Status = uint8(known)
		}
	}
	return result
}
