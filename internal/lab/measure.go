package lab

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"slices"
	"time"

	"lotusbend/internal/edge/batch"
	"lotusbend/internal/postgres/wire"
	"lotusbend/internal/standin"
)

// EdgeFigures are what the edge costs beside the PostgreSQL front, measured in
// one run against stand-in hosts that answer at once.
type EdgeFigures struct {
	Requests    int                `json:"requests"`
	MedianMs    map[string]float64 `json:"median_ms"`
	P99Ms       map[string]float64 `json:"p99_ms"`
	IdleDevices int                `json:"idle_devices"`
	BeforeBytes int64              `json:"resident_before_bytes"`
	IdleBytes   int64              `json:"resident_with_idle_bytes"`
	BesideIdle  map[string]float64 `json:"median_ms_beside_idle"`
}

// MeasureEdge sends requests one at a time, the fronts in turn, and then holds
// idle MQTT devices.
func MeasureEdge(ctx context.Context, binary string, requests, idle int, progress io.Writer) (f EdgeFigures, err error) {
	f = EdgeFigures{Requests: requests, IdleDevices: idle, MedianMs: map[string]float64{}, P99Ms: map[string]float64{}, BesideIdle: map[string]float64{}}
	so := standin.Defaults()
	so.WorkMin, so.WorkMax, so.ReplicateMin, so.ReplicateMax, so.ResetChance, so.RejectChance = 0, 0, 0, 0, 0, 0
	fleet, err := StartFleet(FleetOptions{Binary: binary, Standin: so, Routers: 1, Log: progress, Sockets: 2*idle + 4096,
		Edge: fmt.Sprintf(`"connections": %d, "sessions": %d, `, idle+100, idle+100)})
	if err != nil {
		return f, err
	}
	defer fleet.Close()
	r := fleet.Routers[0]
	took := map[string][]float64{}
	sends := map[string]func(n int) error{}
	if sends["postgresql"], err = postgres(r.Listen); err != nil {
		return f, err
	}
	for name, dial := range map[string]func(context.Context, *device, string) (transport, error){"coap": dialCoAP, "mqtt": dialMQTT, "frames": dialFrames} {
		d := newDevice("latency-"+name, 0, 0, time.Second, 0, []string{map[string]string{"coap": r.CoAP, "mqtt": r.MQTT, "frames": r.Frame}[name]}, 1)
		t, err := dial(ctx, d, d.links[0])
		if err != nil {
			return f, err
		}
		defer t.close()
		sends[name] = func(n int) error {
			b := &batch.Batch{Device: d.name, Epoch: 1, Elapsed: t.elapsed(), Readings: []batch.Reading{{Seq: uint64(n), Value: fmt.Appendf(nil, "%s %d", name, n)}}}
			results, _, err := t.exchange(ctx, b, false)
			if err == nil && (len(results) != 1 || results[0].Status != 0) {
				err = fmt.Errorf("%s: %+v", name, results)
			}
			return err
		}
	}
	const warm = 50
	n := 0
	rounds := func(most int) error {
		for last := n + most; n < last; n++ {
			for _, name := range []string{"postgresql", "coap", "mqtt", "frames"} {
				time.Sleep(5 * time.Millisecond) // a connection to a host rests 2 ms after an answer: no front shall wait for another's
				began := time.Now()
				if err := sends[name](n); err != nil {
					return fmt.Errorf("%s, request %d: %w", name, n, err)
				}
				took[name] = append(took[name], float64(time.Since(began))/float64(time.Millisecond))
			}
		}
		return nil
	}
	if err := rounds(warm); err != nil {
		return f, err
	}
	clear(took)
	if err := rounds(requests); err != nil {
		return f, err
	}
	for name, all := range took {
		slices.Sort(all)
		f.MedianMs[name], f.P99Ms[name] = all[len(all)/2], all[len(all)*99/100]
	}
	clear(took)
	f.BeforeBytes = r.resident()
	conns := make([]net.Conn, 0, idle)
	defer func() {
		for _, c := range conns {
			_ = c.Close()
		}
	}()
	for n := range idle {
		d := newDevice(fmt.Sprint("idle-", n), 4*n, 0, time.Second, 0, []string{r.MQTT}, 1) // each speaks 3.1.1
		t, err := dialMQTT(ctx, d, r.MQTT)
		if err != nil {
			return f, fmt.Errorf("idle device %d: %w", n, err)
		}
		conns = append(conns, t.(*mqttDevice).conn)
	}
	time.Sleep(2 * time.Second) // for the collector
	f.IdleBytes = r.resident()
	if sends["postgresql"], err = postgres(r.Listen); err != nil { // the first was idle for too long
		return f, err
	}
	if err := rounds(max(requests/4, 50)); err != nil {
		return f, err
	}
	for name, all := range took {
		slices.Sort(all)
		f.BesideIdle[name] = all[len(all)/2]
	}
	return f, nil
}

// postgres returns what sends one write through the PostgreSQL front.
func postgres(address string) (func(n int) error, error) {
	c, err := net.Dial("tcp", address)
	if err != nil {
		return nil, err
	}
	in := bufio.NewReader(c)
	if _, err := c.Write(wire.AppendStartup(nil, "app", "shop")); err != nil {
		return nil, err
	}
	if code, err := answer(c, in); err != nil || code != "" {
		return nil, fmt.Errorf("greeted with %q: %w", code, err)
	}
	return func(n int) error {
		text := fmt.Sprintf(`INSERT INTO items (id, doc) VALUES ('%016x', '\x%x') RETURNING doc /* id=%016x,c=ledger-write,d=1200,k=%016x,cluster=%d */`,
			n+1, "12.5 kWh", n+1, n+1, 1+n%2)
		if _, err := c.Write(wire.AppendQuery(nil, []byte(text))); err != nil {
			return err
		}
		code, err := answer(c, in)
		if err == nil && code != "" {
			err = fmt.Errorf("answered with %s", code)
		}
		return err
	}, nil
}
