package pooling

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// leaseModel implements LeaseActions, records the actions of Leases and checks
// each of them.
type leaseModel struct {
	fail     func(format string, args ...any)
	leases   *Leases
	limits   Limits
	now      float64
	actions  []string
	conns    map[uint64]PoolKey
	opening  map[uint64]bool
	leased   map[uint64]uint64            // connection to client
	requests map[uint64]ConnectionRequest // queued, by client
	draining map[uint32]bool
}

func newLeaseModel(limits Limits, fail func(string, ...any)) *leaseModel {
	model := &leaseModel{fail: fail, limits: limits, now: 1e6, conns: map[uint64]PoolKey{}, opening: map[uint64]bool{},
		leased: map[uint64]uint64{}, requests: map[uint64]ConnectionRequest{}, draining: map[uint32]bool{}}
	model.leases = NewLeases(limits, 1, model)
	return model
}

func (m *leaseModel) count(of func(PoolKey) bool) (n int) {
	for _, p := range m.conns {
		if of(p) {
			n++
		}
	}
	return n
}

func (m *leaseModel) Open(conn uint64, key PoolKey) {
	m.actions = append(m.actions, fmt.Sprintf("open%d", conn))
	m.conns[conn], m.opening[conn] = key, true
	checkLimit := func(scope string, n, limit int) {
		if limit > 0 && n > limit {
			m.fail("%d connections %s, want at most %d", n, scope, limit)
		}
	}
	checkLimit("in total", len(m.conns), m.limits.Total)
	checkLimit("to one endpoint", m.count(func(p PoolKey) bool { return p.Endpoint == key.Endpoint }), m.limits.PerEndpoint)
	checkLimit("of one user", m.count(func(p PoolKey) bool { return p.User == key.User }), m.limits.PerUser)
	checkLimit("to one database", m.count(func(p PoolKey) bool { return p.Database == key.Database }), m.limits.PerDatabase)
	n := 0
	for c := range m.opening {
		if m.conns[c].Endpoint == key.Endpoint {
			n++
		}
	}
	checkLimit("being opened to one endpoint", n, m.limits.MaxOpening)
	if m.draining[key.Endpoint] {
		m.fail("connection %d was opened to draining endpoint %d", conn, key.Endpoint)
	}
}

func (m *leaseModel) Grant(client, conn uint64) {
	m.actions = append(m.actions, fmt.Sprintf("grant%d:%d", client, conn))
	request, queued := m.requests[client]
	if _, taken := m.leased[conn]; taken || m.opening[conn] || m.conns[conn] != request.Key || !queued ||
		m.draining[request.Key.Endpoint] {
		m.fail("Grant(%d, %d) of %v for a request of %v (queued %t, already leased %t)", client, conn, m.conns[conn],
			request.Key, queued, taken)
	}
	delete(m.requests, client)
	m.leased[conn] = client
}

func (m *leaseModel) Reject(client uint64, after float64) {
	m.actions = append(m.actions, fmt.Sprintf("reject%d", client))
	if _, ok := m.requests[client]; !ok || after <= 0 {
		m.fail("Reject(%d, %v) with queued %t, want a queued request and a positive time", client, after, ok)
	}
	delete(m.requests, client)
}

func (m *leaseModel) Close(conn uint64) {
	m.actions = append(m.actions, fmt.Sprintf("close%d", conn))
	if _, ok := m.conns[conn]; !ok {
		m.fail("Close(%d) of a connection that does not exist", conn)
	}
	delete(m.conns, conn)
	delete(m.opening, conn)
	delete(m.leased, conn)
}

func (m *leaseModel) acquire(client uint64, endpoint uint32, user string, write bool) {
	user, database, _ := strings.Cut(user, "@")
	request := ConnectionRequest{client, PoolKey{endpoint, user, database}, write, 1000}
	m.requests[client] = request
	m.leases.Acquire(m.now, request)
}

func (m *leaseModel) advance(ms float64) {
	end := m.now + ms
	for due, ok := m.leases.Next(); ok && due <= end; due, ok = m.leases.Next() {
		m.now = max(due, m.now)
		m.leases.Tick(m.now)
	}
	m.now = end
}

func (m *leaseModel) opened(conn uint64) {
	delete(m.opening, conn)
	m.leases.Opened(m.now, conn)
}

func (m *leaseModel) release(conn uint64, clean bool) {
	delete(m.leased, conn)
	m.leases.Released(m.now, conn, clean)
}

func (m *leaseModel) expect(t *testing.T, want string) {
	t.Helper()
	if got := strings.Join(m.actions, " "); got != want {
		t.Fatalf("actions %q, want %q", got, want)
	}
	m.actions = nil
}

func keys[V any](m map[uint64]V) []uint64 {
	var out []uint64
	for k := range m {
		out = append(out, k)
	}
	slices.Sort(out)
	return out
}

// Under random events no limit is exceeded, no connection is leased to two
// clients, each request ends once, and none is queued while a connection of its
// pool is idle.
func TestLeasesRespectLimitsAndEndEveryRequest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := func(label string) int { return rapid.IntRange(0, 5).Draw(t, label) }
		limits := Limits{Total: limit("total"), PerEndpoint: limit("per endpoint"), PerUser: limit("per user"),
			PerDatabase: limit("per database"), MaxQueued: limit("queue"),
			MaxQueueTimeout: 500, MaxOpening: limit("opening"), IdleTimeout: 300, MaxLifetime: 2000}
		model := newLeaseModel(limits, t.Fatalf)
		for n := range rapid.IntRange(1, 120).Draw(t, "steps") {
			switch rapid.IntRange(0, 9).Draw(t, "operation") {
			case 0, 1, 2:
				model.acquire(uint64(1000+n), uint32(rapid.IntRange(1, 2).Draw(t, "endpoint")),
					rapid.SampledFrom([]string{"a", "b", "c", "a@other"}).Draw(t, "user"), rapid.Bool().Draw(t, "write"))
			case 3, 4:
				if all := keys(model.opening); len(all) > 0 {
					c := rapid.SampledFrom(all).Draw(t, "opened")
					model.opened(c)
				}
			case 5, 6:
				if all := keys(model.leased); len(all) > 0 {
					model.release(rapid.SampledFrom(all).Draw(t, "released"), rapid.IntRange(0, 3).Draw(t, "clean") > 0)
				}
			case 7:
				if all := keys(model.conns); len(all) > 0 { // the connection breaks
					c := rapid.SampledFrom(all).Draw(t, "broken")
					delete(model.conns, c)
					delete(model.opening, c)
					delete(model.leased, c)
					model.leases.Closed(c)
				}
			case 8:
				if all := keys(model.requests); len(all) > 0 {
					c := rapid.SampledFrom(all).Draw(t, "cancelled client")
					delete(model.requests, c)
					model.leases.Cancel(c)
				}
			default:
				if rapid.IntRange(0, 3).Draw(t, "drain") == 0 {
					endpoint := uint32(rapid.IntRange(1, 2).Draw(t, "draining endpoint"))
					model.draining[endpoint] = !model.draining[endpoint]
					model.leases.SetDraining(endpoint, model.draining[endpoint])
				}
				model.advance(rapid.Float64Range(0, 200).Draw(t, "advance in ms"))
			}
			for _, request := range model.requests {
				if model.leases.idle[request.Key] != nil {
					t.Fatalf("%v is queued while a connection of its pool is idle", request)
				}
			}
			if len(model.leases.connections) != len(model.conns) || len(model.leases.requests) != len(model.requests) {
				t.Fatalf("Leases has %d connections and %d requests, want %d and %d", len(model.leases.connections),
					len(model.leases.requests), len(model.conns), len(model.requests))
			}
		}
		model.advance(1000)
		if len(model.requests) > 0 {
			t.Fatalf("requests %v are queued past their timeouts", model.requests)
		}
		for _, c := range keys(model.opening) {
			model.opened(c)
		}
		for _, c := range keys(model.leased) {
			model.release(c, true)
		}
		model.advance(5000)
		l := model.leases
		left := len(l.connections) + len(l.idle) + len(l.perUser) + len(l.perDatabase) + len(l.opening) + l.timers.Len()
		first := l.endpoints[1]
		if left != 0 || first != nil && (first.leased != 0 || first.opening != 0) {
			t.Fatalf("at the end %d connections, %d idle pools and %d timers are left, want 0",
				len(l.connections), len(l.idle), l.timers.Len())
		}
	})
}

func TestClientGetsItsLastConnectionElseMostRecentlyUsed(t *testing.T) {
	model := newLeaseModel(Limits{}, t.Fatalf)
	for c := uint64(1); c <= 3; c++ {
		model.acquire(c, 1, "a", false)
	}
	for _, c := range keys(model.opening) {
		model.opened(c)
	}
	conns := keys(model.conns)
	for i := range conns {
		if model.leased[conns[i]] != uint64(i+1) {
			t.Fatalf("leases %v, want connection %d for client %d", model.leased, conns[i], i+1)
		}
		model.release(conns[i], true)
	}
	model.actions = nil
	model.acquire(1, 1, "a", false)
	model.expect(t, fmt.Sprintf("grant1:%d", conns[0]))
	model.acquire(9, 1, "a", false)
	model.expect(t, fmt.Sprintf("grant9:%d", conns[2]))
	model.release(conns[2], false) // not clean: must not be granted again
	model.expect(t, fmt.Sprintf("close%d", conns[2]))
}

// A user with many clients must not keep other users from a fair share of the
// connections, and sharing must not evict a connection for each statement.
func TestUsersShareEndpointFairly(t *testing.T) {
	model := newLeaseModel(Limits{PerEndpoint: 10}, t.Fatalf)
	client := uint64(0)
	acquire := func(user string) { client++; model.acquire(client, 1, user, false) }
	for range 100 {
		acquire("many")
	}
	for _, c := range keys(model.opening) {
		model.opened(c)
	}
	for range 30 {
		acquire("few")
	}
	granted := map[string]int{}
	closed := 0
	for range 200 {
		model.actions = nil
		c := keys(model.leased)
		if len(c) == 0 {
			t.Fatal("no client has a connection")
		}
		one := c[int(client)%len(c)]
		user := model.conns[one].User
		model.release(one, true)
		for _, o := range keys(model.opening) {
			model.opened(o)
		}
		for _, s := range model.actions {
			if strings.HasPrefix(s, "close") {
				closed++
			}
		}
		granted[user]++
		acquire(user)
	}
	used := model.count(func(p PoolKey) bool { return p.User == "few" })
	if used < 4 || used > 6 || closed > 12 {
		t.Errorf("user few has %d of 10 connections, want 4 to 6; %d were closed, want at most 12; granted %v",
			used, closed, granted)
	}
}

func TestReadsLeaveReserveToWrites(t *testing.T) {
	model := newLeaseModel(Limits{PerEndpoint: 4, WriteReserve: 2, MaxQueueTimeout: 100}, t.Fatalf)
	for c := uint64(1); c <= 4; c++ {
		model.acquire(c, 1, "a", false)
	}
	for _, c := range keys(model.opening) {
		model.opened(c)
	}
	if len(model.leased) != 2 || len(model.requests) != 2 {
		t.Fatalf("%d reads have a connection and %d are queued, want 2 and 2", len(model.leased), len(model.requests))
	}
	model.acquire(9, 1, "a", true)
	for _, c := range keys(model.opening) {
		model.opened(c)
	}
	if _, queued := model.requests[9]; queued {
		t.Error("a write is queued behind reads that the reserve holds back")
	}
	model.advance(101)
	if len(model.requests) != 0 {
		t.Error("reads are queued past MaxQueueTimeout")
	}
}

func TestDrainClosesConnectionsWhenLeasesEnd(t *testing.T) {
	model := newLeaseModel(Limits{PerEndpoint: 2, MaxQueueTimeout: 1000}, t.Fatalf)
	model.acquire(1, 1, "a", false)
	model.acquire(2, 1, "a", false)
	model.acquire(3, 1, "a", false)
	for _, c := range keys(model.opening) {
		model.opened(c)
	}
	conns := keys(model.conns)
	model.release(conns[1], true) // granted to client 3
	model.actions = nil
	model.acquire(4, 1, "a", false)
	model.draining[1] = true
	model.leases.SetDraining(1, true)
	model.expect(t, "reject4")
	model.release(conns[0], true)
	model.expect(t, fmt.Sprintf("close%d", conns[0]))
	model.acquire(5, 1, "a", false)
	model.expect(t, "reject5")
}

// With the total limit reached, an idle connection is evicted for a request that
// is queued at another endpoint.
func TestIdleConnectionIsEvictedForAnotherEndpoint(t *testing.T) {
	model := newLeaseModel(Limits{Total: 1}, t.Fatalf)
	model.acquire(1, 1, "a", false)
	c := keys(model.opening)[0]
	model.opened(c)
	model.acquire(2, 2, "a", false)
	model.actions = nil
	model.release(c, true)
	if got := strings.Join(model.actions, " "); !strings.HasPrefix(got, fmt.Sprintf("close%d open", c)) {
		t.Errorf("actions %q, want close%d and an open", got, c)
	}
}
