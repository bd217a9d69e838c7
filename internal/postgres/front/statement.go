package front

import (
	"bytes"
	"hash/fnv"
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
	// answerReserve is booked, in bytes, for the answer to a statement that runs
	// while an earlier one is not answered yet: a value is 64 KiB at most.
	answerReserve = 65 << 10
)

// statement is a command that may be submitted to the router.
type statement struct {
	client        *client
	command       *pipeline.Command[*statement]
	id            string // its client's identifier
	request       router.Request
	receivedAt    float64         // Unix milliseconds
	deadlineTimer *clock.Deadline // its client's deadline, until it is submitted
	bookedBytes   int             // of memory
	running       slotmap.Handle  // among the server's running statements
	submitted     slotmap.Handle  // the router's name for it
}

// parse reads a statement and what decides its order among others. A problem,
// "" if there is none, is the text of an error for the client.
func (c *client) parse(text []byte) (parsed *statement, access pipeline.Access, problem string) {
	fields, err := wire.ParseStatement(text)
	if err != nil {
		return nil, access, err.Error()
	}
	class, ok := c.server.handler.Class(fields.Class)
	if !ok {
		return nil, access, "unknown class " + strconv.Quote(string(fields.Class))
	}
	isRead := bytes.EqualFold(wire.Verb(text), []byte("SELECT"))
	if isRead == class.Write {
		return nil, access, "the statement is not of its class " + strconv.Quote(string(fields.Class))
	}
	if class.NeedsIdempotencyKey && !fields.HasIdempotencyKey {
		return nil, access, "a statement without its idempotency key"
	}
	parsed = &statement{
		client: c,
		id:     string(fields.ID),
		request: router.Request{
			Statement:       router.Statement{Text: text, WaitFrom: fields.WaitFrom, WaitTo: fields.WaitTo},
			Class:           class.Number,
			Group:           fields.Group,
			Session:         sessionOf(fields.RowKey),
			SessionCommitAt: fields.SessionCommitAt,
			TimeLeft:        min(fields.Wait, maxWait),
		},
	}
	access = pipeline.Access{Group: fields.Group, Write: class.Write, Fresh: class.Fresh}
	if class.Write || class.Session {
		access.Session = parsed.request.Session
	}
	return parsed, access, ""
}

// sessionOf returns the session of a row's key, 0 for none.
func sessionOf(rowKey []byte) uint64 {
	if len(rowKey) == 0 {
		return 0
	}
	hash := fnv.New64a()
	_, _ = hash.Write(rowKey) // never fails
	return max(hash.Sum64(), 1)
}

// start submits a statement, with the milliseconds that its client still waits.
func (c *client) start(next *statement, timeLeft float64) {
	server := c.server
	server.loop.Cancel(next.deadlineTimer)
	// With the identifier of another running statement, neither this router nor
	// an endpoint could tell their answers apart.
	if _, taken := server.runningIDs[next.id]; taken {
		next.answer(errorAnswer(wire.CodeSyntaxError, "the id of another request that is under way"))
		c.advance()
		return
	}
	server.runningIDs[next.id] = struct{}{}
	next.command.Start()
	next.running = server.running.Add(next)
	next.request.TimeLeft = max(timeLeft, 0)
	submitted := server.handler.Submit(next.request, server, next.running)
	if next.command.Running() { // else it has been answered already
		next.submitted = submitted
	}
}

// stop removes s from the running statements.
func (s *statement) stop() {
	server := s.client.server
	server.running.Remove(s.running)
	delete(server.runningIDs, s.id)
}

// answer keeps the answer to s until its turn, and drops what its client sent.
func (s *statement) answer(answer []byte) {
	s.request.Statement.Text = nil
	s.id = ""
	s.command.Answer(answer)
	s.rebook(commandSize + len(answer))
}

// rebook books another number of bytes for s.
func (s *statement) rebook(size int) {
	s.client.server.queuedMemory.Reserve(size - s.bookedBytes)
	s.bookedBytes = size
}
