package edge

import (
	"github.com/plgd-dev/go-coap/v3/message/codes"

	"lotusbend/internal/edge/intake"
	"lotusbend/internal/router"
)

const (
	// maxReadsInFlight bounds the reads of all devices together; more are
	// rejected.
	maxReadsInFlight = 256
	// maxCoAPValueBytes is the longest value in a CoAP response, which must fit
	// into one datagram.
	maxCoAPValueBytes = 1024
	// maxRowNameBytes is the longest name of a row that may be read.
	maxRowNameBytes = 64
)

// pendingRead is a device's request for a value that waits for its answer.
type pendingRead struct {
	protocol protocol
	token    uint64 // identifies the request to the protocol's server
}

// startRead submits a read of the row that a device names. match selects the
// route. Call it inside Do.
func (e *Edge) startRead(proto protocol, token uint64, match, row string) {
	index, known := e.routeByMatch[match]
	if !known || e.routes[index].Read == "" || !isRowName(row) {
		e.loop.Post(func() { e.answerRead(proto, token, intake.Invalid, 0, nil) })
		return
	}
	if e.readsInFlight >= maxReadsInFlight || e.draining {
		e.loop.Post(func() {
			e.answerRead(proto, token, intake.Rejected, e.options.Intake.MinRetryAfter, nil)
		})
		return
	}
	e.readsInFlight++
	route := &e.routes[index]
	text := []byte("SELECT doc FROM " + route.Table + " WHERE id = '" + row + "'")
	group := route.Groups[0]
	if len(route.Groups) > 1 {
		group = intake.GroupOf(route.Groups, row)
	}
	statement := &pendingStatement{read: &pendingRead{protocol: proto, token: token}}
	e.submit(statement, route.read, route.Read, text, "", group, e.options.Intake.CheckTimeout)
}

// isRowName reports whether a device's text is a valid row name. Such a name
// contains no character that could end the string literal in a statement.
func isRowName(name string) bool {
	for _, c := range name {
		letter := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z'
		digit := c >= '0' && c <= '9'
		if !letter && !digit && c != '-' && c != '_' {
			return false
		}
	}
	return len(name) > 0 && len(name) <= maxRowNameBytes
}

// finishRead answers a read with the outcome of its statement.
func (e *Edge) finishRead(read *pendingRead, result outcome) {
	e.readsInFlight--
	minRetryAfter := e.options.Intake.MinRetryAfter
	switch result.verdict {
	case router.Served:
		e.answerRead(read.protocol, read.token, intake.Recorded, 0, result.value)
	case router.Rejected:
		e.answerRead(read.protocol, read.token, intake.Rejected, max(result.retryAfterMs, minRetryAfter), nil)
	default:
		e.answerRead(read.protocol, read.token, intake.Unknown, minRetryAfter, nil)
	}
}

// answerRead passes the answer to a read to the protocol's server.
func (e *Edge) answerRead(
	proto protocol, token uint64, status intake.Status, retryAfterMs float64, value []byte,
) {
	if proto == protocolFrames {
		e.frames.Value(token, status, retryAfterMs, value)
		return
	}
	code := codes.Content
	switch {
	case status == intake.Invalid:
		code = codes.NotFound
	case status != intake.Recorded:
		code = codes.ServiceUnavailable
	case len(value) > maxCoAPValueBytes:
		code = codes.NotImplemented // responses in several blocks are not supported
		value = nil
	}
	e.coap.Answer(e.loop.Now(), token, code, value, retryAfterMs)
}
