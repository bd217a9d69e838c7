package pooling

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// backend simulates a PostgreSQL server of the extended protocol. The text of a
// statement determines which of its messages fail.
type backend struct {
	statements map[string]string
	portals    map[string]string
	skipping   bool // skips all messages up to the next Sync
}

func newBackend() *backend {
	return &backend{statements: map[string]string{}, portals: map[string]string{}}
}

// wireMessage is a message that a server receives.
type wireMessage struct {
	kind            byte
	statement, text string
	portal          string
	isPortal        bool
}

// handle processes a message and returns the responses, each as its message type
// and an optional content.
func (b *backend) handle(m wireMessage) []string {
	if m.kind == 'S' {
		b.skipping = false
		clear(b.portals)
		return []string{"Z"}
	}
	if b.skipping || m.kind == 'H' {
		return nil
	}
	fail := func(sqlState string) []string {
		b.skipping = true
		return []string{"E:" + sqlState}
	}
	switch m.kind {
	case 'P':
		if m.statement == "" {
			delete(b.statements, "")
		} else if _, ok := b.statements[m.statement]; ok {
			return fail("42P05")
		}
		if strings.Contains(m.text, "syntax") {
			return fail("42601")
		}
		b.statements[m.statement] = m.text
		return []string{"1"}
	case 'B':
		text, ok := b.statements[m.statement]
		if !ok {
			return fail("26000")
		}
		if strings.Contains(text, "nobind") {
			return fail("22P02")
		}
		b.portals[m.portal] = text
		return []string{"2"}
	case 'D':
		text, ok := b.statements[m.statement]
		if m.isPortal {
			if text, ok = b.portals[m.portal]; !ok {
				return fail("34000")
			}
			return []string{"T:" + text}
		}
		if !ok {
			return fail("26000")
		}
		return []string{"t:" + text, "n"}
	case 'E':
		text, ok := b.portals[m.portal]
		if !ok {
			return fail("34000")
		}
		if strings.Contains(text, "noexec") {
			return []string{"D:" + text, fail("23505")[0]}
		}
		return []string{"D:" + text, "C:" + text}
	case 'C':
		if m.isPortal {
			delete(b.portals, m.portal)
		} else {
			delete(b.statements, m.statement)
		}
		return []string{"3"}
	}
	return nil
}

// Several clients use one connection in turn: each must receive the responses
// that it would receive on a connection of its own.
func TestPipelineMatchesPrivateConnection(t *testing.T) {
	texts := []string{"select 1", "select 2", "select 3", "a syntax error", "nobind 1", "noexec 1"}
	rapid.Check(t, func(t *rapid.T) {
		var catalog StatementCatalog
		onServer := &ConnectionStatements{Max: rapid.IntRange(1, 4).Draw(t, "max statements")}
		shared := newBackend()
		type client struct {
			names   *ClientStatements
			private *backend
		}
		clients := make([]client, rapid.IntRange(1, 3).Draw(t, "clients"))
		for i := range clients {
			clients[i] = client{&ClientStatements{}, newBackend()}
		}
		for range rapid.IntRange(1, 12).Draw(t, "turns") {
			c := rapid.SampledFrom(clients).Draw(t, "client")
			if rapid.IntRange(0, 6).Draw(t, "ddl") == 0 {
				catalog.SchemaChanged()
			}
			pipeline := NewPipeline(&catalog, c.names, onServer)
			var want, got []string
			var inTransit []wireMessage
			deliver := func(n int) {
				for ; n > 0 && len(inTransit) > 0; n-- {
					for _, response := range shared.handle(inTransit[0]) {
						action, ok := pipeline.FromServer(response[0])
						if !ok {
							t.Fatalf("FromServer rejected %q", response)
						}
						if action.Forward {
							got = append(got, response)
						}
						for _, synthesized := range action.Synthesized {
							got = append(got, string(synthesized))
						}
					}
					inTransit = inTransit[1:]
				}
			}
			steps := rapid.IntRange(1, 12).Draw(t, "messages")
			for n := range steps {
				m := &ClientMessage{Kind: rapid.SampledFrom([]byte("PPBBEEDCSH")).Draw(t, "kind")}
				if n == steps-1 {
					m.Kind = 'S' // a turn ends with a Sync
				}
				m.Statement = rapid.SampledFrom([]string{"", "s", "t"}).Draw(t, "statement")
				m.Portal = rapid.Bool().Draw(t, "portal")
				m.Text = rapid.SampledFrom(texts).Draw(t, "text")
				for !pipeline.Ready() {
					deliver(1)
				}
				direct := wireMessage{m.Kind, m.Statement, m.Text, "", m.Portal}
				want = append(want, c.private.handle(direct)...)
				send, now := pipeline.FromClient(m)
				for _, s := range send {
					sent := wireMessage{kind: s.Kind, statement: s.Name, text: s.Text, isPortal: m.Portal && s.ClientMessage != nil}
					if s.ClientMessage != nil {
						sent.text = s.ClientMessage.Text
					}
					inTransit = append(inTransit, sent)
				}
				for _, synthesized := range now {
					got = append(got, string(synthesized))
				}
				deliver(rapid.IntRange(0, 3).Draw(t, "delivered"))
			}
			deliver(len(inTransit))
			if !slices.Equal(got, want) {
				t.Fatalf("client received %q, want %q as on a private connection", got, want)
			}
			if !pipeline.Idle() {
				t.Fatalf("%d responses are pending after a Sync, want 0", len(pipeline.pending))
			}
			for name, text := range c.private.statements {
				if prepared, err := c.names.Get(name); err != nil || prepared.Text != text {
					t.Fatalf("Get(%q) = %v, %v, want text %q", name, prepared, err, text)
				}
			}
			if len(c.names.byName) != len(c.private.statements) {
				t.Fatalf("client has %d statement names, want %d", len(c.names.byName), len(c.private.statements))
			}
			if len(shared.statements) != onServer.Len() {
				t.Fatalf("ConnectionStatements has %d statements, want %d as on the server", onServer.Len(), len(shared.statements))
			}
		}
	})
}

// The 50th of 100 Executes in one pipeline fails: the client must receive 49
// results, the error and then only the response to the Sync.
func TestPipelineSkipsToSyncAfterError(t *testing.T) {
	var catalog StatementCatalog
	pipeline := NewPipeline(&catalog, &ClientStatements{}, &ConnectionStatements{})
	server := newBackend()
	counts := map[byte]int{}
	var sends []ServerMessage
	for i := range 100 {
		text := fmt.Sprint("select ", i)
		if i == 49 {
			text = "noexec"
		}
		for _, m := range []*ClientMessage{{Kind: 'P', Text: text}, {Kind: 'B'}, {Kind: 'E'}} {
			s, _ := pipeline.FromClient(m)
			sends = append(sends, s...)
		}
	}
	s, _ := pipeline.FromClient(&ClientMessage{Kind: 'S'})
	for _, s := range append(sends, s...) {
		for _, response := range server.handle(wireMessage{kind: s.Kind, statement: s.Name, text: s.ClientMessage.Text}) {
			if action, ok := pipeline.FromServer(response[0]); !ok || !action.Forward {
				t.Fatalf("FromServer(%q) = %+v, %t, want it forwarded", response, action, ok)
			}
			counts[response[0]]++
		}
	}
	if counts['C'] != 49 || counts['E'] != 1 || counts['Z'] != 1 || !pipeline.Idle() {
		t.Errorf("messages by type %v, idle %t, want C: 49, E: 1, Z: 1 and an idle pipeline", counts, pipeline.Idle())
	}
}

func TestPipelineRejectsUnexpectedResponse(t *testing.T) {
	var catalog StatementCatalog
	for _, c := range []struct{ sent, received byte }{{'B', '1'}, {'E', 'Z'}, {'S', 'C'}, {'D', '2'}} {
		pipeline := NewPipeline(&catalog, &ClientStatements{}, &ConnectionStatements{})
		pipeline.FromClient(&ClientMessage{Kind: c.sent, Portal: true})
		if _, ok := pipeline.FromServer(c.received); ok {
			t.Errorf("FromServer(%c) was accepted as response to %c", c.received, c.sent)
		}
	}
	if _, ok := NewPipeline(&catalog, &ClientStatements{}, &ConnectionStatements{}).FromServer('Z'); ok {
		t.Error("FromServer(Z) was accepted by an empty pipeline")
	}
}

// Messages after a Sync must wait if an error before the Sync would undo changes
// on which they depend, here a Close that the server skipped.
func TestPipelineWaitsForSyncThatMayUndoChanges(t *testing.T) {
	var catalog StatementCatalog
	pipeline := NewPipeline(&catalog, &ClientStatements{}, &ConnectionStatements{Max: 1})
	server := newBackend()
	var received []string
	var inTransit []ServerMessage
	deliver := func() {
		for _, s := range inTransit {
			text := s.Text
			if s.ClientMessage != nil {
				text = s.ClientMessage.Text
			}
			for _, response := range server.handle(wireMessage{kind: s.Kind, statement: s.Name, text: text}) {
				action, ok := pipeline.FromServer(response[0])
				if !ok {
					t.Fatalf("FromServer rejected %q", response)
				}
				if action.Forward {
					received = append(received, response)
				}
				for _, synthesized := range action.Synthesized {
					received = append(received, string(synthesized))
				}
			}
		}
		inTransit = nil
	}
	waited := 0
	for _, m := range []*ClientMessage{{Kind: 'P', Text: "select 1"}, {Kind: 'P', Statement: "s", Text: "select 1"},
		{Kind: 'P', Statement: "s", Text: "select 1"},
		{Kind: 'P', Text: "select 2"}, {Kind: 'S'}, {Kind: 'P', Text: "select 1"}, {Kind: 'S'}} {
		if !pipeline.Ready() {
			waited++
			deliver()
		}
		send, now := pipeline.FromClient(m)
		inTransit = append(inTransit, send...)
		for _, synthesized := range now {
			received = append(received, string(synthesized))
		}
	}
	deliver()
	if got := strings.Join(received, " "); got != "1 1 E:42P05 Z 1 Z" || waited != 1 {
		t.Errorf("received %q and waited %d times, want %q and 1", got, waited, "1 1 E:42P05 Z 1 Z")
	}
}
