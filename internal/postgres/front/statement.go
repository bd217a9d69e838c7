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
	// maxWaitMs is the longest timeout of a statement; a longer one that a client
	// requests is reduced to it.
	maxWaitMs = 60000
	// answerReserveBytes is reserved for the answer to a statement that starts
	// while earlier answers are pending or being sent. A value has at most 64 KiB.
	answerReserveBytes = 65 << 10
)

// statement is a queued command. A command that is answered without being submitted
// to the router has only client and reservedBytes.
type statement struct {
	client        *client
	command       *pipeline.Command[*statement]
	id            string // chosen by the client
	request       router.Request
	receivedAt    float64         // Unix milliseconds
	deadlineTimer *clock.Deadline // expires the statement while it is queued
	reservedBytes int             // in the server's queuedMemory
	runningHandle slotmap.Handle  // in server.running while the statement runs
	requestHandle slotmap.Handle  // of the request, for RequestHandler.ClientCancelled
}

// parse parses a statement and determines the access that decides its order of
// execution. problem is the text of the error to send to the client, "" if the
// statement is valid.
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
			TimeLeft:        min(fields.Wait, maxWaitMs),
		},
	}
	access = pipeline.Access{Group: fields.Group, Write: class.Write, Fresh: class.Fresh}
	if class.Write || class.Session {
		access.Session = parsed.request.Session
	}
	return parsed, access, ""
}

// sessionOf returns the session identifier derived from a row's key, 0 if the
// statement has no row key.
func sessionOf(rowKey []byte) uint64 {
	if len(rowKey) == 0 {
		return 0
	}
	hash := fnv.New64a()
	_, _ = hash.Write(rowKey) // never fails
	return max(hash.Sum64(), 1)
}

// start submits a statement, or answers it with an error if another statement with the
// same identifier may still run. timeLeft is the time until the client's
// deadline, in milliseconds.
func (c *client) start(next *statement, timeLeft float64) {
	server := c.server
	server.loop.Cancel(next.deadlineTimer)
	if !server.identifiers.take(next.id, server.loop.Now()) {
		next.answer(errorAnswer(wire.CodeSyntaxError, "the id of another request that is under way"))
		c.advance()
		return
	}
	next.command.Start()
	next.runningHandle = server.running.Add(next)
	next.request.TimeLeft = max(timeLeft, 0)
	submitted := server.handler.Submit(next.request, server, next.runningHandle)
	if next.command.Running() { // otherwise it was answered inside Submit
		next.requestHandle = submitted
	}
}

// removeRunning removes s from the server's running statements.
func (s *statement) removeRunning() {
	server := s.client.server
	server.running.Remove(s.runningHandle)
	server.identifiers.release(s.id)
}

// cancelRunning ends a running statement that its client no longer waits for. An
// endpoint may still execute it: the identifier of a write stays taken until the write's
// deadline, so that it does not run again if it is sent again.
func (s *statement) cancelRunning() {
	server := s.client.server
	s.removeRunning()
	if s.command.Write {
		server.identifiers.keep(s.id, server.loop.Now(), s.receivedAt+s.request.TimeLeft)
	}
	server.handler.ClientCancelled(s.requestHandle)
}

// answer sets the answer to s, which is sent once earlier commands are answered,
// and releases the text of the statement.
func (s *statement) answer(answer []byte) {
	s.request.Statement.Text = nil
	s.id = ""
	s.command.Answer(answer)
	s.setReservedBytes(commandOverheadBytes + len(answer))
}

// setReservedBytes changes the memory reservation of s to size bytes.
func (s *statement) setReservedBytes(size int) {
	s.client.server.queuedMemory.Reserve(size - s.reservedBytes)
	s.reservedBytes = size
}
