package lab

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"syscall"
	"time"

	"lotusbend/internal/faultnet"
	"lotusbend/internal/membership"
)

// watcher reads every member's view and judges it against what the drill did.
type watcher struct {
	ms       []*member
	backs    []netip.AddrPort // the members' own sockets, behind the relay
	res      *FleetviewResult
	progress interface{ Write([]byte) (int, error) }
	bound    int64
	began    time.Time
	cut      func(from, to int) bool
	views    map[int]membership.View
	seen     map[string]bool // judgements made once: "dead viewer member inc", "ghost ..."
	deadSeen map[string]bool // "viewer member start": held dead once
	client   http.Client
	why      string // the first pair found unsettled
	now      string // the fault being played, for the findings
}

// poll reads the views of the members that run and are not paused.
func (w *watcher) poll() {
	if w.views == nil {
		w.views, w.seen, w.deadSeen, w.began = map[int]membership.View{}, map[string]bool{}, map[string]bool{}, time.Now()
		w.client.Timeout = 500 * time.Millisecond
	}
	clear(w.views)
	for i, m := range w.ms {
		if !m.running || m.paused() {
			continue
		}
		resp, err := w.client.Get("http://" + m.admin + "/membership")
		if err != nil {
			continue
		}
		var v membership.View
		err = json.NewDecoder(resp.Body).Decode(&v)
		resp.Body.Close()
		if err == nil {
			w.views[i] = v
			m.start = v.Self.Start
		}
	}
	w.judge()
}

// judge counts deaths of members that run and are reached (false_dead) and
// killed members held alive again after they were held dead (ghosts).
func (w *watcher) judge() {
	now := time.Now()
	for vi, v := range w.views {
		for _, r := range v.Members {
			si := w.index(r.Name)
			if si < 0 || si == vi {
				continue
			}
			s := w.ms[si]
			key := fmt.Sprint(vi, " ", r.Name, " ", r.Start)
			switch {
			case r.State == membership.Dead && s.running && !s.paused() && r.Start == s.start &&
				now.After(s.calm) && now.After(w.ms[vi].calm) && (w.cut == nil || !w.cut(vi, si) && !w.cut(si, vi)):
				if k := fmt.Sprint("dead ", key, " ", r.Incarnation); !w.seen[k] {
					w.seen[k] = true
					w.res.FalseDead++
					w.res.Faults = append(w.res.Faults, fmt.Sprintf("m%d held %s dead while it ran (%s, incarnation %d)", vi+1, r.Name, w.now, r.Incarnation))
				}
			case r.State >= membership.Dead && (!s.running || r.Start != s.start):
				w.deadSeen[key] = true // held dead after its end: it may never be alive again
			case r.State == membership.Alive && w.deadSeen[key] && (!s.running || r.Start != s.start):
				if k := "ghost " + key; !w.seen[k] {
					w.seen[k] = true
					w.res.Ghosts++
					w.res.Faults = append(w.res.Faults, fmt.Sprintf("m%d holds %s alive again, which does not run", vi+1, r.Name))
				}
			}
		}
	}
}

func (w *watcher) index(name string) int {
	for i, m := range w.ms {
		if m.r.Name == name {
			return i
		}
	}
	return -1
}

// settled tells whether every view that was read holds what right says of
// each pair (nil: alive exactly if it runs).
func (w *watcher) settled(right func(v, s int) bool) bool {
	if len(w.views) == 0 {
		return false
	}
	for vi, v := range w.views {
		held := map[string]membership.Update{}
		for _, r := range v.Members {
			held[r.Name] = r
		}
		for si, s := range w.ms {
			if si == vi {
				continue
			}
			want := s.running
			if right != nil {
				want = right(vi, si)
			}
			r, ok := held[s.r.Name]
			// a suspect is still a member: under loss some member is always
			// suspected by someone for a moment, and refutes
			member := ok && r.State <= membership.Suspect && r.Start == s.start
			if member != want {
				w.why = fmt.Sprintf("m%d holds %s as %v (start %d, known %v), want member %v", vi+1, s.r.Name, r.State, r.Start, ok, want)
				return false
			}
		}
	}
	return true
}

// phase waits for the views to settle after a fault, up to the bound.
func (w *watcher) phase(ctx context.Context, fault string, right func(v, s int) bool) bool {
	from := time.Now()
	p := Phase{Fault: fault, BoundMs: w.bound}
	w.now = fault
	for ctx.Err() == nil && time.Since(from) < time.Duration(w.bound)*time.Millisecond {
		w.poll()
		if p.Settled = w.settled(right); p.Settled {
			break
		}
		time.Sleep(100 * time.Millisecond)
	}
	p.SettleMs = time.Since(from).Milliseconds()
	w.res.Phases = append(w.res.Phases, p)
	fmt.Fprintf(w.progress, "%-28s settled %-5v in %6d ms (bound %d)\n", fault, p.Settled, p.SettleMs, p.BoundMs)
	if !p.Settled {
		w.res.Faults = append(w.res.Faults, fault+": "+w.why)
	}
	return p.Settled
}

// wait polls for ms, judging as it goes.
func (w *watcher) wait(ctx context.Context, ms int64) {
	w.now = "waiting after " + w.now
	for end := time.Now().Add(time.Duration(ms) * time.Millisecond); ctx.Err() == nil && time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		w.poll()
	}
}

func (m *member) paused() bool { return m.pausedUntil.After(time.Now()) }

// play runs the faults the options ask for, in a fixed order, each member
// drawn from the seed; member 1, the seed of the others, is spared.
func (w *watcher) play(ctx context.Context, o FleetviewDrill, rnd *rand.Rand, relay *faultnet.Relay) {
	others := rnd.Perm(len(w.ms) - 1)
	draw := func(k int) []*member {
		var got []*member
		for _, i := range others {
			if m := w.ms[i+1]; m.running && len(got) < k {
				got = append(got, m)
			}
		}
		others = append(others[k:], others[:k]...)
		return got
	}
	susp := w.bound - 1000
	if o.Late > 0 {
		late := draw(o.Late)
		for _, m := range late { // past the direct probe's wait, within the period: nacks tell it is alive
			relay.DelaySender(w.index(m.r.Name), periodMs*2/5+20)
		}
		w.wait(ctx, w.bound)
		w.phase(ctx, fmt.Sprintf("%d answering late always", len(late)), nil)
	}
	if o.Flood > 0 {
		w.flood(ctx, rnd, o.Flood)
	}
	if o.Pause > 0 {
		ps := draw(o.Pause)
		for _, m := range ps {
			_ = m.r.cmd.Process.Signal(syscall.SIGSTOP)
			m.pausedUntil = time.Now().Add(time.Hour) // until resumed below
		}
		w.wait(ctx, susp+1000)
		for _, m := range ps {
			m.calm = time.Now().Add(time.Duration(w.bound) * time.Millisecond) // before it runs: its death is not yet refuted
			_ = m.r.cmd.Process.Signal(syscall.SIGCONT)
			m.pausedUntil = time.Time{}
		}
		w.phase(ctx, fmt.Sprintf("pause %d past suspicion", len(ps)), nil)
	}
	var killed []*member
	if o.Kill > 0 {
		killed = draw(o.Kill)
		for _, m := range killed {
			m.r.Kill()
			m.running = false
		}
		if !w.phase(ctx, fmt.Sprintf("kill %d", len(killed)), nil) {
			for _, m := range killed {
				for _, v := range w.views {
					for _, r := range v.Members {
						if r.Name == m.r.Name && r.Start == m.start && r.State <= membership.Suspect {
							w.res.MissedCrashes++
						}
					}
				}
			}
		}
	}
	switch o.Cut {
	case "zones":
		w.cut = func(a, b int) bool { return w.ms[a].zone != w.ms[b].zone }
		relay.Cut(w.cut)
		w.phase(ctx, "split into zones", func(v, s int) bool { return w.ms[s].running && w.cut != nil && !w.cut(v, s) })
		w.wait(ctx, o.SplitMs)
		w.phase(ctx, "each half right about itself", func(v, s int) bool { return w.ms[s].running && !w.cut(v, s) })
		relay.Cut(nil)
		w.cut = nil
		for _, m := range w.ms {
			m.calm = time.Now().Add(time.Duration(w.bound) * time.Millisecond)
		}
		w.phase(ctx, "heal", nil)
	case "oneway":
		a, b := 1, 2
		w.cut = func(x, y int) bool { return x == a && y == b }
		relay.Cut(w.cut)
		w.wait(ctx, o.SplitMs)
		relay.Cut(nil)
		w.cut = nil
		w.phase(ctx, "one-way cut healed", nil)
	}
	if len(killed) > 0 {
		m := killed[0]
		if err := m.r.Start(); err == nil {
			m.running, m.start = true, 0 // its new start is known from its own view only
			w.phase(ctx, "restart under the same name", nil)
		}
	}
	w.wait(ctx, 2*periodMs)
}

// flood sends n malformed datagrams (random bytes, some past the largest
// packet) straight at the first member's own socket, paced over about two
// seconds, then checks that the views stay settled and that the member
// counted the drops on its metrics page.
func (w *watcher) flood(ctx context.Context, rnd *rand.Rand, n int) {
	conn, err := net.DialUDP("udp4", nil, net.UDPAddrFromAddrPort(w.backs[0]))
	if err != nil {
		w.phase(ctx, "flood could not be sent: "+err.Error(), func(int, int) bool { return false })
		return
	}
	defer conn.Close()
	b := make([]byte, membership.Defaults().MaxPacketBytes+200)
	pace := time.NewTicker(10 * time.Millisecond)
	defer pace.Stop()
	for sent, ticks := 0, 0; sent < n && ctx.Err() == nil; ticks++ {
		if <-pace.C; ticks%10 == 0 { // judged as it goes: a death refuted at once is still seen
			w.poll()
		}
		for range max(1, n/200) {
			size := 1 + rnd.IntN(len(b))
			for i := range b[:size] {
				b[i] = byte(rnd.Uint32())
			}
			_, _ = conn.Write(b[:size])
			sent++
		}
	}
	w.phase(ctx, fmt.Sprintf("flood of %d malformed packets at one member", n), nil)
	w.res.FloodDropped = w.dropped(w.ms[0].admin)
}

// dropped sums what a member's transport dropped, from its metrics page.
func (w *watcher) dropped(admin string) uint64 {
	resp, err := w.client.Get("http://" + admin + "/metrics")
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	var sum uint64
	for sc := bufio.NewScanner(io.LimitReader(resp.Body, 1<<16)); sc.Scan(); {
		name, value, _ := strings.Cut(sc.Text(), " ")
		if n, err := strconv.ParseUint(value, 10, 64); err == nil && strings.HasPrefix(name, "membership_dropped_") &&
			name != "membership_dropped_send_errors" {
			sum += n
		}
	}
	return sum
}
