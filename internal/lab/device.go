package lab

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"lotusbend/internal/edge/batch"
	"lotusbend/internal/edge/intake"
)

// maxBatchReadings is the largest number of readings that a device sends in one batch.
const maxBatchReadings = 6

// Reading is a reading of a device and what the device knows about its delivery. The
// audit compares it with what the stand-ins recorded.
type Reading struct {
	Device string
	Epoch  uint64
	Seq    uint64
	Value  string // unique, so that the audit needs neither rows nor keys
	Urgent bool
	Acked  bool // a router has acknowledged the reading

	sent      uint64    // number of batches with it that may have reached a router
	notBefore time.Time // earliest time of the next attempt
}

// device is a simulated device. It sends each reading until it is acknowledged.
type device struct {
	name      string
	number    int // selects the variant of the protocol
	rand      *rand.Rand
	codec     *batch.Codec
	addresses []string      // one per router, for this device's protocol
	router    int           // index in addresses
	interval  time.Duration // between readings
	started   time.Time

	mu       sync.Mutex
	readings []*Reading
	lastErr  error
}

// transport is a device's connection to a router over one protocol.
type transport interface {
	// exchange sends a batch and waits for its answer. again says that some of the
	// readings were sent before. sent reports whether the batch may have reached
	// the router; it is also valid if err is not nil.
	exchange(ctx context.Context, b *batch.Batch, again bool) (results []batch.Result, sent bool, err error)
	// elapsed returns the time since the router's last time mark (frames) or since
	// CONNACK (MQTT), in milliseconds; nil if batches of the protocol carry no
	// elapsed time (CoAP).
	elapsed() *float64
	close()
}

// dialFunc connects a device to the router at an address.
type dialFunc func(ctx context.Context, d *device, address string) (transport, error)

// dialFuncs maps the name of each protocol to its dialFunc.
var dialFuncs = map[string]dialFunc{"coap": dialCoAP, "mqtt": dialMQTT, "frames": dialFrames}

// deviceOptions configures a device.
type deviceOptions struct {
	name      string
	number    int // selects the variant of the protocol
	readings  int
	interval  time.Duration // between readings
	valueSize int           // smallest length of a value in bytes
	addresses []string      // one per router
	seed      uint64
}

func newDevice(o deviceOptions) *device {
	d := &device{
		name:      o.name,
		number:    o.number,
		rand:      rand.New(rand.NewPCG(o.seed, uint64(o.number))),
		codec:     batch.NewCodec(),
		addresses: o.addresses,
		interval:  o.interval,
		started:   time.Now(),
	}
	d.chooseRouter()
	// The device restarts after half of its readings: its epoch changes and its
	// sequence numbers start from zero.
	for n := range o.readings {
		epoch := uint64(1)
		seq := uint64(n)
		if n >= o.readings/2 {
			epoch = 2
			seq = uint64(n - o.readings/2)
		}
		value := fmt.Sprintf("%s/%d/%d=%.1f kWh", o.name, epoch, seq, d.rand.Float64()*100)
		if o.valueSize > len(value) {
			value += strings.Repeat(".", o.valueSize-len(value))
		}
		urgent := d.rand.IntN(8) == 0
		d.readings = append(d.readings, &Reading{
			Device: o.name,
			Epoch:  epoch,
			Seq:    seq,
			Value:  value,
			Urgent: urgent,
		})
	}
	return d
}

// chooseRouter picks a random router for the next connection.
func (d *device) chooseRouter() { d.router = d.rand.IntN(len(d.addresses)) }

// nextReadings returns up to maxBatchReadings readings of one epoch that have been made
// by now, may be sent and are not acknowledged. The device makes one reading per
// interval. done reports that all readings are acknowledged.
func (d *device) nextReadings(now time.Time) (readings []*Reading, done bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	done = true
	made := int(now.Sub(d.started)/d.interval) + 1
	for i, reading := range d.readings {
		if reading.Acked {
			continue
		}
		done = false
		otherEpoch := len(readings) > 0 && readings[0].Epoch != reading.Epoch
		if i >= made || now.Before(reading.notBefore) || otherEpoch {
			continue
		}
		readings = append(readings, reading)
		if len(readings) == maxBatchReadings {
			break
		}
	}
	return readings, done
}

// run sends readings until all are acknowledged or ctx is done.
func (d *device) run(ctx context.Context, dial dialFunc) {
	var conn transport
	defer func() {
		if conn != nil {
			conn.close()
		}
	}()
	for ctx.Err() == nil {
		readings, done := d.nextReadings(time.Now())
		if done {
			return
		}
		if len(readings) == 0 {
			d.pause(ctx, 20)
			continue
		}
		if conn != nil && d.rand.IntN(25) == 0 { // reconnect in about 4% of the attempts
			conn.close()
			conn = nil
			d.chooseRouter()
		}
		if conn == nil {
			var err error
			conn, err = dial(ctx, d, d.addresses[d.router])
			if err != nil {
				conn = nil
				d.chooseRouter()
				d.pause(ctx, 50+200*d.rand.Float64())
				continue
			}
		}
		if err := d.send(ctx, conn, readings); err != nil {
			d.setLastErr(err)
			conn.close()
			conn = nil
			if d.rand.IntN(2) == 0 {
				d.chooseRouter()
			}
			d.pause(ctx, 50+300*d.rand.Float64())
		}
	}
}

// send sends readings in one batch and applies the answer to them.
func (d *device) send(ctx context.Context, conn transport, readings []*Reading) error {
	b := &batch.Batch{Device: d.name, Epoch: readings[0].Epoch, Elapsed: conn.elapsed()}
	again := false
	for _, reading := range readings {
		b.Readings = append(b.Readings, batch.Reading{
			Seq:    reading.Seq,
			Sent:   reading.sent,
			Urgent: reading.Urgent,
			Value:  []byte(reading.Value),
		})
		again = again || reading.sent > 0
	}
	results, sent, err := conn.exchange(ctx, b, again)
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, reading := range readings {
		if sent {
			reading.sent++
		}
		for _, result := range results {
			if result.Seq == reading.Seq {
				reading.applyResult(result)
			}
		}
	}
	return err
}

// applyResult applies a router's answer to the reading.
func (r *Reading) applyResult(result batch.Result) {
	r.Acked = r.Acked || intake.Status(result.Status).Done()
	r.notBefore = time.Now().Add(time.Duration(min(result.Wait, 2000)) * time.Millisecond)
}

func (d *device) setLastErr(err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lastErr = fmt.Errorf("after %.1f s: %w", time.Since(d.started).Seconds(), err)
}

// pause sleeps for ms milliseconds or until ctx is done.
func (d *device) pause(ctx context.Context, ms float64) {
	select {
	case <-ctx.Done():
	case <-time.After(time.Duration(ms * float64(time.Millisecond))):
	}
}

// millisecondsSince returns the time since t in milliseconds.
func millisecondsSince(t time.Time) *float64 {
	ms := float64(time.Since(t)) / float64(time.Millisecond)
	return &ms
}
