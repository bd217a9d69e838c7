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

// Reading is one reading that a device of the lab has made, and what it knows
// of it. An audit compares it with what the stand-ins recorded.
type Reading struct {
	Device string
	Epoch  uint64
	Seq    uint64
	Value  string // names the reading, so that an audit needs no row or key
	Urgent bool

	sent  uint64 // how often it may have reached somebody
	due   time.Time
	Final string // the last final answer, "" for none
	Acked bool
}

// device makes readings and sends each until it is acknowledged.
type device struct {
	name     string
	number   int
	rand     *rand.Rand
	codec    *batch.Codec
	links    []string // of each router, for this device's protocol
	router   int
	mu       sync.Mutex
	readings []*Reading
	pace     time.Duration // between readings
	from     time.Time
	pad      int
	answers  int
	trouble  error // the last
}

// transport speaks one protocol to one router. It sends a batch and waits for
// its answer. sent tells that the batch may have reached the router.
type transport interface {
	exchange(ctx context.Context, b *batch.Batch, again bool) (results []batch.Result, sent bool, err error)
	// elapsed is how long ago the greeting was heard; nil where a batch's age
	// is told otherwise.
	elapsed() *float64
	close()
}

func newDevice(name string, number, readings int, pace time.Duration, pad int, links []string, seed uint64) *device {
	d := &device{
		name: name, number: number, rand: rand.New(rand.NewPCG(seed, uint64(number))), codec: batch.NewCodec(),
		links: links, pace: pace, from: time.Now(), pad: pad,
	}
	d.router = d.rand.IntN(len(links))
	// Half way it restarts: another epoch, and it counts from zero again.
	for n := range readings {
		epoch, seq := uint64(1), uint64(n)
		if n >= readings/2 {
			epoch, seq = 2, uint64(n-readings/2)
		}
		value := fmt.Sprintf("%s/%d/%d=%.1f kWh", name, epoch, seq, d.rand.Float64()*100)
		if pad > len(value) {
			value += strings.Repeat(".", pad-len(value))
		}
		d.readings = append(d.readings, &Reading{Device: name, Epoch: epoch, Seq: seq, Value: value, Urgent: d.rand.IntN(8) == 0})
	}
	return d
}

// next returns readings of one epoch that are made, not acknowledged and due,
// a few at most.
func (d *device) next(now time.Time) (out []*Reading, done bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	done = true
	made := int(now.Sub(d.from)/d.pace) + 1
	for i, r := range d.readings {
		if r.Acked {
			continue
		}
		done = false
		if i >= made || now.Before(r.due) || len(out) > 0 && out[0].Epoch != r.Epoch {
			continue
		}
		if out = append(out, r); len(out) == 6 {
			break
		}
	}
	return out, done
}

// run sends until every reading is acknowledged or ctx ends.
func (d *device) run(ctx context.Context, dial func(ctx context.Context, d *device, address string) (transport, error)) {
	var t transport
	defer func() {
		if t != nil {
			t.close()
		}
	}()
	for ctx.Err() == nil {
		readings, done := d.next(time.Now())
		if done {
			return
		}
		if len(readings) == 0 {
			d.pause(ctx, 20)
			continue
		}
		if t != nil && d.rand.IntN(25) == 0 { // it comes back by another way
			t.close()
			t = nil
			d.router = d.rand.IntN(len(d.links))
		}
		if t == nil {
			var err error
			if t, err = dial(ctx, d, d.links[d.router]); err != nil {
				t = nil
				d.router = d.rand.IntN(len(d.links))
				d.pause(ctx, 50+200*d.rand.Float64())
				continue
			}
		}
		b := &batch.Batch{Device: d.name, Epoch: readings[0].Epoch, Elapsed: t.elapsed()}
		again := false
		for _, r := range readings {
			b.Readings = append(b.Readings, batch.Reading{Seq: r.Seq, Sent: r.sent, Urgent: r.Urgent, Value: []byte(r.Value)})
			again = again || r.sent > 0
		}
		results, sent, err := t.exchange(ctx, b, again)
		d.mu.Lock()
		for _, r := range readings {
			if sent {
				r.sent++
			}
			for _, res := range results {
				if res.Seq != r.Seq {
					continue
				}
				status := intake.Status(res.Status)
				d.answers++
				r.Final = status.String()
				r.Acked = r.Acked || status.Done()
				r.due = time.Now().Add(time.Duration(min(res.Wait, 2000)) * time.Millisecond)
			}
		}
		d.mu.Unlock()
		if err != nil {
			d.mu.Lock()
			d.trouble = fmt.Errorf("after %.1f s: %w", time.Since(d.from).Seconds(), err)
			d.mu.Unlock()
			t.close()
			t = nil
			if d.rand.IntN(2) == 0 {
				d.router = d.rand.IntN(len(d.links))
			}
			d.pause(ctx, 50+300*d.rand.Float64())
		}
	}
}

func (d *device) pause(ctx context.Context, ms float64) {
	select {
	case <-ctx.Done():
	case <-time.After(time.Duration(ms * float64(time.Millisecond))):
	}
}

// since gives elapsed milliseconds by a device's clock.
func since(t time.Time) *float64 {
	ms := float64(time.Since(t)) / float64(time.Millisecond)
	return &ms
}
