package pooling

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// leaseModel takes the actions of Leases and checks each of them.
type leaseModel struct {
	fail     func(format string, args ...any)
	leases   *Leases
	lim      Limits
	now      float64
	actions  []string
	conns    map[uint64]PoolKey
	opening  map[uint64]bool
	leased   map[uint64]uint64            // connection to client
	requests map[uint64]ConnectionRequest // that wait
	drained  map[uint32]bool
}

func newLeaseModel(lim Limits, fail func(string, ...any)) *leaseModel {
	model := &leaseModel{fail: fail, lim: lim, now: 1e6, conns: map[uint64]PoolKey{}, opening: map[uint64]bool{},
		leased: map[uint64]uint64{}, requests: map[uint64]ConnectionRequest{}, drained: map[uint32]bool{}}
	model.leases = NewLeases(lim, 1, model)
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

func (m *leaseModel) Open(conn uint64, at PoolKey) {
	m.actions = append(m.actions, fmt.Sprintf("open%d", conn))
	m.conns[conn], m.opening[conn] = at, true
	over := func(what string, n, most int) {
		if most > 0 && n > most {
			m.fail("%d connections of %s, %d allowed", n, what, most)
		}
	}
	over("all", len(m.conns), m.lim.Total)
	over("an endpoint", m.count(func(p PoolKey) bool { return p.Endpoint == at.Endpoint }), m.lim.PerEndpoint)
	over("a user", m.count(func(p PoolKey) bool { return p.User == at.User }), m.lim.PerUser)
	over("a database", m.count(func(p PoolKey) bool { return p.Database == at.Database }), m.lim.PerDatabase)
	n := 0
	for c := range m.opening {
		if m.conns[c].Endpoint == at.Endpoint {
			n++
		}
	}
	over("those that open", n, m.lim.MaxOpening)
	if m.drained[at.Endpoint] {
		m.fail("opened to a draining endpoint")
	}
}

func (m *leaseModel) Grant(client, conn uint64) {
	m.actions = append(m.actions, fmt.Sprintf("grant%d:%d", client, conn))
	w, waits := m.requests[client]
	if _, taken := m.leased[conn]; taken || m.opening[conn] || m.conns[conn] != w.Key || !waits || m.drained[w.Key.Endpoint] {
		m.fail("connection %d at %v was granted to %d, which wants %v (waits: %t, taken: %t)", conn, m.conns[conn], client,
			w.Key, waits, taken)
	}
	delete(m.requests, client)
	m.leased[conn] = client
}

func (m *leaseModel) Reject(client uint64, after float64) {
	m.actions = append(m.actions, fmt.Sprintf("reject%d", client))
	if _, ok := m.requests[client]; !ok || after <= 0 {
		m.fail("%d was rejected and is not queued, retry after %v", client, after)
	}
	delete(m.requests, client)
}

func (m *leaseModel) Close(conn uint64) {
	m.actions = append(m.actions, fmt.Sprintf("close%d", conn))
	if _, ok := m.conns[conn]; !ok {
		m.fail("connection %d was closed and does not exist", conn)
	}
	delete(m.conns, conn)
	delete(m.opening, conn)
	delete(m.leased, conn)
}

func (m *leaseModel) acquire(client uint64, endpoint uint32, user string, write bool) {
	user, database, _ := strings.Cut(user, "@")
	w := ConnectionRequest{client, PoolKey{endpoint, user, database}, write, 1000}
	m.requests[client] = w
	m.leases.Acquire(m.now, w)
}

func (m *leaseModel) advance(ms float64) {
	end := m.now + ms
	for at, ok := m.leases.Next(); ok && at <= end; at, ok = m.leases.Next() {
		m.now = max(at, m.now)
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

func (m *leaseModel) expect(t *testing.T, words string) {
	t.Helper()
	if got := strings.Join(m.actions, " "); got != words {
		t.Fatalf("got %q, want %q", got, words)
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

// No limit is exceeded, no connection has two clients, each request ends once,
// and none is queued while a connection that it may have is idle.
func TestLeasesRespectLimitsAndEndEveryRequest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := func(what string) int { return rapid.IntRange(0, 5).Draw(t, what) }
		lim := Limits{Total: limit("total"), PerEndpoint: limit("per host"), PerUser: limit("per user"),
			PerDatabase: limit("per database"), MaxQueued: limit("queue"),
			MaxQueueTimeout: 500, MaxOpening: limit("opening"), IdleTimeout: 300, MaxLifetime: 2000}
		model := newLeaseModel(lim, t.Fatalf)
		for n := range rapid.IntRange(1, 120).Draw(t, "steps") {
			switch rapid.IntRange(0, 9).Draw(t, "what") {
			case 0, 1, 2:
				model.acquire(uint64(1000+n), uint32(rapid.IntRange(1, 2).Draw(t, "host")),
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
				if all := keys(model.conns); len(all) > 0 { // it breaks
					c := rapid.SampledFrom(all).Draw(t, "broken")
					delete(model.conns, c)
					delete(model.opening, c)
					delete(model.leased, c)
					model.leases.Closed(c)
				}
			case 8:
				if all := keys(model.requests); len(all) > 0 {
					c := rapid.SampledFrom(all).Draw(t, "gone")
					delete(model.requests, c)
					model.leases.Cancel(c)
				}
			default:
				if rapid.IntRange(0, 3).Draw(t, "drain") == 0 {
					endpoint := uint32(rapid.IntRange(1, 2).Draw(t, "drained"))
					model.drained[endpoint] = !model.drained[endpoint]
					model.leases.SetDraining(endpoint, model.drained[endpoint])
				}
				model.advance(rapid.Float64Range(0, 200).Draw(t, "pass"))
			}
			for _, w := range model.requests {
				if model.leases.idle[w.Key] != nil {
					t.Fatalf("%v is queued beside an idle connection", w)
				}
			}
			if len(model.leases.connections) != len(model.conns) || len(model.leases.requests) != len(model.requests) {
				t.Fatalf("%d connections and %d requests recorded, %d and %d there", len(model.leases.connections),
					len(model.leases.requests), len(model.conns), len(model.requests))
			}
		}
		model.advance(1000)
		if len(model.requests) > 0 {
			t.Fatalf("%v are still queued", model.requests)
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
			t.Fatalf("left: %d connections, %d idle, %d timers", len(l.connections), len(l.idle), l.timers.Len())
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
			t.Fatalf("%v", model.leased)
		}
		model.release(conns[i], true)
	}
	model.actions = nil
	model.acquire(1, 1, "a", false)
	model.expect(t, fmt.Sprintf("grant1:%d", conns[0]))
	model.acquire(9, 1, "a", false)
	model.expect(t, fmt.Sprintf("grant9:%d", conns[2]))
	model.release(conns[2], false) // not clean: no client gets it
	model.expect(t, fmt.Sprintf("close%d", conns[2]))
}

// A user with many clients leaves the others a fair part, without a connection
// being evicted for each statement.
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
		t.Errorf("few has %d of 10, %d connections were closed, %v", used, closed, granted)
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
		t.Fatalf("%d reads have a connection, %d wait", len(model.leased), len(model.requests))
	}
	model.acquire(9, 1, "a", true)
	for _, c := range keys(model.opening) {
		model.opened(c)
	}
	if _, waits := model.requests[9]; waits {
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
	model.release(conns[1], true) // the third has it now
	model.actions = nil
	model.acquire(4, 1, "a", false)
	model.drained[1] = true
	model.leases.SetDraining(1, true)
	model.expect(t, "reject4")
	model.release(conns[0], true)
	model.expect(t, fmt.Sprintf("close%d", conns[0]))
	model.acquire(5, 1, "a", false)
	model.expect(t, "reject5")
}

// An idle connection is evicted for a request that is queued at another
// endpoint.
func TestIdleConnectionIsEvictedForAnotherEndpoint(t *testing.T) {
	model := newLeaseModel(Limits{Total: 1}, t.Fatalf)
	model.acquire(1, 1, "a", false)
	c := keys(model.opening)[0]
	model.opened(c)
	model.acquire(2, 2, "a", false)
	model.actions = nil
	model.release(c, true)
	if got := strings.Join(model.actions, " "); !strings.HasPrefix(got, fmt.Sprintf("close%d open", c)) {
		t.Errorf("%q", got)
	}
}
