package udp

import (
	"context"
	"net/netip"
	"time"

	"lotusbend/internal/membership"
)

const (
	// tickInterval is less than a tenth of the default probe interval, as Node.Tick
	// requires.
	tickInterval = 10 * time.Millisecond
	// leaveDuration is the time, after the context ends, in which the update that
	// this member left is disseminated.
	leaveDuration     = 300 * time.Millisecond
	leaveTickInterval = 20 * time.Millisecond
)

// run passes packets and ticks to the Node until ctx ends, then leaves the fleet
// and closes the socket.
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

// nowMs returns the time in whole milliseconds.
func (t *Transport) nowMs() int64 { return int64(t.clock.Now()) }

// receive decodes a datagram and passes it to the Node, and its user data to the
// shared state. A malformed datagram is dropped and counted.
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

// tick advances the Node and the shared state.
func (t *Transport) tick() {
	now := t.nowMs()
	t.execute(t.node.Tick(now))
	t.publishView()
	t.tickShared(now)
}

// tickShared passes a changed view to the shared state and advances it.
func (t *Transport) tickShared(now int64) {
	if t.shared == nil {
		return
	}
	// Reading t.view without the lock is safe: only this goroutine writes it.
	if version := t.view.Version; version != t.sharedVersion || version == 0 {
		t.sharedVersion = version
		peers, size := t.node.Peers()
		t.shared.UpdatePeers(peers, size, now)
	}
	t.sendPayloads(t.shared.Tick(now), now)
}

// sendPayloads sends the payloads that the byte budget allows and drops the
// others. The shared state must tolerate lost datagrams anyway.
func (t *Transport) sendPayloads(payloads []Payload, now int64) {
	for _, payload := range payloads {
		ready, _ := t.node.SendUserData(payload.To, payload.Bytes, now)
		t.executeAndPublish(ready)
	}
}

// leave announces that this member leaves, and keeps ticking for leaveDuration so
// that the update is disseminated.
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

// executeAndPublish executes the result of an event and publishes the view if it
// changed. Publishing copies and sorts the view, which in a large fleet costs more
// than handling a packet, so it is not done for every packet.
func (t *Transport) executeAndPublish(ready membership.Ready) {
	t.execute(ready)
	if len(ready.Changes) > 0 {
		t.publishView()
	}
}

// execute sends the packets and logs the changes in the result of an event.
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

// send encodes a packet and writes it to the socket.
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

// logChange logs a change of the view; a name conflict needs an operator, so it is
// an error.
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

// changeName returns the name of the kind of a change of the view for the log.
func changeName(kind membership.ChangeKind) string {
	switch kind {
	case membership.Joined:
		return "joined"
	case membership.Forgotten:
		return "forgotten"
	}
	return "changed"
}

// publishView publishes a copy of the view for other goroutines. A changed size is
// sent to sizes before, so that it is available to any goroutine that has seen the
// view. It replaces an older size that was not received. The send cannot block:
// run is the only sender, and the channel was just emptied.
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
