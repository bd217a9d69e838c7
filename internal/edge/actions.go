package edge

import (
	"bytes"
	"encoding/hex"
	"math"
	"net/netip"
	"strconv"

	"github.com/plgd-dev/go-coap/v3/message/codes"

	"lotusbend/internal/edge/batch"
	"lotusbend/internal/edge/intake"
	"lotusbend/internal/router"
	"lotusbend/internal/slotmap"
)

// actions is the Edge as the rules of intake see it. Nothing here calls back
// into them: what must come back at once is posted.
type actions Edge

// Answer implements intake.Actions.
func (a *actions) Answer(to intake.Origin, ans intake.Answer) {
	e := (*Edge)(a)
	ref := slotmap.FromID(to.Peer)
	m := e.messages.Get(ref)
	if m == nil || int(to.Index) >= len(m.results) {
		return
	}
	r := &m.results[to.Index]
	r.Status, r.Wait = uint8(ans.Status), uint32(math.Ceil(ans.RetryAfter))
	if m.left--; m.left == 0 {
		e.loop.Post(func() { e.finish(ref) })
	}
}

// Persist implements intake.Actions.
func (a *actions) Persist(r *intake.Reading) {
	e, id := (*Edge)(a), r.ID
	e.store.Put(r, func(err error) {
		if err != nil {
			e.log.Warn("a reading was not stored", "device", id.Device, "error", err)
		}
		e.loop.Do(func() {
			e.intake.Persisted(e.loop.Now(), id, err == nil)
			e.arm()
		})
	})
}

// Forget implements intake.Actions.
func (a *actions) Delete(id intake.ID) { a.store.Delete(id) }

// Quarantine implements intake.Actions.
func (a *actions) Quarantine(r *intake.Reading) {
	a.log.Error("another value is recorded under a stored reading's identity; it is kept aside",
		"device", r.Device, "epoch", r.Epoch, "seq", r.Seq)
	a.store.Quarantine(r)
}

// job is a statement that the router works on.
type job struct {
	number uint64 // in the rules, 0 for a read
	read   *read
}

// read is a device's request for a value.
type read struct {
	proto protocol
	token uint64
}

// Submit implements intake.Actions.
func (a *actions) Submit(id intake.ID, n uint64, w intake.Operation, r *intake.Reading, group int, wait float64) {
	e := (*Edge)(a)
	rt := &e.routes[e.routeOf(r.Route)]
	class, name := rt.write, rt.Write
	var text []byte
	if w == intake.Write {
		text = append(append(append(text, "INSERT INTO "...), rt.Table...), " (id, doc) VALUES ('"...)
		text = append(append(text, id.Row()...), `', '\x`...)
		text = hex.AppendEncode(text, r.Value)
		text = append(text, "') RETURNING doc"...)
	} else {
		class, name = rt.check, rt.Check
		// A row that is not there answers with an empty value: no reading is empty.
		text = append(append(append(text, "SELECT coalesce((SELECT doc FROM "...), rt.Table...), " WHERE id = '"...)
		text = append(append(text, id.Row()...), `'), '\x') AS doc`...)
	}
	key := ""
	if w == intake.Write {
		key = id.Key()
	}
	e.submit(&job{number: n}, class, name, text, key, group, wait)
}

// routeOf finds a route by its number in the rules.
func (e *Edge) routeOf(number int) int {
	for i := range e.routes {
		if e.routes[i].intake == number {
			return i
		}
	}
	return 0
}

// submit gives a statement its comment and hands it to the router.
func (e *Edge) submit(j *job, class router.Class, name string, text []byte, key string, group int, wait float64) {
	e.serial++
	text = append(text, " /* id="...)
	text = appendHex(appendHex(text, e.boot), e.serial)
	text = append(append(append(text, ",c="...), name...), ",d="...)
	from := len(text)
	text = strconv.AppendInt(text, int64(wait), 10)
	to := len(text)
	if key != "" {
		text = append(append(text, ",k="...), key...)
	}
	text = strconv.AppendInt(append(text, ",cluster="...), int64(group), 10)
	text = append(text, " */"...)
	e.requests.Submit(router.Request{
		Statement: router.Statement{Text: text, WaitFrom: from, WaitTo: to},
		Class:     class.Number, Group: group, TimeLeft: wait,
	}, e, e.jobs.Add(j))
}

func appendHex(b []byte, n uint64) []byte {
	const width = 16
	s := strconv.AppendUint(make([]byte, 0, width), n, 16)
	return append(append(b, "0000000000000000"[:width-len(s)]...), s...)
}

// Answer implements router.Client. It may come from within Submit, so that
// the rules hear of it after the event at hand.
func (e *Edge) Answer(ref slotmap.Handle, a router.Answer) {
	j := e.jobs.Get(ref)
	if j == nil {
		return
	}
	e.jobs.Remove(ref)
	var value []byte
	served := a.Verdict == router.Served
	if served {
		value, served = document(a.Row) // it dies after this call
	}
	refused, wait := a.Verdict == router.Rejected, a.RetryAfter
	e.loop.Post(func() {
		now := e.loop.Now()
		switch {
		case j.read != nil:
			e.value(j.read, served, refused, wait, value)
		case served:
			e.intake.Served(now, j.number, value)
		case refused:
			e.intake.Rejected(now, j.number, wait)
		default:
			e.intake.Failed(now, j.number)
		}
		e.arm()
	})
}

// document reads a row's value: bytes as they are, or as PostgreSQL writes
// them in text.
func document(row *router.Row) (value []byte, ok bool) {
	if row.Binary {
		return append([]byte{}, row.Value...), true
	}
	digits, isHex := bytes.CutPrefix(row.Value, []byte(`\x`))
	if !isHex {
		return append([]byte{}, row.Value...), true
	}
	value, err := hex.DecodeString(string(digits))
	return value, err == nil
}

// read asks for the value that a path names.
func (e *Edge) read(proto protocol, token uint64, match, arg string) {
	at, ok := e.byMatch[match]
	if !ok || e.routes[at].Read == "" || !plain(arg) {
		e.loop.Post(func() { e.answerRead(proto, token, intake.Invalid, 0, nil) })
		return
	}
	if e.reads >= maxReads || e.stopping {
		e.loop.Post(func() { e.answerRead(proto, token, intake.Rejected, e.opt.Intake.MinRetryAfter, nil) })
		return
	}
	e.reads++
	rt := &e.routes[at]
	text := append([]byte("SELECT doc FROM "), rt.Table...)
	text = append(append(append(text, " WHERE id = '"...), arg...), '\'')
	group := rt.Groups[0]
	if len(rt.Groups) > 1 {
		group = intake.GroupOf(rt.Groups, arg)
	}
	e.submit(&job{read: &read{proto, token}}, rt.read, rt.Read, text, "", group, e.opt.Intake.CheckTimeout)
}

// plain tells whether s may stand in a statement.
func plain(s string) bool {
	for _, c := range s {
		if (c < 'a' || c > 'z') && (c < 'A' || c > 'Z') && (c < '0' || c > '9') && c != '-' && c != '_' {
			return false
		}
	}
	return len(s) > 0 && len(s) <= 64
}

// value ends a read.
func (e *Edge) value(r *read, served, refused bool, wait float64, value []byte) {
	e.reads--
	switch {
	case served:
		e.answerRead(r.proto, r.token, intake.Recorded, 0, value)
	case refused:
		e.answerRead(r.proto, r.token, intake.Rejected, max(wait, e.opt.Intake.MinRetryAfter), nil)
	default:
		e.answerRead(r.proto, r.token, intake.Unknown, e.opt.Intake.MinRetryAfter, nil)
	}
}

func (e *Edge) answerRead(proto protocol, token uint64, s intake.Status, wait float64, value []byte) {
	now := e.loop.Now()
	if proto == protoFrames {
		e.frames.Value(token, s, wait, value)
		return
	}
	code := codes.Content
	switch {
	case s == intake.Invalid:
		code = codes.NotFound
	case s != intake.Recorded:
		code = codes.ServiceUnavailable
	case len(value) > maxCoAPValue:
		code, value = codes.NotImplemented, nil // its answer would need blocks
	}
	e.coap.Answer(now, token, code, value, wait)
}

// maxCoAPValue is the longest value that one datagram carries.
const maxCoAPValue = 1024

// invalid answers a message that goes nowhere.
func (e *Edge) invalid(proto protocol, token uint64, unknown bool) {
	now := e.loop.Now()
	switch proto {
	case protoCoAP:
		code := codes.BadRequest
		if unknown {
			code = codes.NotFound
		}
		e.coap.Answer(now, token, code, nil, 0)
	case protoMQTT:
		e.mqtt.Answer(now, token, nil, false)
	case protoFrames:
		e.frames.Answer(now, token, []batch.Result{{Status: uint8(intake.Invalid)}})
	}
	e.arm()
}

// coapCode gives a message's response code: 2.04 with each reading's answer
// where any went well, else the code of the mildest.
func coapCode(results []batch.Result) (code codes.Code, maxAge float64) {
	var refused, conflict bool
	for _, r := range results {
		switch s := intake.Status(r.Status); {
		case s.Done():
			return codes.Changed, 0
		case s == intake.Rejected, s == intake.Unknown:
			refused = true
			maxAge = max(maxAge, float64(r.Wait))
		case s == intake.Conflict:
			conflict = true
		}
	}
	switch {
	case refused:
		return codes.ServiceUnavailable, maxAge
	case conflict:
		return codes.Conflict, 0
	}
	return codes.BadRequest, 0
}

// The protocols' sides.

type mqttOut Edge

// Send implements mqtt.Out.
func (o *mqttOut) Send(id uint64, b []byte) { (*Edge)(o).send(id, b) }

// Close implements mqtt.Out.
func (o *mqttOut) Close(id uint64) { (*Edge)(o).closeAfter(id) }

// Deliver implements mqtt.Out.
func (o *mqttOut) Deliver(token, id uint64, topic string, payload []byte, greeted float64, again bool) {
	e := (*Edge)(o)
	b, err := e.codec.DecodeBatch(payload)
	c := e.conns.Get(slotmap.FromID(id))
	if err != nil || c == nil {
		e.loop.Post(func() { e.invalid(protoMQTT, token, false) })
		return
	}
	var notBefore float64
	if b.Elapsed != nil {
		notBefore = intake.SentAfter(greeted, *b.Elapsed)
	}
	e.deliver(protoMQTT, token, topic, b, notBefore, again, c.peer)
}

type framesOut Edge

// Send implements frames.Out.
func (o *framesOut) Send(id uint64, b []byte) { (*Edge)(o).send(id, b) }

// Close implements frames.Out.
func (o *framesOut) Close(id uint64) { (*Edge)(o).closeAfter(id) }

// Deliver implements frames.Out.
func (o *framesOut) Deliver(token, id uint64, match string, b *batch.Batch, notBefore float64) {
	e := (*Edge)(o)
	var peer netip.Addr
	if c := e.conns.Get(slotmap.FromID(id)); c != nil {
		peer = c.peer
	}
	e.deliver(protoFrames, token, match, b, notBefore, false, peer)
}

// Read implements frames.Out.
func (o *framesOut) Read(token, _ uint64, match, arg string) {
	(*Edge)(o).read(protoFrames, token, match, arg)
}

// Known implements frames.Out.
func (o *framesOut) Known(device string, epoch uint64) []uint64 {
	return o.intake.Known(device, epoch)
}

type coapOut Edge

// Send implements coap.Out.
func (o *coapOut) Send(to netip.AddrPort, b []byte) { o.udp.send(to, b) }

// Deliver implements coap.Out.
func (o *coapOut) Deliver(token uint64, from netip.AddrPort, path string, payload []byte, notBefore float64) {
	e := (*Edge)(o)
	b, err := e.codec.DecodeBatch(payload)
	if err != nil {
		e.loop.Post(func() { e.invalid(protoCoAP, token, false) })
		return
	}
	e.deliver(protoCoAP, token, path, b, notBefore, false, from.Addr())
}

// Read implements coap.Out.
func (o *coapOut) Read(token uint64, _ netip.AddrPort, path, arg string) {
	(*Edge)(o).read(protoCoAP, token, path, arg)
}
