package lab

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"syscall"
	"time"

	"lotusbend/internal/membership"
)

// fleetviewRun is the state of one run of the drill.
type fleetviewRun struct {
	FleetviewDrill
	*viewWatcher
	rand       *rand.Rand
	candidates []int // all members but the first, in the order in which faults use them
}

// runPhases injects the faults that the options ask for, in a fixed order. The members
// to delay, pause and kill are drawn from the seed; the first member, the seed node of
// the others, is never one of them.
func (r *fleetviewRun) runPhases(ctx context.Context) {
	r.phase(ctx, "join", nil)
	for _, i := range r.rand.Perm(len(r.fleet.members) - 1) {
		r.candidates = append(r.candidates, i+1)
	}
	if r.Late > 0 {
		r.delayMembers(ctx)
	}
	if r.Flood > 0 {
		r.floodMember(ctx)
	}
	if r.Pause > 0 {
		r.pauseMembers(ctx)
	}
	var killed []*member
	if r.Kill > 0 {
		killed = r.killMembers(ctx)
	}
	switch r.Cut {
	case "zones":
		r.splitZones(ctx)
	case "oneway":
		r.cutOneWay(ctx)
	}
	if len(killed) > 0 {
		r.restartMember(ctx, killed[0])
	}
	r.pollFor(ctx, 2*probePeriodMs)
}

// drawMembers returns the first count candidates that run, or fewer if fewer run. It then
// moves the first count candidates to the end. count must not exceed their number.
func (r *fleetviewRun) drawMembers(count int) []*member {
	var drawn []*member
	for _, i := range r.candidates {
		if m := r.fleet.members[i]; m.running && len(drawn) < count {
			drawn = append(drawn, m)
		}
	}
	r.candidates = append(r.candidates[count:], r.candidates[:count]...)
	return drawn
}

// delayMembers delays all packets of some members for the rest of the run, beyond the
// timeout of a direct probe but within the probe period, so that nacks show that the
// members are alive.
func (r *fleetviewRun) delayMembers(ctx context.Context) {
	delayed := r.drawMembers(r.Late)
	for _, m := range delayed {
		r.fleet.relay.DelaySender(r.memberIndex(m.router.Name), probePeriodMs*2/5+20)
	}
	r.pollFor(ctx, r.boundMs)
	r.phase(ctx, fmt.Sprintf("%d answering late always", len(delayed)), nil)
}

// floodMember sends malformed datagrams (random bytes, some longer than the largest
// packet) directly to the first member's socket, over at most four seconds. Afterwards
// the views must still be settled, and the member must have counted the drops.
func (r *fleetviewRun) floodMember(ctx context.Context) {
	conn, err := net.DialUDP("udp4", nil, net.UDPAddrFromAddrPort(r.fleet.sockets[0]))
	if err != nil {
		never := func(int, int) bool { return false }
		r.phase(ctx, "flood could not be sent: "+err.Error(), never)
		return
	}
	defer conn.Close()
	buffer := make([]byte, membership.Defaults().MaxPacketBytes+200)
	tick := time.NewTicker(10 * time.Millisecond)
	defer tick.Stop()
	sent := 0
	for ticks := 0; sent < r.Flood && ctx.Err() == nil; ticks++ {
		<-tick.C
		if ticks%10 == 0 { // poll often enough to see a death that is refuted at once
			r.poll()
		}
		for range max(1, r.Flood/200) {
			datagram := buffer[:1+r.rand.IntN(len(buffer))]
			for i := range datagram {
				datagram[i] = byte(r.rand.Uint32())
			}
			_, _ = conn.Write(datagram)
			sent++
		}
	}
	r.phase(ctx, fmt.Sprintf("flood of %d malformed packets at one member", r.Flood), nil)
	r.result.FloodDropped = r.droppedPackets(r.fleet.members[0])
}

// pauseMembers pauses members for boundMs, which is longer than their suspicion, and
// resumes them.
func (r *fleetviewRun) pauseMembers(ctx context.Context) {
	paused := r.drawMembers(r.Pause)
	for _, m := range paused {
		m.router.signal(syscall.SIGSTOP)
		m.pausedUntil = time.Now().Add(time.Hour) // until the resume below
	}
	r.pollFor(ctx, r.boundMs)
	for _, m := range paused {
		// Set before the resume: until the member has refuted its death, others may see it as dead.
		m.settlingUntil = time.Now().Add(r.bound())
		m.router.signal(syscall.SIGCONT)
		m.pausedUntil = time.Time{}
	}
	r.phase(ctx, fmt.Sprintf("pause %d past suspicion", len(paused)), nil)
}

// killMembers kills members at once and returns them.
func (r *fleetviewRun) killMembers(ctx context.Context) []*member {
	killed := r.drawMembers(r.Kill)
	for _, m := range killed {
		m.router.Kill()
		m.running = false
	}
	if !r.phase(ctx, fmt.Sprintf("kill %d", len(killed)), nil) {
		for _, m := range killed {
			r.result.MissedCrashes += r.countSeenAlive(m)
		}
	}
	return killed
}

// countSeenAlive returns in how many views of the last poll the instance of m is alive or
// suspect.
func (r *fleetviewRun) countSeenAlive(m *member) (count int) {
	for _, view := range r.views {
		for _, update := range view.Members {
			if update.Name == m.router.Name && update.Start == m.start && update.State <= membership.Suspect {
				count++
			}
		}
	}
	return count
}

// splitZones cuts all links between the zones. It heals the cut SplitMs after the views
// of each zone have settled on its own members.
func (r *fleetviewRun) splitZones(ctx context.Context) {
	r.cut = r.fleet.cut("zones")
	r.fleet.relay.Cut(r.cut)
	sameZone := func(viewer, subject int) bool {
		return r.fleet.members[subject].running && !r.cut(viewer, subject)
	}
	r.phase(ctx, "split into zones", sameZone)
	r.pollFor(ctx, r.SplitMs)
	r.phase(ctx, "each half right about itself", sameZone)
	r.fleet.relay.Cut(nil)
	r.cut = nil
	for _, m := range r.fleet.members {
		m.settlingUntil = time.Now().Add(r.bound())
	}
	r.phase(ctx, "heal", nil)
}

// cutOneWay drops what the second member sends to the third for SplitMs. Indirect probes
// through the others must keep the third alive.
func (r *fleetviewRun) cutOneWay(ctx context.Context) {
	r.cut = func(from, to int) bool { return from == 1 && to == 2 }
	r.fleet.relay.Cut(r.cut)
	r.pollFor(ctx, r.SplitMs)
	r.fleet.relay.Cut(nil)
	r.cut = nil
	r.phase(ctx, "one-way cut healed", nil)
}

// restartMember restarts a killed member under its old name, as a new instance.
func (r *fleetviewRun) restartMember(ctx context.Context, m *member) {
	if err := m.router.Start(); err != nil {
		r.log.Error("router restart failed", "router", m.router.Name, "error", err)
		return
	}
	m.running = true
	m.start = 0 // unknown until its own view reports it
	r.phase(ctx, "restart under the same name", nil)
}
