package udp

import (
	"context"
	"net/netip"
	"time"

	"lotusbend/internal/membership"
)

const (
	// tickInterval is at most a tenth of the default probe interval.
	tickInterval = 10 * time.Millisecond
	// leaveDuration is for how long, after the context ends, the update that this
	// member left is disseminated.
	leaveDuration     = 300 * time.Millisecond
	leaveTickInterval = 20 * time.Millisecond
)

// run owns the protocol's Node: it feeds it packets and ticks until ctx ends,
// then leaves the fleet and closes the socket.
func (t *Transport) run(ctx context.Context) {
	defer t.conn.Close()
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	t.execute(t.node.Join(t.seeds, t.nowMs()))
	t.publishView()
	for {
		select {
		case <-ctx.Done():
			t.leave()
			return
		case d, open := <-t.received:
			if !open {
				return
			}
			t.receive(d)
		case <-ticker.C:
			t.tick()
		}
	}
}

// nowMs is the time in the protocol's form, milliseconds.
func (t *Transport) nowMs() int64 { return int64(t.clock.Now()) }

// receive decodes a datagram and hands it to the protocol, and its user data to
// the shared state.
func (t *Transport) receive(d datagram) {
	m, err := t.codec.Decode(d.content)
	if err != nil {
		t.counters.Malformed.Add(1)
		return
	}
	now := t.nowMs()
	ready := t.node.Receive(d.from.String(), m, now)
	t.executeAndPublish(ready)
	if ready.UserData != nil && t.shared != nil {
		t.sendPayloads(t.shared.Receive(ready.From, ready.UserData, now), now)
	}
}

// tick advances the protocol and the shared state.
func (t *Transport) tick() {
	now := t.nowMs()
	t.execute(t.node.Tick(now))
	t.publishView()
	t.tickShared(now)
}

// tickShared advances the shared state, after notifying it of a changed view.
func (t *Transport) tickShared(now int64) {
	if t.shared == nil {
		return
	}
	// Only this goroutine writes t.view.
	if version := t.view.Version; version != t.sharedVersion || version == 0 {
		t.sharedVersion = version
		peers, size := t.node.Peers()
		t.shared.UpdatePeers(peers, size, now)
	}
	t.sendPayloads(t.shared.Tick(now), now)
}

// sendPayloads sends what the byte budget allows; the rest is lost, as any
// datagram may be.
func (t *Transport) sendPayloads(payloads []Payload, now int64) {
	for _, payload := range payloads {
		ready, _ := t.node.SendUserData(payload.To, payload.Bytes, now)
		t.executeAndPublish(ready)
	}
}

// leave announces that this member leaves, and ticks on for a while so that the
// update is disseminated.
func (t *Transport) leave() {
	t.execute(t.node.Leave(t.nowMs()))
	t.publishView()
	end := time.Now().Add(leaveDuration)
	for time.Now().Before(end) {
		time.Sleep(leaveTickInterval)
		t.execute(t.node.Tick(t.nowMs()))
		t.publishView()
	}
}

// executeAndPublish executes what an event requires and publishes the view if it
// changed. The view is copied and sorted on a change or a tick, not on every
// packet: with many members a copy a packet would cost more than the packet.
func (t *Transport) executeAndPublish(ready membership.Ready) {
	t.execute(ready)
	if len(ready.Changes) > 0 {
		t.publishView()
	}
}

// execute sends the packets and logs the changes that an event requires.
func (t *Transport) execute(ready membership.Ready) {
	for _, packet := range ready.Packets {
		if err := t.send(packet); err != nil {
			t.counters.SendErrors.Add(1)
		}
	}
	for _, change := range ready.Changes {
		t.logChange(change)
	}
}

// send writes a packet to the socket.
func (t *Transport) send(packet membership.Packet) error {
	encoded, err := t.codec.Encode(packet.Message)
	if err != nil {
		return err
	}
	to, err := netip.ParseAddrPort(packet.To)
	if err != nil {
		return err
	}
	_, err = t.conn.WriteToUDPAddrPort(encoded, to)
	return err
}

func (t *Transport) logChange(change membership.Change) {
	member := change.Member
	if change.Kind == membership.Conflict {
		t.log.Error("name conflict", "addr", member.Addr, "start", member.Start)
		return
	}
	t.log.Info("view changed",
		"member", member.Name,
		"addr", member.Addr,
		"zone", member.Zone,
		"state", member.State.String(),
		"was", change.Previous.String(),
		"incarnation", member.Incarnation,
		"change", changeName(change.Kind))
}

func changeName(kind membership.ChangeKind) string {
	switch kind {
	case membership.Joined:
		return "joined"
	case membership.Forgotten:
		return "forgotten"
	}
	return "changed"
}

// publishView copies the protocol's view for other goroutines. A changed size is
// offered first: whoever sees a view finds its size offered. An older size not
// yet received is replaced; the send cannot block, as run is the only sender.
func (t *Transport) publishView() {
	view := t.node.View()
	if view.Fleet.High != t.offeredSize {
		t.offeredSize = view.Fleet.High
		select {
		case <-t.sizes:
		default:
		}
		t.sizes <- t.offeredSize
	}
	t.mu.Lock()
	t.view = view
	t.mu.Unlock()
}
