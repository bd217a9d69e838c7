package pooling

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// books are the actions of Leases, kept by a model that checks each of them.
type books struct {
	fail    func(format string, args ...any)
	l       *Leases
	lim     Limits
	now     float64
	said    []string
	conns   map[uint64]Place
	opening map[uint64]bool
	leased  map[uint64]uint64 // connection to client
	wants   map[uint64]Want   // that wait
	drained map[uint32]bool
}

func newBooks(lim Limits, fail func(string, ...any)) *books {
	b := &books{fail: fail, lim: lim, now: 1e6, conns: map[uint64]Place{}, opening: map[uint64]bool{}, leased: map[uint64]uint64{}, wants: map[uint64]Want{}, drained: map[uint32]bool{}}
	b.l = NewLeases(lim, 1, b)
	return b
}

func (b *books) count(of func(Place) bool) (n int) {
	for _, p := range b.conns {
		if of(p) {
			n++
		}
	}
	return n
}

func (b *books) Open(conn uint64, at Place) {
	b.said = append(b.said, fmt.Sprintf("open%d", conn))
	b.conns[conn], b.opening[conn] = at, true
	over := func(what string, n, most int) {
		if most > 0 && n > most {
			b.fail("%d connections of %s, %d allowed", n, what, most)
		}
	}
	over("all", len(b.conns), b.lim.Total)
	over("a host", b.count(func(p Place) bool { return p.Host == at.Host }), b.lim.PerHost)
	over("a user", b.count(func(p Place) bool { return p.User == at.User }), b.lim.PerUser)
	over("a database", b.count(func(p Place) bool { return p.Database == at.Database }), b.lim.PerDatabase)
	n := 0
	for c := range b.opening {
		if b.conns[c].Host == at.Host {
			n++
		}
	}
	over("those that open", n, b.lim.Opening)
	if b.drained[at.Host] {
		b.fail("opened to a draining host")
	}
}

func (b *books) Grant(client, conn uint64) {
	b.said = append(b.said, fmt.Sprintf("grant%d:%d", client, conn))
	w, waits := b.wants[client]
	if _, taken := b.leased[conn]; taken || b.opening[conn] || b.conns[conn] != w.Place || !waits || b.drained[w.Place.Host] {
		b.fail("connection %d at %v was granted to %d, which wants %v (waits: %t, taken: %t)", conn, b.conns[conn], client, w.Place, waits, taken)
	}
	delete(b.wants, client)
	b.leased[conn] = client
}

func (b *books) Refuse(client uint64, after float64) {
	b.said = append(b.said, fmt.Sprintf("refuse%d", client))
	if _, ok := b.wants[client]; !ok || after <= 0 {
		b.fail("%d was refused and does not wait, advice %v", client, after)
	}
	delete(b.wants, client)
}

func (b *books) Close(conn uint64) {
	b.said = append(b.said, fmt.Sprintf("close%d", conn))
	if _, ok := b.conns[conn]; !ok {
		b.fail("connection %d was closed and is not there", conn)
	}
	delete(b.conns, conn)
	delete(b.opening, conn)
	delete(b.leased, conn)
}

func (b *books) ask(client uint64, host uint32, user string, write bool) {
	user, database, _ := strings.Cut(user, "@")
	w := Want{client, Place{host, user, database}, write, 1000}
	b.wants[client] = w
	b.l.Ask(b.now, w)
}

func (b *books) pass(ms float64) {
	end := b.now + ms
	for at, ok := b.l.Next(); ok && at <= end; at, ok = b.l.Next() {
		b.now = max(at, b.now)
		b.l.Tick(b.now)
	}
	b.now = end
}

func (b *books) opened(conn uint64) {
	delete(b.opening, conn)
	b.l.Opened(b.now, conn)
}

func (b *books) release(conn uint64, clean bool) {
	delete(b.leased, conn)
	b.l.Released(b.now, conn, clean)
}

func (b *books) want(t *testing.T, words string) {
	t.Helper()
	if got := strings.Join(b.said, " "); got != words {
		t.Fatalf("got %q, want %q", got, words)
	}
	b.said = nil
}

func keys[V any](m map[uint64]V) []uint64 {
	var out []uint64
	for k := range m {
		out = append(out, k)
	}
	slices.Sort(out)
	return out
}

// Whatever comes, no limit is passed, no connection has two clients, each want
// ends once, and nobody waits beside a connection that it could have.
func TestLeasesKeepTheirLimitsAndForgetNobody(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		some := func(what string) int { return rapid.IntRange(0, 5).Draw(t, what) }
		lim := Limits{Total: some("total"), PerHost: some("per host"), PerUser: some("per user"), PerDatabase: some("per database"), Queue: some("queue"),
			WaitMost: 500, Opening: some("opening"), IdleFor: 300, LiveFor: 2000}
		b := newBooks(lim, t.Fatalf)
		for n := range rapid.IntRange(1, 120).Draw(t, "steps") {
			switch rapid.IntRange(0, 9).Draw(t, "what") {
			case 0, 1, 2:
				b.ask(uint64(1000+n), uint32(rapid.IntRange(1, 2).Draw(t, "host")), rapid.SampledFrom([]string{"a", "b", "c", "a@other"}).Draw(t, "user"), rapid.Bool().Draw(t, "write"))
			case 3, 4:
				if all := keys(b.opening); len(all) > 0 {
					c := rapid.SampledFrom(all).Draw(t, "opened")
					b.opened(c)
				}
			case 5, 6:
				if all := keys(b.leased); len(all) > 0 {
					b.release(rapid.SampledFrom(all).Draw(t, "released"), rapid.IntRange(0, 3).Draw(t, "clean") > 0)
				}
			case 7:
				if all := keys(b.conns); len(all) > 0 { // it breaks
					c := rapid.SampledFrom(all).Draw(t, "broken")
					delete(b.conns, c)
					delete(b.opening, c)
					delete(b.leased, c)
					b.l.Closed(b.now, c)
				}
			case 8:
				if all := keys(b.wants); len(all) > 0 {
					c := rapid.SampledFrom(all).Draw(t, "gone")
					delete(b.wants, c)
					b.l.GiveUp(c)
				}
			default:
				if rapid.IntRange(0, 3).Draw(t, "drain") == 0 {
					host := uint32(rapid.IntRange(1, 2).Draw(t, "drained"))
					b.drained[host] = !b.drained[host]
					b.l.Drain(b.now, host, b.drained[host])
				}
				b.pass(rapid.Float64Range(0, 200).Draw(t, "pass"))
			}
			for _, w := range b.wants {
				if b.l.idle[w.Place] != nil {
					t.Fatalf("%v waits beside an idle connection", w)
				}
			}
			if len(b.l.conns) != len(b.conns) || len(b.l.wants) != len(b.wants) {
				t.Fatalf("%d connections and %d wants booked, %d and %d there", len(b.l.conns), len(b.l.wants), len(b.conns), len(b.wants))
			}
		}
		b.pass(1000)
		if len(b.wants) > 0 {
			t.Fatalf("%v never heard", b.wants)
		}
		for _, c := range keys(b.opening) {
			b.opened(c)
		}
		for _, c := range keys(b.leased) {
			b.release(c, true)
		}
		b.pass(5000)
		if l := b.l; len(l.conns)+len(l.idle)+len(l.users)+len(l.dbs)+len(l.coming)+l.timers.Len() != 0 || l.hosts[1] != nil && (l.hosts[1].leased != 0 || l.hosts[1].opening != 0) {
			t.Fatalf("left: %d connections, %d idle, %d timers", len(l.conns), len(l.idle), l.timers.Len())
		}
	})
}

func TestAClientFindsItsOwnConnectionAgainAndAnotherTheWarmest(t *testing.T) {
	b := newBooks(Limits{}, t.Fatalf)
	for c := uint64(1); c <= 3; c++ {
		b.ask(c, 1, "a", false)
	}
	for _, c := range keys(b.opening) {
		b.opened(c)
	}
	conns := keys(b.conns)
	for i := range conns {
		if b.leased[conns[i]] != uint64(i+1) {
			t.Fatalf("%v", b.leased)
		}
		b.release(conns[i], true)
	}
	b.said = nil
	b.ask(1, 1, "a", false)
	b.want(t, fmt.Sprintf("grant1:%d", conns[0]))
	b.ask(9, 1, "a", false)
	b.want(t, fmt.Sprintf("grant9:%d", conns[2]))
	b.release(conns[2], false) // not clean: nobody gets it
	b.want(t, fmt.Sprintf("close%d", conns[2]))
}

// A user with many clients leaves the others their share, without closing a
// connection for each statement.
func TestUsersShareAHostFairly(t *testing.T) {
	b := newBooks(Limits{PerHost: 10}, t.Fatalf)
	client := uint64(0)
	ask := func(user string) { client++; b.ask(client, 1, user, false) }
	for range 100 {
		ask("many")
	}
	for _, c := range keys(b.opening) {
		b.opened(c)
	}
	for range 30 {
		ask("few")
	}
	granted := map[string]int{}
	closed := 0
	for range 200 {
		b.said = nil
		c := keys(b.leased)
		if len(c) == 0 {
			t.Fatal("nobody has a connection")
		}
		one := c[int(client)%len(c)]
		user := b.conns[one].User
		b.release(one, true)
		for _, o := range keys(b.opening) {
			b.opened(o)
		}
		for _, s := range b.said {
			if strings.HasPrefix(s, "close") {
				closed++
			}
		}
		granted[user]++
		ask(user)
	}
	held := b.count(func(p Place) bool { return p.User == "few" })
	if held < 4 || held > 6 || closed > 12 {
		t.Errorf("few holds %d of 10, %d connections were closed, %v", held, closed, granted)
	}
}

func TestReadsLeaveWritesAReserve(t *testing.T) {
	b := newBooks(Limits{PerHost: 4, Reserve: 2, WaitMost: 100}, t.Fatalf)
	for c := uint64(1); c <= 4; c++ {
		b.ask(c, 1, "a", false)
	}
	for _, c := range keys(b.opening) {
		b.opened(c)
	}
	if len(b.leased) != 2 || len(b.wants) != 2 {
		t.Fatalf("%d reads have a connection, %d wait", len(b.leased), len(b.wants))
	}
	b.ask(9, 1, "a", true)
	for _, c := range keys(b.opening) {
		b.opened(c)
	}
	if _, waits := b.wants[9]; waits {
		t.Error("a write waits behind reads that may not take what it may")
	}
	b.pass(101)
	if len(b.wants) != 0 {
		t.Error("reads wait past their bound")
	}
}

func TestADrainingHostLosesItsConnectionsAtTheEndOfTheirLeases(t *testing.T) {
	b := newBooks(Limits{PerHost: 2, WaitMost: 1000}, t.Fatalf)
	b.ask(1, 1, "a", false)
	b.ask(2, 1, "a", false)
	b.ask(3, 1, "a", false)
	for _, c := range keys(b.opening) {
		b.opened(c)
	}
	conns := keys(b.conns)
	b.release(conns[1], true) // the third has it now
	b.said = nil
	b.ask(4, 1, "a", false)
	b.drained[1] = true
	b.l.Drain(b.now, 1, true)
	b.want(t, "refuse4")
	b.release(conns[0], true)
	b.want(t, fmt.Sprintf("close%d", conns[0]))
	b.ask(5, 1, "a", false)
	b.want(t, "refuse5")
}

// A connection that becomes idle makes room for whoever waits at another host.
func TestAnIdleConnectionMakesRoomElsewhere(t *testing.T) {
	b := newBooks(Limits{Total: 1}, t.Fatalf)
	b.ask(1, 1, "a", false)
	c := keys(b.opening)[0]
	b.opened(c)
	b.ask(2, 2, "a", false)
	b.said = nil
	b.release(c, true)
	if got := strings.Join(b.said, " "); !strings.HasPrefix(got, fmt.Sprintf("close%d open", c)) {
		t.Errorf("%q", got)
	}
}
