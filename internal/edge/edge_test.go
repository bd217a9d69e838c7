package edge

import (
	"bytes"
	"context"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	paho "github.com/eclipse/paho.mqtt.golang"
	coapmessage "github.com/plgd-dev/go-coap/v3/message"
	"github.com/plgd-dev/go-coap/v3/message/codes"
	"github.com/plgd-dev/go-coap/v3/options"
	"github.com/plgd-dev/go-coap/v3/udp"

	"lotusbend/internal/clock"
	"lotusbend/internal/edge/batch"
	"lotusbend/internal/edge/frames"
	"lotusbend/internal/edge/intake"
	"lotusbend/internal/netio"
	edgeoptions "lotusbend/internal/operatorconfig"
	"lotusbend/internal/postgres/wire"
	"lotusbend/internal/router"
	"lotusbend/internal/slotmap"
)

// rows stands in for the router and all behind it: a table in memory.
type rows struct {
	mu    sync.Mutex
	rows  map[string][]byte
	keys  map[string]int
	texts []string
	hold  bool // answers nothing
}

func (r *rows) Class(name []byte) (router.Class, bool) {
	switch string(name) {
	case "ledger-write":
		return router.Class{Number: 2, Write: true, NeedsIdempotencyKey: true, IdempotencyWindow: 5000}, true
	case "invoice-check":
		return router.Class{Number: 1, Fresh: true}, true
	case "park-view":
		return router.Class{}, true
	}
	return router.Class{}, false
}

func (r *rows) Submit(q router.Request, from router.Client, client slotmap.Handle) slotmap.Handle {
	r.mu.Lock()
	defer r.mu.Unlock()
	text := string(q.Statement.Text)
	r.texts = append(r.texts, text)
	s, err := wire.ParseStatement(q.Statement.Text)
	if err != nil || s.Group != q.Group || s.WaitFrom != q.Statement.WaitFrom || s.WaitTo != q.Statement.WaitTo || r.hold {
		if !r.hold {
			from.Answer(client, router.Answer{Verdict: router.Failed})
		}
		return slotmap.Handle{}
	}
	row := string(s.RowKey)
	if strings.HasPrefix(text, "INSERT") {
		_, rest, _ := strings.Cut(text, `\x`)
		digits, _, _ := strings.Cut(rest, "'")
		value, err := hex.DecodeString(digits)
		if err != nil || !s.HasIdempotencyKey {
			from.Answer(client, router.Answer{Verdict: router.Failed})
			return slotmap.Handle{}
		}
		r.rows[row] = value
		r.keys[text[strings.Index(text, ",k="):]]++
	}
	from.Answer(client, router.Answer{Verdict: router.Served, Row: &router.Row{Binary: true, Value: r.rows[row]}})
	return slotmap.Handle{}
}

// asked returns how many statements came.
func (r *rows) asked() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.texts)
}

func (r *rows) count() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.rows)
}

// world is an edge on loopback at a clock that stands still until it is set.
type world struct {
	t     testing.TB
	clock *clock.Clock
	loop  *clock.Loop
	edge  *Edge
	rows  *rows
	codec *batch.Codec
}

func newWorld(t testing.TB, change func(*edgeoptions.Edge)) *world {
	t.Helper()
	o, err := edgeoptions.Parse("test", []byte(`{"edge": {"coap": "127.0.0.1:0", "mqtt": "127.0.0.1:0", "frames": "127.0.0.1:0", "connections": 20000, "routes": [
		{"match": "readings", "groups": [1, 2], "write": "ledger-write", "check": "invoice-check"},
		{"match": "values", "groups": [1], "read": "park-view"}]}}`))
	if err != nil {
		t.Fatal(err)
	}
	if change != nil {
		change(o.Edge)
	}
	w := &world{t: t, clock: clock.Manual(1767225600000), rows: &rows{rows: map[string][]byte{}, keys: map[string]int{}}, codec: batch.NewCodec()}
	w.loop = clock.NewLoop(w.clock)
	if w.edge, err = New(o.Edge, w.loop, slog.New(slog.NewTextHandler(io.Discard, nil)), netio.NewDescriptorBudget(100000), w.rows, 1); err != nil {
		t.Fatal(err)
	}
	w.edge.Start()
	t.Cleanup(func() { _ = w.edge.Close() })
	return w
}

// pass sets the clock forward, deadline by deadline.
func (w *world) pass(ms float64) {
	end := w.clock.Now() + ms
	for at, ok := w.loop.Next(); ok && at <= end; at, ok = w.loop.Next() {
		w.clock.Set(max(at, w.clock.Now()))
		w.loop.Fire()
	}
	w.clock.Set(end)
}

// until waits for what the edge's state must come to.
func (w *world) until(what string, holds func() bool) {
	w.t.Helper()
	for end := time.Now().Add(20 * time.Second); ; runtime.Gosched() {
		ok := false
		w.loop.Do(func() { ok = holds() })
		if ok {
			return
		}
		if time.Now().After(end) {
			w.t.Fatalf("never came: %s", what)
		}
	}
}

func (w *world) batch(device string, seqs ...uint64) []byte {
	b := &batch.Batch{Device: device, Epoch: 1}
	for _, s := range seqs {
		b.Readings = append(b.Readings, batch.Reading{Seq: s, Value: fmt.Appendf(nil, "%s %d", device, s)})
	}
	return w.codec.Encode(b)
}

// go-coap's client: it is asked for an Echo value, sends that, and each
// reading is answered for itself; a repeat records nothing more.
func TestARealCoAPClient(t *testing.T) {
	w := newWorld(t, nil)
	address, _, _ := w.edge.Addresses()
	c, err := udp.Dial(address, options.WithContext(t.Context()))
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	payload := w.batch("meter", 1, 2)
	post := func(echo []byte) (codes.Code, []byte, *batch.Reply) {
		t.Helper()
		var more []coapmessage.Option
		if echo != nil {
			more = append(more, coapmessage.Option{ID: coapmessage.Echo, Value: echo})
		}
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		m, err := c.Post(ctx, "/readings", coapmessage.AppCBOR, bytes.NewReader(payload), more...)
		if err != nil {
			t.Fatal(err)
		}
		body, err := m.ReadBody()
		if err != nil {
			t.Fatal(err)
		}
		fresh, err := m.Options().GetBytes(coapmessage.Echo)
		if err != nil {
			t.Fatal(err)
		}
		reply := &batch.Reply{}
		if len(body) > 0 {
			if err := w.codec.Decode(body, reply); err != nil {
				t.Fatal(err)
			}
		}
		return m.Code(), fresh, reply
	}
	code, echo, _ := post(nil)
	if code != codes.Unauthorized || w.rows.count() != 0 {
		t.Fatalf("%v without an Echo value, %d recorded", code, w.rows.count())
	}
	for range 3 {
		var reply *batch.Reply
		if code, echo, reply = post(echo); code != codes.Changed || len(reply.Results) != 2 || reply.Results[1].Status != uint8(intake.Recorded) {
			t.Fatalf("%v %+v", code, reply)
		}
	}
	if w.rows.count() != 2 || len(w.rows.keys) != 2 {
		t.Errorf("%d rows, %d keys", w.rows.count(), len(w.rows.keys))
	}
	id := intake.ID{Device: "meter", Epoch: 1, Seq: 2}
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	m, err := c.Get(ctx, "/values/"+id.Row(), coapmessage.Option{ID: coapmessage.Echo, Value: echo})
	if err != nil {
		t.Fatal(err)
	}
	if body, err := m.ReadBody(); err != nil || m.Code() != codes.Content || string(body) != "meter 2" {
		t.Errorf("%v %q, %v", m.Code(), body, err)
	}
	before := w.rows.asked()
	if m, err = c.Get(ctx, "/values/x%27--", coapmessage.Option{ID: coapmessage.Echo, Value: echo}); err != nil || m.Code() == codes.Content || w.rows.asked() != before {
		t.Errorf("a name that may not stand in a statement: %v, %v", m.Code(), err)
	}
}

// paho's client, at each quality of service.
func TestARealMQTTClient(t *testing.T) {
	w := newWorld(t, nil)
	_, address, _ := w.edge.Addresses()
	answers := make(chan []byte, 10)
	c := paho.NewClient(paho.NewClientOptions().AddBroker("tcp://" + address).SetClientID("gateway").SetCleanSession(false).SetAutoReconnect(false))
	wait := func(what string, token paho.Token) {
		t.Helper()
		if !token.WaitTimeout(10*time.Second) || token.Error() != nil {
			t.Fatalf("%s: %v", what, token.Error())
		}
	}
	wait("connect", c.Connect())
	wait("subscribe", c.Subscribe("answers/gateway", 0, func(_ paho.Client, m paho.Message) { answers <- m.Payload() }))
	for qos := range byte(3) {
		wait("publish", c.Publish("readings", qos, false, w.batch("meter", uint64(qos))))
		var reply batch.Reply
		select {
		case b := <-answers:
			if err := w.codec.Decode(b, &reply); err != nil || len(reply.Results) != 1 || reply.Results[0].Status != uint8(intake.Recorded) {
				t.Errorf("%+v, %v", reply, err)
			}
		case <-time.After(10 * time.Second):
			t.Fatal("no answer")
		}
	}
	c.Disconnect(100)
	if w.rows.count() != 3 {
		t.Errorf("%d rows", w.rows.count())
	}
}

// peer is a gateway of the framed stream.
type peer struct {
	t testing.TB
	net.Conn
	codec *batch.Codec
}

func (w *world) dial() *peer {
	w.t.Helper()
	_, _, address := w.edge.Addresses()
	c, err := net.Dial("tcp", address)
	if err != nil {
		w.t.Fatal(err)
	}
	w.t.Cleanup(func() { _ = c.Close() })
	return &peer{w.t, c, w.codec}
}

func (p *peer) send(frame any) {
	p.t.Helper()
	if _, err := p.Write(frames.Append(nil, p.codec, frame)); err != nil {
		p.t.Fatal(err)
	}
}

func (p *peer) receive(to any) error {
	_ = p.SetReadDeadline(time.Now().Add(20 * time.Second)) // only so that a test ends
	head := make([]byte, frames.HeaderLen)
	if _, err := io.ReadFull(p, head); err != nil {
		return err
	}
	n, err := frames.Frame(head, 1<<20)
	if err != nil {
		return err
	}
	body := make([]byte, n-frames.HeaderLen)
	if _, err := io.ReadFull(p, body); err != nil {
		return err
	}
	return p.codec.Decode(body, to)
}

func (p *peer) hello() *peer {
	p.t.Helper()
	p.send(frames.Hello{Kind: frames.KindHello, Version: frames.Version, Name: "g"})
	var w frames.Welcome
	if err := p.receive(&w); err != nil || w.Kind != frames.KindWelcome {
		p.t.Fatalf("%+v, %v", w, err)
	}
	return p
}

func (p *peer) readings(id uint32, device string, seq uint64) {
	p.t.Helper()
	p.send(frames.Readings{Kind: frames.KindReadings, ID: id, Route: "readings",
		Batch: batch.Batch{Device: device, Epoch: 1, Readings: []batch.Reading{{Seq: seq, Value: []byte("v")}}}})
}

// ended waits for the connection's end.
func (p *peer) ended() bool {
	_ = p.SetReadDeadline(time.Now().Add(20 * time.Second))
	_, err := io.Copy(io.Discard, p)
	var n net.Error
	return err == nil || !errors.As(err, &n) || !n.Timeout()
}

// A link that delivers one byte a second holds nothing for long, and others
// are served meanwhile.
func TestOneByteASecondEndsWhileOthersAreServed(t *testing.T) {
	w := newWorld(t, nil)
	slow, usual := w.dial().hello(), w.dial().hello()
	whole := frames.Append(nil, w.codec, frames.Readings{Kind: frames.KindReadings, ID: 1, Route: "readings",
		Batch: batch.Batch{Device: "slow", Epoch: 1, Readings: []batch.Reading{{Seq: 1, Value: bytes.Repeat([]byte("v"), 200)}}}})
	for i := range 11 {
		if _, err := slow.Write(whole[i : i+1]); err != nil {
			break
		}
		w.until("a byte", func() bool { return w.edge.partial.Len() == 1 || i > 9 })
		w.pass(1000)
		usual.readings(uint32(i), "usual", uint64(i))
		var a frames.Answer
		if err := usual.receive(&a); err != nil || a.Ranges[0].Status != uint8(intake.Recorded) {
			t.Fatalf("%+v, %v", a, err)
		}
	}
	if !slow.ended() {
		t.Error("a connection of one byte a second stays")
	}
	w.until("nothing left of it", func() bool { return w.edge.partial.Len() == 0 && w.edge.partial.Bytes() == 0 && w.edge.open == 1 })
}

// Unfinished messages together hold no more than their bound.
func TestUnfinishedMessagesHaveABound(t *testing.T) {
	w := newWorld(t, func(o *edgeoptions.Edge) { o.UnfinishedBytes = 20000 })
	var peers []*peer
	for range 20 {
		p := w.dial().hello()
		if _, err := p.Write(append([]byte{0, 0, 0x30, 0}, make([]byte, 3000)...)); err != nil {
			t.Fatal(err)
		}
		peers = append(peers, p)
	}
	w.until("the slowest went", func() bool { return w.edge.open <= 6 && w.edge.partial.Bytes() <= 20000 })
	last := w.dial().hello()
	last.readings(1, "d", 1)
	var a frames.Answer
	if err := last.receive(&a); err != nil {
		t.Error(err)
	}
	_ = peers
}

// Two thousand silent connections cost nobody else anything, and end.
func TestSilentConnectionsBesideUsualOnes(t *testing.T) {
	w := newWorld(t, nil)
	for range 2000 {
		w.dial()
	}
	w.until("all of them", func() bool { return w.edge.open == 2000 })
	p := w.dial().hello()
	p.readings(1, "d", 1)
	var a frames.Answer
	if err := p.receive(&a); err != nil || a.Ranges[0].Status != uint8(intake.Recorded) {
		t.Fatalf("%+v, %v", a, err)
	}
	w.pass(w.edge.opt.FirstMessageMs + 1)
	w.until("their end", func() bool { return w.edge.open == 1 })
}

// A device that does not read its answers is ended; what it sent is recorded.
func TestUnreadAnswersEndTheConnection(t *testing.T) {
	w := newWorld(t, nil)
	p := w.dial().hello()
	ping := bytes.Repeat(frames.Append(nil, w.codec, frames.Signal{Kind: frames.KindPing}), 1000)
	ended := make(chan bool)
	go func() {
		for {
			if _, err := p.Write(ping); err != nil {
				close(ended)
				return
			}
		}
	}()
	most := 0
	w.until("its end", func() bool {
		w.edge.conns.Each(func(_ slotmap.Handle, c *conn) { most = max(most, c.unread) })
		return w.edge.open == 0
	})
	if <-ended; most > maxUnread+1024 {
		t.Errorf("%d bytes were kept for it", most)
	}
}

func TestWhatIsNoProtocolEndsAtOnceAndGoesNowhere(t *testing.T) {
	w := newWorld(t, nil)
	_, mqttAddress, framesAddress := w.edge.Addresses()
	for _, address := range []string{mqttAddress, framesAddress} {
		for _, b := range []string{"GET / HTTP/1.1\r\n\r\n", "\x00\x00\x00\x00", "\xff\xff\xff\xff\xff\xff", "\x16\x03\x01\x00\xa5\x01", "\x30\x02\x00\x00"} {
			c, err := net.Dial("tcp", address)
			if err != nil {
				t.Fatal(err)
			}
			if _, err := c.Write([]byte(b)); err != nil {
				t.Fatal(err)
			}
			p := &peer{t, c, w.codec}
			if !p.ended() {
				t.Errorf("%q at %s: it stays", b, address)
			}
			_ = c.Close()
		}
	}
	if w.rows.asked() != 0 {
		t.Errorf("%q went on", w.rows.texts)
	}
}

func TestAStoppingEdgeAnswersWhatItHas(t *testing.T) {
	w := newWorld(t, nil)
	p := w.dial().hello()
	w.loop.Do(w.edge.Drain)
	var bye frames.Bye
	if err := p.receive(&bye); err != nil || bye.Kind != frames.KindBye {
		t.Errorf("%+v, %v", bye, err)
	}
	if !p.ended() {
		t.Error("it stays")
	}
}

// What was stored is delivered after a restart, whatever became of the router
// in between.
func TestAStoredReadingOutlivesTheRouter(t *testing.T) {
	path := t.TempDir() + "/store"
	durable := func(o *edgeoptions.Edge) { o.Store, o.Intake.Durable = path, true }
	w := newWorld(t, durable)
	w.rows.hold = true // nothing can be delivered
	p := w.dial().hello()
	p.readings(1, "d", 1)
	var a frames.Answer
	if err := p.receive(&a); err != nil || a.Ranges[0].Status != uint8(intake.Stored) {
		t.Fatalf("%+v, %v", a, err)
	}
	if err := w.edge.Close(); err != nil {
		t.Fatal(err)
	}
	w = newWorld(t, durable)
	w.until("its delivery", func() bool { return w.rows.count() == 1 && w.edge.store.Bytes() == 0 })
}

func TestSettingsThatCannotKeepThePromiseAreRefused(t *testing.T) {
	for name, change := range map[string]func(*edgeoptions.Edge){
		"no such class":        func(o *edgeoptions.Edge) { o.Routes[0].Write = "nothing" },
		"a read as write":      func(o *edgeoptions.Edge) { o.Routes[0].Write = "park-view" },
		"a stale check":        func(o *edgeoptions.Edge) { o.Routes[0].Check = "park-view" },
		"a write as read":      func(o *edgeoptions.Edge) { o.Routes[1].Read = "ledger-write" },
		"a match twice":        func(o *edgeoptions.Edge) { o.Routes[1].Match = "readings" },
		"a key that ends soon": func(o *edgeoptions.Edge) { o.Intake.MaxOverrun = 4900 },
	} {
		o, err := edgeoptions.Parse("test", []byte(`{"edge": {"frames": "127.0.0.1:0", "routes": [
			{"match": "readings", "groups": [1], "write": "ledger-write", "check": "invoice-check"}, {"match": "values", "groups": [1], "read": "park-view"}]}}`))
		if err != nil {
			t.Fatal(err)
		}
		if err := Check(o.Edge, &rows{}); err != nil {
			t.Fatal(err)
		}
		change(o.Edge)
		if err := Check(o.Edge, &rows{}); err == nil || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: %v", name, err)
		}
	}
}
