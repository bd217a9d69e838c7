package pooling

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// backend is a small server of the extended protocol, by PostgreSQL's rules: a
// message fails by its statement's text.
type backend struct {
	statements map[string]string
	portals    map[string]string
	skipping   bool
}

func newBackend() *backend {
	return &backend{statements: map[string]string{}, portals: map[string]string{}}
}

// wireMessage is what a server gets.
type wireMessage struct {
	kind            byte
	statement, text string
	portal          string
	isPortal        bool
}

// take runs a message and returns its answers, each a kind and what it says.
func (b *backend) take(m wireMessage) []string {
	if m.kind == 'S' {
		b.skipping = false
		clear(b.portals)
		return []string{"Z"}
	}
	if b.skipping || m.kind == 'H' {
		return nil
	}
	fail := func(why string) []string {
		b.skipping = true
		return []string{"E:" + why}
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

// Several clients' pipelines over one connection: each client gets the answers
// that it would get on a connection of its own.
func TestPipelineMatchesPrivateConnection(t *testing.T) {
	texts := []string{"select 1", "select 2", "select 3", "a syntax error", "nobind 1", "noexec 1"}
	rapid.Check(t, func(t *rapid.T) {
		var catalog StatementCatalog
		onServer := &ConnectionStatements{Max: rapid.IntRange(1, 4).Draw(t, "most")}
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
					for _, reply := range shared.take(inTransit[0]) {
						r, ok := pipeline.FromServer(reply[0])
						if !ok {
							t.Fatalf("%q answers nothing", reply)
						}
						if r.Forward {
							got = append(got, reply)
						}
						for _, own := range r.Synthesized {
							got = append(got, string(own))
						}
					}
					inTransit = inTransit[1:]
				}
			}
			steps := rapid.IntRange(1, 12).Draw(t, "messages")
			for n := range steps {
				m := &ClientMessage{Kind: rapid.SampledFrom([]byte("PPBBEEDCSH")).Draw(t, "kind")}
				if n == steps-1 {
					m.Kind = 'S' // a turn ends with it
				}
				m.Statement = rapid.SampledFrom([]string{"", "s", "t"}).Draw(t, "statement")
				m.Portal = rapid.Bool().Draw(t, "portal")
				m.Text = rapid.SampledFrom(texts).Draw(t, "text")
				for !pipeline.Ready() {
					deliver(1)
				}
				w := wireMessage{m.Kind, m.Statement, m.Text, "", m.Portal}
				want = append(want, c.private.take(w)...)
				send, now := pipeline.FromClient(m)
				for _, s := range send {
					x := wireMessage{kind: s.Kind, statement: s.Name, text: s.Text, isPortal: m.Portal && s.ClientMessage != nil}
					if s.ClientMessage != nil {
						x.text = s.ClientMessage.Text
					}
					inTransit = append(inTransit, x)
				}
				for _, own := range now {
					got = append(got, string(own))
				}
				deliver(rapid.IntRange(0, 3).Draw(t, "delivered"))
			}
			deliver(len(inTransit))
			if !slices.Equal(got, want) {
				t.Fatalf("the client got %q, alone it would get %q", got, want)
			}
			if !pipeline.Idle() {
				t.Fatalf("%d messages are still pending", len(pipeline.pending))
			}
			for name, text := range c.private.statements {
				if st, err := c.names.Get(name); err != nil || st.Text != text {
					t.Fatalf("%q is %v, want %q", name, st, text)
				}
			}
			if len(c.names.byName) != len(c.private.statements) {
				t.Fatalf("%d names, want %d", len(c.names.byName), len(c.private.statements))
			}
			if len(shared.statements) != onServer.Len() {
				t.Fatalf("the server has %d statements, %d are recorded", len(shared.statements), onServer.Len())
			}
		}
	})
}

// A pipeline of 100 Executes whose 50th fails: 49 are answered, then the error,
// then nothing but the Sync's own answer.
func TestPipelineErrorInTheMiddle(t *testing.T) {
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
		for _, reply := range server.take(wireMessage{kind: s.Kind, statement: s.Name, text: s.ClientMessage.Text}) {
			if r, ok := pipeline.FromServer(reply[0]); !ok || !r.Forward {
				t.Fatalf("%q: %+v %t", reply, r, ok)
			}
			counts[reply[0]]++
		}
	}
	if counts['C'] != 49 || counts['E'] != 1 || counts['Z'] != 1 || !pipeline.Idle() {
		t.Errorf("%v", counts)
	}
}

func TestPipelineRejectsUnexpectedAnswer(t *testing.T) {
	var catalog StatementCatalog
	for _, c := range []struct{ sent, came byte }{{'B', '1'}, {'E', 'Z'}, {'S', 'C'}, {'D', '2'}} {
		pipeline := NewPipeline(&catalog, &ClientStatements{}, &ConnectionStatements{})
		pipeline.FromClient(&ClientMessage{Kind: c.sent, Portal: true})
		if _, ok := pipeline.FromServer(c.came); ok {
			t.Errorf("%c was answered by %c", c.sent, c.came)
		}
	}
	if _, ok := NewPipeline(&catalog, &ClientStatements{}, &ConnectionStatements{}).FromServer('Z'); ok {
		t.Error("an answer to nothing was taken")
	}
}

// Messages behind a Sync wait where an error before it would take back what
// they rest on: here a Close that the server passed over.
func TestPipelineWaitsBehindUncertainSync(t *testing.T) {
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
			for _, reply := range server.take(wireMessage{kind: s.Kind, statement: s.Name, text: text}) {
				r, ok := pipeline.FromServer(reply[0])
				if !ok {
					t.Fatalf("%q answers nothing", reply)
				}
				if r.Forward {
					received = append(received, reply)
				}
				for _, own := range r.Synthesized {
					received = append(received, string(own))
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
		for _, own := range now {
			received = append(received, string(own))
		}
	}
	deliver()
	if got := strings.Join(received, " "); got != "1 1 E:42P05 Z 1 Z" || waited != 1 {
		t.Errorf("received %q, waited %d times", got, waited)
	}
}
