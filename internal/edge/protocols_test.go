package edge

import (
	"bytes"
	"context"
	"testing"
	"time"

	paho "github.com/eclipse/paho.mqtt.golang"
	coapmessage "github.com/plgd-dev/go-coap/v3/message"
	"github.com/plgd-dev/go-coap/v3/message/codes"
	"github.com/plgd-dev/go-coap/v3/options"
	"github.com/plgd-dev/go-coap/v3/udp"

	"lotusbend/internal/edge/batch"
	"lotusbend/internal/edge/intake"
)

// The client of go-coap gets an Echo challenge, repeats its request with the Echo
// value, and gets an answer for each reading. Repeated batches are not recorded
// again. Recorded values can be read. A row name that could end a string literal
// is rejected before a statement is submitted.
func TestCoAPClientRecordsAndReads(t *testing.T) {
	test := newTestEdge(t, nil)
	address, _, _ := test.edge.Addresses()
	c, err := udp.Dial(address, options.WithContext(t.Context()))
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	payload := test.encodeBatch("meter", 1, 2)
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
			if err := test.codec.Decode(body, reply); err != nil {
				t.Fatal(err)
			}
		}
		return m.Code(), fresh, reply
	}
	code, echo, _ := post(nil)
	if code != codes.Unauthorized || test.router.rowCount() != 0 {
		t.Fatalf("POST without Echo = %v with %d rows, want 4.01 with none", code, test.router.rowCount())
	}
	for range 3 {
		var reply *batch.Reply
		code, echo, reply = post(echo)
		if code != codes.Changed || len(reply.Results) != 2 || reply.Results[1].Status != uint8(intake.Recorded) {
			t.Fatalf("POST = %v %+v, want 2.04 with two recorded readings", code, reply)
		}
	}
	if test.router.rowCount() != 2 || len(test.router.writesByKey) != 2 {
		t.Errorf("%d rows and %d keys, want 2 of each", test.router.rowCount(), len(test.router.writesByKey))
	}
	id := intake.ID{Device: "meter", Epoch: 1, Seq: 2}
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	m, err := c.Get(ctx, "/values/"+id.Row(), coapmessage.Option{ID: coapmessage.Echo, Value: echo})
	if err != nil {
		t.Fatal(err)
	}
	if body, err := m.ReadBody(); err != nil || m.Code() != codes.Content || string(body) != "meter 2" {
		t.Errorf(`GET of a recorded row = %v %q, %v, want 2.05 "meter 2"`, m.Code(), body, err)
	}
	before := test.router.statementCount()
	m, err = c.Get(ctx, "/values/x%27--", coapmessage.Option{ID: coapmessage.Echo, Value: echo})
	if err != nil || m.Code() == codes.Content || test.router.statementCount() != before {
		t.Errorf("GET of an invalid row name = %v, %v, want an error code and no statement", m.Code(), err)
	}
}

// The client of paho publishes a batch at each QoS and receives the answers that
// it has subscribed to.
func TestMQTTClientAtEachQoS(t *testing.T) {
	test := newTestEdge(t, nil)
	_, address, _ := test.edge.Addresses()
	answers := make(chan []byte, 10)
	options := paho.NewClientOptions().AddBroker("tcp://" + address).SetClientID("gateway")
	c := paho.NewClient(options.SetCleanSession(false).SetAutoReconnect(false))
	wait := func(what string, token paho.Token) {
		t.Helper()
		if !token.WaitTimeout(10*time.Second) || token.Error() != nil {
			t.Fatalf("%s: %v", what, token.Error())
		}
	}
	wait("connect", c.Connect())
	wait("subscribe", c.Subscribe("answers/gateway", 0, func(_ paho.Client, m paho.Message) { answers <- m.Payload() }))
	for qos := range byte(3) {
		wait("publish", c.Publish("readings", qos, false, test.encodeBatch("meter", uint64(qos))))
		var reply batch.Reply
		select {
		case b := <-answers:
			err := test.codec.Decode(b, &reply)
			if err != nil || len(reply.Results) != 1 || reply.Results[0].Status != uint8(intake.Recorded) {
				t.Errorf("published answer = %+v, %v, want one recorded reading", reply, err)
			}
		case <-time.After(10 * time.Second):
			t.Fatal("no answer was published within 10 seconds")
		}
	}
	c.Disconnect(100)
	if test.router.rowCount() != 3 {
		t.Errorf("%d rows, want 3", test.router.rowCount())
	}
}
