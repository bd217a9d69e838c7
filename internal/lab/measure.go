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

// EdgeMetrics compares the cost of the edge with that of the PostgreSQL front. All
// values are measured in one run against stand-in hosts that answer without delay.
// Latencies are in milliseconds, by front. Memory is the router's resident memory.
type EdgeMetrics struct {
	Requests    int                `json:"requests"` // per front, without idle devices
	MedianMs    map[string]float64 `json:"median_ms"`
	P99Ms       map[string]float64 `json:"p99_ms"`
	IdleDevices int                `json:"idle_devices"`
	BeforeBytes int64              `json:"resident_before_bytes"`    // before the idle devices connect
	IdleBytes   int64              `json:"resident_with_idle_bytes"` // while they are connected
	BesideIdle  map[string]float64 `json:"median_ms_beside_idle"`    // while they are connected
}

const (
	postgresFront  = "postgresql"
	warmUpRequests = 50
	// requestInterval is the pause before each request. The router reuses a
	// connection to a host 2 ms after an answer at the earliest, and a front must
	// not wait because of another front's request.
	requestInterval = 5 * time.Millisecond
)

// measuredFronts are the fronts in the order in which each round uses them.
var measuredFronts = []string{postgresFront, "coap", "mqtt", "frames"}

// edgeMeasurement is the state of one MeasureEdge call.
type edgeMeasurement struct {
	router     *Router
	send       map[string]func(n int) error // by front; sends request n
	requests   int                          // sent so far through each front
	transports []transport
	postgres   *pgClient
}

// MeasureEdge measures latencies and memory of a router. It sends requests one at a
// time, through each front in turn, first without idle MQTT devices and then with them
// connected. progress receives the router's standard error.
func MeasureEdge(ctx context.Context, binary string, requests, idle int, progress io.Writer) (
	EdgeMetrics, error,
) {
	metrics := EdgeMetrics{Requests: requests, IdleDevices: idle}
	fleet, err := StartFleet(FleetOptions{
		Binary:      binary,
		Standin:     immediateHosts(),
		Routers:     1,
		Log:         progress,
		SocketLimit: 2*idle + defaultSocketLimit,
		EdgeKeys:    fmt.Sprintf(`"connections": %d, "sessions": %d, `, idle+100, idle+100),
	})
	if err != nil {
		return metrics, err
	}
	defer fleet.Close()
	m := &edgeMeasurement{router: fleet.Routers[0], send: map[string]func(int) error{}}
	defer m.close()
	if err := m.connect(ctx); err != nil {
		return metrics, err
	}
	if _, err := m.measureRounds(warmUpRequests); err != nil {
		return metrics, err
	}
	latencies, err := m.measureRounds(requests)
	if err != nil {
		return metrics, err
	}
	metrics.MedianMs = percentiles(latencies, 50)
	metrics.P99Ms = percentiles(latencies, 99)
	metrics.BeforeBytes = m.router.residentBytes()
	if err := m.connectIdle(ctx, idle); err != nil {
		return metrics, err
	}
	time.Sleep(2 * time.Second) // until the garbage collector has run
	metrics.IdleBytes = m.router.residentBytes()
	if err := m.connectPostgres(); err != nil { // the first connection was idle for too long
		return metrics, err
	}
	latencies, err = m.measureRounds(max(requests/4, 50))
	metrics.BesideIdle = percentiles(latencies, 50)
	return metrics, err
}

// immediateHosts returns options for hosts that answer without delay or faults.
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

// connectPostgres connects to the PostgreSQL front and closes the earlier connection, if
// any.
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
			err = fmt.Errorf("statement failed with SQLSTATE %s", code)
		}
		return err
	}
	return nil
}

// sendReading sends reading n of a device. It returns an error unless the answer says
// that the reading was recorded.
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
		return fmt.Errorf("sending a reading over %s: results %+v, want one recorded", protocol, results)
	}
	return nil
}

// measureRounds sends count requests through each front, one front after the other, and
// returns the latencies in milliseconds, by front.
func (m *edgeMeasurement) measureRounds(count int) (map[string][]float64, error) {
	latencies := map[string][]float64{}
	for last := m.requests + count; m.requests < last; m.requests++ {
		for _, front := range measuredFronts {
			time.Sleep(requestInterval)
			began := time.Now()
			if err := m.send[front](m.requests); err != nil {
				return nil, fmt.Errorf("measuring %s, request %d: %w", front, m.requests, err)
			}
			latencies[front] = append(latencies[front], *millisecondsSince(began))
		}
	}
	return latencies, nil
}

// connectIdle connects count idle MQTT devices, all with version 3.1.1.
func (m *edgeMeasurement) connectIdle(ctx context.Context, count int) error {
	for n := range count {
		d := newDevice(deviceOptions{
			name:      fmt.Sprint("idle-", n),
			number:    4 * n, // a multiple of 4 selects version 3.1.1
			addresses: []string{m.router.MQTT},
			seed:      1,
		})
		conn, err := dialMQTT(ctx, d, m.router.MQTT)
		if err != nil {
			return fmt.Errorf("connecting idle device %d: %w", n, err)
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

// percentiles returns a percentile, from 0 to 99, of the latencies of each front. It sorts
// them.
func percentiles(latencies map[string][]float64, percent int) map[string]float64 {
	result := map[string]float64{}
	for front, all := range latencies {
		slices.Sort(all)
		result[front] = all[len(all)*percent/100]
	}
	return result
}
