package lab

import (
	"context"
	"fmt"
	"io"
	"slices"
	"time"

	"lotusbend/internal/edge/batch"
	"lotusbend/internal/edge/intake"
	"lotusbend/internal/standin"
)

// EdgeMetrics are what the edge costs compared with the PostgreSQL front,
// measured in one run against stand-in hosts that answer at once. Latencies are
// in milliseconds by front.
type EdgeMetrics struct {
	Requests    int                `json:"requests"` // through each front
	MedianMs    map[string]float64 `json:"median_ms"`
	P99Ms       map[string]float64 `json:"p99_ms"`
	IdleDevices int                `json:"idle_devices"`
	BeforeBytes int64              `json:"resident_before_bytes"`
	IdleBytes   int64              `json:"resident_with_idle_bytes"`
	BesideIdle  map[string]float64 `json:"median_ms_beside_idle"`
}

const (
	postgresFront  = "postgresql"
	warmUpRequests = 50
	// requestInterval lies between requests: a connection to a host rests 2 ms after
	// an answer, and no front shall wait for another's.
	requestInterval = 5 * time.Millisecond
)

// measuredFronts are the fronts in the order in which they take turns.
var measuredFronts = []string{postgresFront, "coap", "mqtt", "frames"}

// edgeMeasurement is one run of MeasureEdge.
type edgeMeasurement struct {
	router     *Router
	send       map[string]func(n int) error // sends the n-th request, by front
	requests   int                          // sent through each front
	transports []transport
	postgres   *pgClient
}

// MeasureEdge sends requests one at a time, the fronts in turn, first without
// and then beside idle MQTT devices. progress is the router's standard error.
func MeasureEdge(ctx context.Context, binary string, requests, idle int, progress io.Writer) (
	EdgeMetrics, error,
) {
	figures := EdgeMetrics{Requests: requests, IdleDevices: idle}
	fleet, err := StartFleet(FleetOptions{
		Binary:      binary,
		Standin:     immediateHosts(),
		Routers:     1,
		Log:         progress,
		SocketLimit: 2*idle + defaultSocketLimit,
		EdgeKeys:    fmt.Sprintf(`"connections": %d, "sessions": %d, `, idle+100, idle+100),
	})
	if err != nil {
		return figures, err
	}
	defer fleet.Close()
	m := &edgeMeasurement{router: fleet.Routers[0], send: map[string]func(int) error{}}
	defer m.close()
	if err := m.connect(ctx); err != nil {
		return figures, err
	}
	if _, err := m.measureRounds(warmUpRequests); err != nil {
		return figures, err
	}
	latencies, err := m.measureRounds(requests)
	if err != nil {
		return figures, err
	}
	figures.MedianMs = percentiles(latencies, 50)
	figures.P99Ms = percentiles(latencies, 99)
	figures.BeforeBytes = m.router.residentBytes()
	if err := m.connectIdle(ctx, idle); err != nil {
		return figures, err
	}
	time.Sleep(2 * time.Second) // for the garbage collector
	figures.IdleBytes = m.router.residentBytes()
	if err := m.connectPostgres(); err != nil { // the first connection was idle for too long
		return figures, err
	}
	latencies, err = m.measureRounds(max(requests/4, 50))
	figures.BesideIdle = percentiles(latencies, 50)
	return figures, err
}

// immediateHosts are hosts that answer at once and without faults.
func immediateHosts() standin.Options {
	opt := standin.Defaults()
	opt.WorkMinMs = 0
	opt.WorkMaxMs = 0
	opt.ReplicateMinMs = 0
	opt.ReplicateMaxMs = 0
	opt.ResetChance = 0
	opt.RejectChance = 0
	return opt
}

// connect connects to every front.
func (m *edgeMeasurement) connect(ctx context.Context) error {
	if err := m.connectPostgres(); err != nil {
		return err
	}
	for protocol, dial := range dialFuncs {
		address := m.router.edgeAddresses()[protocol]
		d := newDevice(deviceOptions{name: "latency-" + protocol, addresses: []string{address}, seed: 1})
		conn, err := dial(ctx, d, address)
		if err != nil {
			return err
		}
		m.transports = append(m.transports, conn)
		m.send[protocol] = func(n int) error { return sendReading(ctx, d, conn, protocol, n) }
	}
	return nil
}

// connectPostgres connects to the PostgreSQL front, in place of an earlier
// connection.
func (m *edgeMeasurement) connectPostgres() error {
	client, err := dialPostgres(m.router.Listen, 0)
	if err != nil {
		return err
	}
	if m.postgres != nil {
		m.postgres.close()
	}
	m.postgres = client
	m.send[postgresFront] = func(n int) error {
		id := uint64(n + 1)
		code, err := client.query(insertStatement(id, "12.5 kWh", id, id, 1+n%2))
		if err == nil && code != "" {
			err = fmt.Errorf("answered with %s", code)
		}
		return err
	}
	return nil
}

// sendReading sends the n-th reading of a device, which must be recorded.
func sendReading(ctx context.Context, d *device, conn transport, protocol string, n int) error {
	b := &batch.Batch{
		Device:   d.name,
		Epoch:    1,
		Elapsed:  conn.elapsed(),
		Readings: []batch.Reading{{Seq: uint64(n), Value: fmt.Appendf(nil, "%s %d", protocol, n)}},
	}
	results, _, err := conn.exchange(ctx, b, false)
	if err != nil {
		return err
	}
	if len(results) != 1 || intake.Status(results[0].Status) != intake.Recorded {
		return fmt.Errorf("%s: %+v", protocol, results)
	}
	return nil
}

// measureRounds sends so many requests through each front and returns their latencies
// in milliseconds.
func (m *edgeMeasurement) measureRounds(count int) (map[string][]float64, error) {
	latencies := map[string][]float64{}
	for last := m.requests + count; m.requests < last; m.requests++ {
		for _, front := range measuredFronts {
			time.Sleep(requestInterval)
			began := time.Now()
			if err := m.send[front](m.requests); err != nil {
				return nil, fmt.Errorf("%s, request %d: %w", front, m.requests, err)
			}
			latencies[front] = append(latencies[front], *millisecondsSince(began))
		}
	}
	return latencies, nil
}

// connectIdle connects idle MQTT devices, all with version 3.1.1.
func (m *edgeMeasurement) connectIdle(ctx context.Context, count int) error {
	for n := range count {
		d := newDevice(deviceOptions{
			name:      fmt.Sprint("idle-", n),
			number:    4 * n, // decides the version
			addresses: []string{m.router.MQTT},
			seed:      1,
		})
		conn, err := dialMQTT(ctx, d, m.router.MQTT)
		if err != nil {
			return fmt.Errorf("idle device %d: %w", n, err)
		}
		m.transports = append(m.transports, conn)
	}
	return nil
}

func (m *edgeMeasurement) close() {
	for _, conn := range m.transports {
		conn.close()
	}
	if m.postgres != nil {
		m.postgres.close()
	}
}

// percentiles returns a percentile of each front's latencies.
func percentiles(latencies map[string][]float64, percent int) map[string]float64 {
	result := map[string]float64{}
	for front, all := range latencies {
		slices.Sort(all)
		result[front] = all[len(all)*percent/100]
	}
	return result
}
