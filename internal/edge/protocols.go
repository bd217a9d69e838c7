package edge

import (
	"net/netip"

	"lotusbend/internal/edge/batch"
	"lotusbend/internal/edge/intake"
	"lotusbend/internal/slotmap"
)

// protocol identifies one of the protocols that devices use.
type protocol uint8

const (
	protocolCoAP protocol = iota
	protocolMQTT
	protocolFrames
)

// mqttActions implements mqtt.Actions for an Edge.
type mqttActions Edge

// Send implements mqtt.Actions.
func (a *mqttActions) Send(id uint64, packet []byte) { (*Edge)(a).send(id, packet) }

// Close implements mqtt.Actions.
func (a *mqttActions) Close(id uint64) { (*Edge)(a).closeAfterSending(id) }

// Deliver implements mqtt.Actions.
func (a *mqttActions) Deliver(
	token, id uint64, topic string, payload []byte, connectedAt float64, retransmitted bool,
) {
	e := (*Edge)(a)
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

// framesActions implements frames.Actions for an Edge.
type framesActions Edge

// Send implements frames.Actions.
func (a *framesActions) Send(id uint64, frame []byte) { (*Edge)(a).send(id, frame) }

// Close implements frames.Actions.
func (a *framesActions) Close(id uint64) { (*Edge)(a).closeAfterSending(id) }

// Deliver implements frames.Actions.
func (a *framesActions) Deliver(token, id uint64, match string, decoded *batch.Batch, notBefore float64) {
	e := (*Edge)(a)
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
func (a *framesActions) Read(token, _ uint64, match, row string) {
	(*Edge)(a).startRead(protocolFrames, token, match, row)
}

// RecordedSequences implements frames.Actions.
func (a *framesActions) RecordedSequences(device string, epoch uint64) []uint64 {
	return a.intake.RecordedSequences(device, epoch)
}

// coapActions implements coap.Actions for an Edge.
type coapActions Edge

// Send implements coap.Actions.
func (a *coapActions) Send(to netip.AddrPort, payload []byte) { a.udp.send(to, payload) }

// Deliver implements coap.Actions.
func (a *coapActions) Deliver(
	token uint64, from netip.AddrPort, path string, payload []byte, notBefore float64,
) {
	e := (*Edge)(a)
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
func (a *coapActions) Read(token uint64, _ netip.AddrPort, path, row string) {
	(*Edge)(a).startRead(protocolCoAP, token, path, row)
}
