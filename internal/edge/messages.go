package edge

import (
	"net/netip"

	"github.com/plgd-dev/go-coap/v3/message/codes"

	"lotusbend/internal/edge/batch"
	"lotusbend/internal/edge/intake"
	"lotusbend/internal/slotmap"
)

// pendingMessage is a message with readings that do not all have their answers.
type pendingMessage struct {
	protocol   protocol
	token      uint64         // identifies the message to the protocol's server
	results    []batch.Result // in the order of the readings
	unanswered int            // results that are not known yet
}

// delivery is a decoded message from a protocol's server.
type delivery struct {
	protocol      protocol
	token         uint64
	match         string // selects the route
	batch         *batch.Batch
	notBefore     float64 // when the message was sent at the earliest, Unix milliseconds; 0 if unknown
	retransmitted bool    // the sender declares an earlier copy
	from          netip.Addr
}

// deliver offers each reading of a message to intake. The protocol's server gets
// all answers together, with the token. Call it inside Do.
func (e *Edge) deliver(d delivery) {
	index, known := e.routeByMatch[d.match]
	if !known || e.routes[index].intakeIndex < 0 {
		e.loop.Post(func() { e.answerInvalid(d.protocol, d.token, !known) })
		return
	}
	message := &pendingMessage{
		protocol:   d.protocol,
		token:      d.token,
		results:    make([]batch.Result, len(d.batch.Readings)),
		unanswered: len(d.batch.Readings),
	}
	handle := e.messages.Add(message)
	network := networkOf(d.from)
	now := e.loop.Now()
	for i := range d.batch.Readings {
		reading := &d.batch.Readings[i]
		message.results[i].Seq = reading.Seq
		origin := intake.Origin{Peer: handle.ID(), Index: uint16(i)}
		if e.draining {
			rejection := intake.Answer{Status: intake.Rejected, RetryAfter: e.options.Intake.MinRetryAfter}
			(*intakeActions)(e).Answer(origin, rejection)
			continue
		}
		offered := intake.Reading{
			ID:     intake.ID{Device: d.batch.Device, Epoch: d.batch.Epoch, Seq: reading.Seq},
			Route:  e.routes[index].intakeIndex,
			Value:  reading.Value,
			Urgent: reading.Urgent,
		}
		declared := intake.DeclaredHistory{
			FirstCopy: reading.Sent == 0 && !d.retransmitted,
			NotBefore: d.notBefore,
		}
		e.intake.Offer(now, offered, declared, origin, network)
	}
}

// The prefix lengths, in bits, that are usually assigned to one site.
const (
	ipv4NetworkBits = 24
	ipv6NetworkBits = 48
)

// networkOf returns the network that an address belongs to, or the zero Prefix
// for the zero Addr.
func networkOf(address netip.Addr) netip.Prefix {
	address = address.Unmap()
	bits := ipv4NetworkBits
	if address.Is6() {
		bits = ipv6NetworkBits
	}
	prefix, _ := address.Prefix(bits) // fails only for the zero Addr
	return prefix
}

// answerMessage passes the answers to a message to its protocol's server, unless
// some are still missing.
func (e *Edge) answerMessage(handle slotmap.Handle) {
	message := e.messages.Get(handle)
	if message == nil || message.unanswered > 0 {
		return
	}
	e.messages.Remove(handle)
	now := e.loop.Now()
	switch message.protocol {
	case protocolCoAP:
		code, maxAgeMs := responseCode(message.results)
		reply := e.codec.Encode(batch.Reply{Results: message.results})
		e.coap.Answer(now, message.token, code, reply, maxAgeMs)
	case protocolMQTT:
		e.mqtt.Answer(message.token, message.results, true)
	case protocolFrames:
		e.frames.Answer(now, message.token, message.results)
	}
	e.armTimer()
}

// answerInvalid answers a message that cannot be decoded or has no route for
// readings; unknownRoute is true if it has no route at all.
func (e *Edge) answerInvalid(proto protocol, token uint64, unknownRoute bool) {
	now := e.loop.Now()
	switch proto {
	case protocolCoAP:
		code := codes.BadRequest
		if unknownRoute {
			code = codes.NotFound
		}
		e.coap.Answer(now, token, code, nil, 0)
	case protocolMQTT:
		e.mqtt.Answer(token, nil, false)
	case protocolFrames:
		e.frames.Answer(now, token, []batch.Result{{Status: uint8(intake.Invalid)}})
	}
	e.armTimer()
}

// responseCode returns the CoAP response code for a message: 2.04 if any reading
// is recorded or stored, else 5.03 if a retry of any may succeed, else 4.09 if
// any conflicts, else 4.00. maxAgeMs is set for 5.03.
func responseCode(results []batch.Result) (code codes.Code, maxAgeMs float64) {
	retry := false
	conflict := false
	for _, result := range results {
		status := intake.Status(result.Status)
		switch {
		case status.Done():
			return codes.Changed, 0
		case status == intake.Rejected, status == intake.Unknown:
			retry = true
			maxAgeMs = max(maxAgeMs, float64(result.Wait))
		case status == intake.Conflict:
			conflict = true
		}
	}
	switch {
	case retry:
		return codes.ServiceUnavailable, maxAgeMs
	case conflict:
		return codes.Conflict, 0
	}
	return codes.BadRequest, 0
}
