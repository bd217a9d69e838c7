// Case 1: a CoAP device abandons a message whose link stalled halfway, and sends an
// urgent reading instead. The router must not join the blocks of both messages.
package main

import (
	"encoding/hex"
	"errors"
	"fmt"
	"os"
	"syscall"

	"github.com/fxamacker/cbor/v2"

	"lotusbend/review/harness"
)

// The size of a block, and its exponent in a Block1 option.
const (
	blockBytes    = 64
	blockExponent = 2
	moreBlocks    = 8
)

// The answers to a reading, as docs/edge.md numbers them.
const (
	recorded = 0
	conflict = 2
	invalid  = 5
)

// reading is a reading that its device still holds.
type reading struct {
	seq    uint64
	sent   uint64
	urgent bool
	value  []byte
}

// meter is a device that sends each reading in a message of its own until it has a
// final answer.
type meter struct {
	harness.Device
	record *harness.Recorder
	final  map[uint64]uint64 // final answers by sequence number
}

// message encodes the batch of one reading.
func (m *meter) message(r *reading) []byte {
	b, err := cbor.Marshal(struct {
		Device   string  `cbor:"1,keyasint"`
		Epoch    uint64  `cbor:"2,keyasint"`
		Readings [][]any `cbor:"4,keyasint"`
	}{"meter-7", 1, [][]any{{r.seq, r.sent, r.urgent, r.value}}})
	if err != nil {
		panic(err) // these types can be encoded
	}
	return b
}

// block sends one block of a message and returns the answer's payload, nil before
// the last block is answered.
func (m *meter) block(r *reading, message []byte, number int, timeoutMs float64) ([]byte, error) {
	from, to := number*blockBytes, min((number+1)*blockBytes, len(message))
	option := number<<4 | blockExponent
	if to < len(message) {
		option |= moreBlocks
	}
	m.record.Note("device sends reading %d (sent %d), block %d of %d bytes", r.seq, r.sent, number, to-from)
	answer, err := m.Request(message[from:to], option, timeoutMs)
	if err != nil {
		m.record.Note("device has no answer to reading %d, block %d", r.seq, number)
		return nil, err
	}
	m.record.Note("device gets %v for reading %d, block %d: %x", answer.Code, r.seq, number, answer.Payload)
	return answer.Payload, nil
}

// send sends a reading in all its blocks and takes the answers in the reply.
func (m *meter) send(r *reading) error {
	message := m.message(r)
	blocks := (len(message) + blockBytes - 1) / blockBytes
	var reply []byte
	for number := range blocks {
		var err error
		if reply, err = m.block(r, message, number, 8000); err != nil {
			return err
		}
	}
	r.sent++
	m.take(reply)
	return nil
}

// take notes the final answers of a reply. The device forgets a reading that is
// answered as recorded.
func (m *meter) take(reply []byte) {
	var decoded struct {
		Results [][]uint64 `cbor:"1,keyasint"`
	}
	if err := cbor.Unmarshal(reply, &decoded); err != nil {
		return
	}
	for _, result := range decoded.Results {
		if len(result) < 2 {
			continue
		}
		switch result[1] {
		case recorded, conflict, invalid:
			m.record.Note("device has the final answer %d to reading %d", result[1], result[0])
			m.final[result[0]] = result[1]
		}
	}
}

// deliver sends a reading until it has a final answer.
func (m *meter) deliver(r *reading) error {
	for range 10 {
		if _, done := m.final[r.seq]; done {
			return nil
		}
		if err := m.send(r); err != nil {
			return err
		}
		harness.Sleep(300)
	}
	return fmt.Errorf("reading %d has no final answer", r.seq)
}

// newReading returns a reading of 96 equal bytes.
func newReading(seq uint64, fill byte, urgent bool) *reading {
	value := make([]byte, 96)
	for i := range value {
		value[i] = fill
	}
	return &reading{seq: seq, urgent: urgent, value: value}
}

// setting is the case's deployment.
type setting struct {
	table *harness.Table
	host  *harness.Host
	agent *harness.Discovery
	node  *harness.Router
	link  *harness.UDPLink
}

// start starts one host, discovery, the router with its edge, and the device's link.
func start(record *harness.Recorder, dir string) (*setting, error) {
	s := &setting{table: &harness.Table{WindowMs: 5000, Record: record}}
	s.host = &harness.Host{Name: "s1", Group: 1, Primary: true, Record: record,
		Serve: func(_ *harness.Host, statement harness.Statement) harness.Answer {
			harness.Sleep(20)
			return s.table.Run(statement)
		}}
	s.agent = &harness.Discovery{Name: "agent", Record: record}
	s.link = &harness.UDPLink{Record: record}
	listen, err := harness.FreePort()
	coap, err2 := harness.FreeUDPPort()
	if err := errors.Join(err, err2, s.host.Start()); err != nil {
		return s, err
	}
	if err := s.agent.Start(harness.EntryOf(s.host, "ready")); err != nil {
		return s, err
	}
	s.node = &harness.Router{Name: "n1", Listen: listen, Dir: dir, Record: record,
		Config: harness.Config("n1", listen, s.agent.Address, harness.Settings(harness.Billing())),
		Settings: fmt.Sprintf(`{"edge": {"coap": %q, "routes": [
			{"match": "readings", "groups": [1],
			"write": "ledger-write", "check": "invoice-check"}]}}`, coap)}
	return s, errors.Join(s.node.Start(), s.link.Start(coap))
}

// stop ends all that start has started.
func (s *setting) stop() {
	if s.node != nil {
		s.node.Stop(syscall.SIGTERM, 8000)
	}
	s.host.Stop()
	s.agent.Stop()
}

func run(record *harness.Recorder, trouble bool) (bool, error) {
	dir, err := os.MkdirTemp("", "review-1-")
	if err != nil {
		return false, err
	}
	defer os.RemoveAll(dir)
	s, err := start(record, dir)
	defer s.stop()
	if err != nil {
		return false, err
	}
	defer s.link.Close()
	m := &meter{Device: harness.Device{Path: "readings"}, record: record, final: map[uint64]uint64{}}
	if err := m.Dial(s.link.Address); err != nil {
		return false, err
	}
	defer m.Close()

	first, second := newReading(1, 0x11, false), newReading(2, 0x22, false)
	urgent := newReading(3, 0x33, true)
	if err := m.deliver(first); err != nil {
		return false, err
	}
	if trouble {
		// The link stalls halfway through the second reading's message. Meanwhile the
		// device takes an urgent reading, and sends that one first.
		message := m.message(second)
		if _, err := m.block(second, message, 0, 8000); err != nil {
			return false, err
		}
		s.link.Stall(true)
		_, err := m.block(second, message, 1, 3000)
		s.link.Stall(false)
		if err == nil {
			return false, errors.New("the stalled link has carried a block")
		}
		second.sent++
	}
	for _, r := range []*reading{urgent, second} {
		if err := m.deliver(r); err != nil {
			return false, err
		}
	}
	return check(record, s.table, []*reading{first, second, urgent}), nil
}

// check reports whether the database holds each reading once, and nothing that the
// device has not sent.
func check(record *harness.Recorder, table *harness.Table, sent []*reading) bool {
	held := true
	counts := map[string]int{}
	for _, run := range table.Executed() {
		counts[run.Doc]++
	}
	for _, r := range sent {
		doc := hex.EncodeToString(r.value)
		record.Note("check: reading %d was recorded %d times", r.seq, counts[doc])
		held = held && counts[doc] == 1
		delete(counts, doc)
	}
	for doc := range counts {
		record.Note("check: a value that no device has sent was recorded: %s", doc)
		held = false
	}
	return held
}

func main() { harness.Main(run) }
