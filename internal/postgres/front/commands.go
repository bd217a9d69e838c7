package front

import (
	"bytes"
	"hash/fnv"
	"math"
	"strconv"

	"lotusbend/internal/clock"
	"lotusbend/internal/postgres/pipeline"
	"lotusbend/internal/postgres/wire"
	"lotusbend/internal/router"
	"lotusbend/internal/slotmap"
)

const (
	// maxWait bounds the wait that a client may state, in milliseconds.
	maxWait = 60000
	// writeTimeout ends a connection whose client does not read its answers, in
	// milliseconds.
	writeTimeout = 5000
	// commandSize is what a queued command holds beside its text or answer, in
	// bytes.
	commandSize = 256
	// answerReserve is booked for the answer to a statement that runs while an
	// earlier one is not answered yet: a value is 64 KiB at most.
	answerReserve = 65 << 10
	// sendSize is about how many bytes of answers leave at once; what is more
	// waits until these are with the system.
	sendSize = 64 << 10
)

// Answers that are the same to every client.
var (
	readyAnswer      = wire.AppendReady(nil)
	emptyAnswer      = wire.AppendReady(wire.AppendEmptyQuery(nil))
	extendedAnswer   = wire.AppendError(nil, "ERROR", wire.CodeUnsupported, "only simple queries are served", "")
	drainingAnswer   = errorAnswer(wire.CodeCannotConnectNow, "the router is stopping")
	overloadedAnswer = errorAnswer(wire.CodeTooManyConnections, "refused: too much was sent ahead of the answers")
	cancelledAnswer  = errorAnswer(wire.CodeCancelled, "canceling statement due to user request")
)

// maxErrorText bounds what an error quotes of a client's statement, in bytes:
// the answer may have to wait for its turn.
const maxErrorText = 200

func errorAnswer(code, message string) []byte {
	message = message[:min(len(message), maxErrorText)]
	return wire.AppendReady(wire.AppendError(nil, "ERROR", code, message, ""))
}

// statement is a command that may go to the router.
type statement struct {
	client  *client
	command *pipeline.Command[*statement]
	id      string // that its client gave it
	request router.Request
	came    float64         // when its last byte was read
	expires *clock.Deadline // of its client's wait, while it waits to start
	booked  int             // bytes of memory
	running slotmap.Handle  // its place among those that run
	submit  slotmap.Handle  // as the router calls it
}

// busy tells whether c has a command that is not answered, or an answer that
// is not with the system.
func (c *client) busy() bool { return c.queue.Len() > 0 || c.sending }

// receive takes one message. It runs inside Do. An error ends the connection
// after the answers to what came before.
func (c *client) receive(kind byte, body []byte) error {
	if c.closing { // a request that crosses our closing is sent again elsewhere
		return nil
	}
	switch {
	case kind == wire.Terminate:
		return errTerminate
	case kind == wire.Sync:
		c.skipping = false
		return c.reply(readyAnswer)
	case c.skipping, kind == wire.Flush:
		return nil
	case kind != wire.Query:
		c.skipping = true // up to its Sync, as PostgreSQL does
		return c.reply(extendedAnswer)
	}
	text, err := wire.Text(body)
	switch now := c.server.loop.Now(); {
	case err != nil:
		return c.reply(errorAnswer(wire.CodeProtocol, err.Error()))
	case empty(text):
		return c.reply(emptyAnswer)
	case c.server.draining && now > c.server.drainBegan+drainGrace:
		return c.reply(drainingAnswer)
	}
	return c.receiveStatement(text)
}

func empty(text []byte) bool {
	for _, b := range text {
		if b != ' ' && b != '\t' && b != '\r' && b != '\n' && b != ';' {
			return false
		}
	}
	return true
}

// receiveEnd notes why nothing more is read; the connection ends once what came
// before is answered.
func (c *client) receiveEnd(err error) {
	if c.closing {
		return
	}
	c.queue.AddAnswered(endAnswer(err), true, c.book(commandSize))
	c.sendAnswers()
}

// reply answers a command that is not executed, in its turn.
func (c *client) reply(answer []byte) error {
	if c.queue.Merge(answer) {
		return nil
	}
	if c.queue.Len() > 0 && !c.server.queued.Fits(commandSize+len(answer)) {
		return errMemory
	}
	c.addAnswered(answer)
	return nil
}

// refuse answers a statement for which no memory is left, in its turn. That
// needs none beyond what the commands before it hold.
func (c *client) refuse() {
	if !c.queue.Merge(overloadedAnswer) {
		c.addAnswered(overloadedAnswer)
	}
}

func (c *client) addAnswered(answer []byte) {
	c.queue.AddAnswered(answer, false, c.book(commandSize+len(answer)))
	c.sendAnswers()
	c.drainIfIdle()
}

// book returns a command's record, with so many bytes booked for it.
func (c *client) book(size int) *statement {
	c.server.queued.Book(size)
	return &statement{client: c, booked: size}
}

// rebook books another number of bytes for s.
func (s *statement) rebook(size int) {
	s.client.server.queued.Book(size - s.booked)
	s.booked = size
}

// receiveStatement queues a statement for the router. One for which no memory
// is left is refused in its turn: a connection may always have one.
func (c *client) receiveStatement(text []byte) error {
	if !c.active {
		c.active = true
		c.server.active++
	}
	size := commandSize + len(text)
	if c.queue.Len() > 0 && !c.server.queued.Fits(size) {
		c.refuse()
		return nil
	}
	text = bytes.Clone(text) // it must outlive the read buffer
	s, access, problem := c.parse(text)
	if problem != "" {
		return c.reply(errorAnswer(wire.CodeSyntax, problem))
	}
	c.server.queued.Book(size)
	s.booked, s.came = size, c.server.loop.Now()
	s.command = c.queue.Add(access, s)
	c.startCommands()
	if !s.command.Waiting() {
		return nil
	}
	// Past its time it needs no text and no attempt, only its answer in its turn.
	s.expires = c.server.loop.At(s.came+s.request.TimeLeft, func() { c.start(s, 0) })
	return nil
}

// parse reads a statement, and what tells of its order among others. A problem
// is told to the client.
func (c *client) parse(text []byte) (s *statement, access pipeline.Access, problem string) {
	parsed, err := wire.ParseStatement(text)
	if err != nil {
		return nil, access, err.Error()
	}
	class, ok := c.server.requests.Class(parsed.Class)
	if !ok {
		return nil, access, "unknown class " + strconv.Quote(string(parsed.Class))
	}
	if read := bytes.EqualFold(wire.Verb(text), []byte("SELECT")); read == class.Write {
		return nil, access, "the statement is not of its class " + strconv.Quote(string(parsed.Class))
	}
	if class.NeedsIdempotencyKey && !parsed.Keyed {
		return nil, access, "a statement without its idempotency key"
	}
	s = &statement{client: c, id: string(parsed.ID), request: router.Request{
		Statement: router.Statement{Text: text, WaitFrom: parsed.WaitAt, WaitTo: parsed.WaitTo},
		Class:     class.Number, Group: parsed.Cluster, Session: session(parsed.Key), SessionCommitAt: parsed.After,
		TimeLeft: min(parsed.Wait, maxWait),
	}}
	access = pipeline.Access{Group: parsed.Cluster, Write: class.Write, Fresh: class.Fresh}
	if class.Write || class.Session {
		access.Session = s.request.Session
	}
	return s, access, ""
}

func session(key []byte) uint64 {
	if len(key) == 0 {
		return 0
	}
	h := fnv.New64a()
	_, _ = h.Write(key) // never fails
	return max(h.Sum64(), 1)
}

// startCommands hands the router what may run now. The oldest command runs
// whatever else is there; others as long as memory for their answers is left.
func (c *client) startCommands() {
	if c.starting { // the router answered at once, inside the loop below
		return
	}
	c.starting = true
	defer func() { c.starting = false }()
	for !c.released && !c.closing {
		command, oldest := c.queue.NextStart()
		if command == nil {
			return
		}
		s := command.Value
		if !oldest || c.sending {
			if !c.server.queued.Fits(answerReserve) {
				return
			}
			s.rebook(s.booked + answerReserve)
		}
		c.start(s, s.request.TimeLeft-(c.server.loop.Now()-s.came))
	}
}

// start hands s to the router, with what is left of its client's wait.
func (c *client) start(s *statement, wait float64) {
	server := c.server
	server.loop.Cancel(s.expires)
	// An answer could not be told from that to the other's, here or at a host.
	if _, taken := server.ids[s.id]; taken {
		s.answer(errorAnswer(wire.CodeSyntax, "the id of another request that is under way"))
		c.advance()
		return
	}
	server.ids[s.id] = struct{}{}
	s.command.Start()
	s.running = server.running.Add(s)
	s.request.TimeLeft = max(wait, 0)
	submitted := server.requests.Submit(s.request, server, s.running)
	if s.command.Running() { // else it has been answered already
		s.submit = submitted
	}
}

// Answer implements router.Client; the reference names a statement that runs.
func (s *Server) Answer(ref slotmap.Handle, a router.Answer) {
	if st := s.running.Get(ref); st != nil {
		st.stop()
		st.answer(wire.AppendReady(appendAnswer(nil, a)))
		st.client.advance()
	}
}

// stop takes s off those that run.
func (s *statement) stop() {
	server := s.client.server
	server.running.Remove(s.running)
	delete(server.ids, s.id)
}

// answer keeps the answer to s until its turn, and nothing longer of what its
// client sent.
func (s *statement) answer(b []byte) {
	s.request.Statement.Text, s.id = nil, ""
	s.command.Answer(b)
	s.rebook(commandSize + len(b))
}

// advance goes on with the queue after an answer to one of its commands.
func (c *client) advance() {
	c.sendAnswers()
	c.startCommands()
	if !c.busy() && !c.closing {
		c.beginIdle()
		c.drainIfIdle()
	}
}

// sendAnswers sends the answers whose turn has come. Further ones wait until
// these are with the system: a client that does not read holds no more.
func (c *client) sendAnswers() {
	if c.sending || c.released || c.closing {
		return
	}
	b, done, last := c.queue.NextAnswers(sendSize)
	for _, command := range done {
		command.Value.rebook(0)
	}
	loop := c.server.loop
	if len(b) > 0 {
		c.sending = true
		c.conn.Send(b, func(err error) { loop.Do(func() { c.sent(err) }) })
		loop.Cancel(c.closeBy)
		c.closeBy = loop.At(loop.Now()+writeTimeout, c.conn.Close)
	}
	if last {
		c.halfClose()
	}
}

// sent goes on once answers have left. Where they never did, the client has
// gone or is cut off, and nothing more is done for it.
func (c *client) sent(err error) {
	c.sending = false
	switch {
	case err != nil:
		c.disconnected()
		return
	case c.released:
		return
	case c.closing: // its time to go begins
		c.awaitClose()
		return
	}
	c.server.loop.Cancel(c.closeBy)
	c.advance()
	c.server.evictIdle()
}

// cancel ends the oldest statement that runs on the connection that a
// CancelRequest names: no attempt for it begins any more.
func (s *Server) cancel(process, secret uint32) {
	c := s.clients.AtSlot(process)
	if c == nil || c.secret != secret {
		return
	}
	command := c.queue.FirstRunning()
	if command == nil {
		return
	}
	st := command.Value
	st.stop()
	s.requests.ClientCancelled(st.submit)
	st.answer(cancelledAnswer)
	c.advance()
}

// abandonCommands forgets what a client that has gone has asked for.
func (c *client) abandonCommands() {
	c.queue.Each(func(command *pipeline.Command[*statement]) {
		s := command.Value
		s.rebook(0)
		c.server.loop.Cancel(s.expires)
		if command.Running() {
			s.stop()
			c.server.requests.ClientCancelled(s.submit)
		}
	})
	c.queue.Clear()
}

func appendAnswer(b []byte, a router.Answer) []byte {
	switch a.Verdict {
	case router.Served:
		b = wire.AppendRowDescription(b, wire.Column{
			Name: a.Row.Column, Type: a.Row.Type, Size: a.Row.Size, Binary: a.Row.Binary,
		})
		b = wire.AppendDataRow(b, a.Row.Value)
		return wire.AppendComplete(b, a.Row.Tag)
	case router.Rejected:
		detail := ""
		if a.RetryAfter > 0 {
			detail = strconv.Itoa(int(math.Floor(a.RetryAfter)))
		}
		return wire.AppendError(b, "ERROR", wire.CodeTooManyConnections, "refused: try again later", detail)
	}
	return wire.AppendError(b, "ERROR", wire.CodeCancelled, "the request failed; it may have had an effect", "")
}
