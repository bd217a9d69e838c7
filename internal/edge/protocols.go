package edge

import (
	"net/netip"

	"lotusbend/internal/edge/batch"
	"lotusbend/internal/edge/intake"
	"lotusbend/internal/slotmap"
)

type protocol uint8

const (
	protocolCoAP protocol = iota
	protocolMQTT
	protocolFrames
)

// mqttOut implements mqtt.Actions for an Edge.
type mqttOut Edge

// Send implements mqtt.Actions.
func (o *mqttOut) Send(id uint64, packet []byte) { (*Edge)(o).send(id, packet) }

// Close implements mqtt.Actions.
func (o *mqttOut) Close(id uint64) { (*Edge)(o).closeAfterSending(id) }

// Deliver implements mqtt.Actions.
func (o *mqttOut) Deliver(
	token, id uint64, topic string, payload []byte, connectedAt float64, retransmitted bool,
) {
	e := (*Edge)(o)
	decoded, err := e.codec.DecodeBatch(payload)
	conn := e.connections.Get(slotmap.FromID(id))
	if err != nil || conn == nil {
		e.loop.Post(func() { e.answerInvalid(protocolMQTT, token, false) })
		return
	}
	var notBefore float64
	if decoded.Elapsed != nil {
		notBefore = intake.SentAfter(connectedAt, *decoded.Elapsed)
	}
	e.deliver(delivery{
		protocol:      protocolMQTT,
		token:         token,
		match:         topic,
		batch:         decoded,
		notBefore:     notBefore,
		retransmitted: retransmitted,
		from:          conn.peer,
	})
}

// framesOut implements frames.Actions for an Edge.
type framesOut Edge

// Send implements frames.Actions.
func (o *framesOut) Send(id uint64, frame []byte) { (*Edge)(o).send(id, frame) }

// Close implements frames.Actions.
func (o *framesOut) Close(id uint64) { (*Edge)(o).closeAfterSending(id) }

// Deliver implements frames.Actions.
func (o *framesOut) Deliver(token, id uint64, match string, decoded *batch.Batch, notBefore float64) {
	e := (*Edge)(o)
	var peer netip.Addr
	if conn := e.connections.Get(slotmap.FromID(id)); conn != nil {
		peer = conn.peer
	}
	e.deliver(delivery{
		protocol:  protocolFrames,
		token:     token,
		match:     match,
		batch:     decoded,
		notBefore: notBefore,
		from:      peer,
	})
}

// Read implements frames.Actions.
func (o *framesOut) Read(token, _ uint64, match, row string) {
	(*Edge)(o).startRead(protocolFrames, token, match, row)
}

// Known implements frames.Actions.
func (o *framesOut) Known(device string, epoch uint64) []uint64 {
	return o.intake.Known(device, epoch)
}

// coapOut implements coap.Actions for an Edge.
type coapOut Edge

// Send implements coap.Actions.
func (o *coapOut) Send(to netip.AddrPort, payload []byte) { o.udp.send(to, payload) }

// Deliver implements coap.Actions.
func (o *coapOut) Deliver(token uint64, from netip.AddrPort, path string, payload []byte, notBefore float64) {
	e := (*Edge)(o)
	decoded, err := e.codec.DecodeBatch(payload)
	if err != nil {
		e.loop.Post(func() { e.answerInvalid(protocolCoAP, token, false) })
		return
	}
	e.deliver(delivery{
		protocol:  protocolCoAP,
		token:     token,
		match:     path,
		batch:     decoded,
		notBefore: notBefore,
		from:      from.Addr(),
	})
}

// Read implements coap.Actions.
func (o *coapOut) Read(token uint64, _ netip.AddrPort, path, row string) {
	(*Edge)(o).startRead(protocolCoAP, token, path, row)
}
