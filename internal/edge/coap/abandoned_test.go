package coap

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"github.com/plgd-dev/go-coap/v3/message"
	"github.com/plgd-dev/go-coap/v3/message/codes"
)

// sizedBlock returns the Block1 option of a block of 16 << exponent bytes.
func sizedBlock(number int, more bool, exponent uint32) message.Option {
	value := uint64(number)<<blockNumberShift | uint64(exponent)
	if more {
		value |= blockMoreFlag
	}
	return uintOption(message.Block1, value)
}

// A client without a Request-Tag abandons a message after some of its blocks and
// sends another one: no block of the first message may become part of the second.
func TestBlocksOfAbandonedMessageAreNotJoined(t *testing.T) {
	for exponent := range uint32(3) {
		size := 16 << exponent
		for received := 1; received <= 2; received++ {
			client := newTestClient(t)
			for n := range received {
				client.send(home, strings.Repeat("a", size), sizedBlock(n, true, exponent))
			}
			client.advance(3000)
			client.send(home, "b"+strings.Repeat("a", size-1), sizedBlock(0, true, exponent))
			if c := client.last().Code; c != codes.Continue {
				t.Errorf("blocks of %d bytes: first block of the next message = %v, want %v", size, c, codes.Continue)
			}
			client.send(home, "end", sizedBlock(1, false, exponent))
			want := "b" + strings.Repeat("a", size-1) + "end"
			if len(client.delivered) != 1 || client.delivered[0].payload != want {
				t.Errorf("blocks of %d bytes, %d received before: delivered %+v, want %q only",
					size, received, client.delivered, want)
			}
		}
	}
}

// A block that was delayed in the network until its client has abandoned the message
// and begun another one must not become part of that one.
func TestDelayedBlockIsNotJoinedToNextMessage(t *testing.T) {
	client := newTestClient(t)
	client.send(home, strings.Repeat("a", 16), block(0, true))
	delayed := client.post(message.Confirmable, "end of a", block(1, false), client.echoOption(home))
	client.advance(3000)
	client.send(home, strings.Repeat("b", 16), block(0, true))
	next := client.echoOption(home)
	client.server.Receive(client.now, home, delayed)
	if c := client.last().Code; c != codes.Unauthorized || len(client.delivered) != 0 {
		t.Errorf("delayed block = %v, delivered %+v, want %v and nothing", c, client.delivered, codes.Unauthorized)
	}
	client.server.Receive(client.now, home, client.post(message.Confirmable, "end of b", block(1, false), next))
	if want := strings.Repeat("b", 16) + "end of b"; len(client.delivered) != 1 || client.delivered[0].payload != want {
		t.Errorf("delivered %+v, want %q only", client.delivered, want)
	}
}

// If the first block of an abandoned message arrives after that of the next message,
// the blocks of the next one must not be joined to it: the client begins anew.
func TestDelayedFirstBlockIsNotContinued(t *testing.T) {
	client := newTestClient(t)
	delayed := client.post(message.Confirmable, strings.Repeat("a", 16), block(0, true), client.echoOption(home))
	client.advance(3000)
	client.send(home, strings.Repeat("b", 16), block(0, true))
	next := client.echoOption(home)
	client.server.Receive(client.now, home, delayed)
	client.server.Receive(client.now, home, client.post(message.Confirmable, "end of b", block(1, false), next))
	if c := client.last().Code; c != codes.RequestEntityIncomplete || len(client.delivered) != 0 {
		t.Errorf("block of the next message = %v, delivered %+v, want %v and nothing",
			c, client.delivered, codes.RequestEntityIncomplete)
	}
	client.advance(10)
	client.send(home, strings.Repeat("b", 16), block(0, true))
	client.send(home, "end of b", block(1, false))
	if want := strings.Repeat("b", 16) + "end of b"; len(client.delivered) != 1 || client.delivered[0].payload != want {
		t.Errorf("delivered %+v, want %q only", client.delivered, want)
	}
}

// A client that takes a new Echo value from responses with 4.01 alone can still send
// a message in blocks.
func TestBlocksWithOldEchoValueAreRepeated(t *testing.T) {
	client := newTestClient(t)
	old := client.echoOption(home)
	client.advance(1000)
	for n, part := range []string{strings.Repeat("a", 16), strings.Repeat("b", 16), "c"} {
		option := block(uint32(n), n < 2)
		client.server.Receive(client.now, home, client.post(message.Confirmable, part, option, old))
		if len(client.sent) > 0 && client.last().Code == codes.Unauthorized {
			old = client.echoOption(home)
			client.server.Receive(client.now, home, client.post(message.Confirmable, part, option, old))
		}
	}
	if len(client.delivered) != 1 {
		t.Errorf("delivered %+v, want one message", client.delivered)
	}
}

// A message is as old as its first block: its readings' number of earlier copies
// was written then, and the device may have sent them elsewhere since.
func TestResumedMessageIsAsOldAsItsFirstBlock(t *testing.T) {
	client := newTestClient(t)
	client.echoOption(home)
	began := client.now
	for number := range uint32(3) {
		client.send(home, strings.Repeat("a", 16), block(number, number < 2))
		client.advance(3000)
	}
	if len(client.delivered) != 1 || client.delivered[0].notBefore != began {
		t.Errorf("delivered %+v, want one message sent not before %v", client.delivered, began)
	}
}

// transit is a datagram on its way between a device and the server.
type transit struct {
	at       float64 // arrival, Unix milliseconds
	datagram []byte
}

// delayedLink carries datagrams to the server and its responses back, in any order
// and with losses and copies.
type delayedLink struct {
	client  *testClient
	random  *rand.Rand
	forward []transit
	back    []transit
}

// carry puts a datagram on its way.
func (link *delayedLink) carry(way *[]transit, datagram []byte) {
	for copies := 1 + link.random.IntN(6)/5; copies > 0; copies-- {
		delay := link.random.Float64() * 100
		switch link.random.IntN(10) {
		case 0:
			continue // lost
		case 1, 2:
			delay *= 150
		}
		*way = append(*way, transit{link.client.now + delay, datagram})
	}
}

// arrived removes and returns the datagrams that have arrived.
func (link *delayedLink) arrived(way *[]transit) (datagrams [][]byte) {
	slices.SortFunc(*way, func(a, b transit) int {
		if a.at < b.at {
			return -1
		}
		return 1
	})
	for len(*way) > 0 && (*way)[0].at <= link.client.now {
		datagrams = append(datagrams, (*way)[0].datagram)
		*way = (*way)[1:]
	}
	return datagrams
}

// request sends a request and waits for its response for some time. It returns 0
// without one.
func (link *delayedLink) request(token int, payload string, block message.Option, echo *[]byte) codes.Code {
	client := link.client
	want := []byte(fmt.Sprint(token))
	request := client.postWithToken(want, payload, block, message.Option{ID: message.Echo, Value: *echo})
	link.carry(&link.forward, request)
	for range 30 {
		client.advance(100)
		for _, datagram := range link.arrived(&link.forward) {
			client.sent, client.datagrams = nil, nil
			client.server.Receive(client.now, home, datagram)
			for _, response := range client.datagrams {
				link.carry(&link.back, response)
			}
		}
		for _, datagram := range link.arrived(&link.back) {
			response := client.decode(datagram)
			if string(response.Token) != string(want) {
				continue
			}
			if value, err := response.Options.GetBytes(message.Echo); err == nil {
				*echo = slices.Clone(value)
			}
			return response.Code
		}
	}
	return 0
}

// A device on a link that loses, copies, delays and reorders datagrams sends
// messages in blocks without a Request-Tag and abandons some of them. Each message
// that the server delivers must be one that the device has sent, and not be taken
// for younger than it is.
func TestMessagesInBlocksAreWholeOverAnyLink(t *testing.T) {
	delivered := 0
	for seed := range uint64(2000) {
		random := rand.New(rand.NewPCG(seed, 44))
		client := newTestClient(t)
		link := &delayedLink{client: client, random: random}
		echo := client.echoOption(home).Value
		composedAt := map[string]float64{}
		token := 0
		for number := range 15 {
			parts := []string{fmt.Sprintf("message %8d", number), strings.Repeat(string(rune('a'+number)), 16), "end"}
			parts = parts[:2+random.IntN(2)]
			whole := strings.Join(parts, "")
			composedAt[whole] = client.now
			for n := 0; n < len(parts); {
				token++
				switch code := link.request(token, parts[n], block(uint32(n), n < len(parts)-1), &echo); {
				case code == codes.Continue:
					n++
				case code == codes.Unauthorized, code == 0 && random.IntN(3) > 0: // sent again
				default: // answered or abandoned
					n = len(parts)
				}
			}
		}
		for _, got := range client.delivered {
			at, sent := composedAt[got.payload]
			if !sent || got.notBefore > at {
				t.Errorf("seed %d: delivered %q sent after %v, want a message that the device composed, not before %v",
					seed, got.payload, got.notBefore, at)
			}
		}
		delivered += len(client.delivered)
	}
	if delivered < 10000 {
		t.Errorf("%d messages delivered on all seeds, want at least 10000: the links are too bad to test anything", delivered)
	}
}
