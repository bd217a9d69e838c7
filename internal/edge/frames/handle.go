package frames

import (
	"errors"
	"fmt"
	"math"

	"github.com/fxamacker/cbor/v2"

	"lotusbend/internal/edge/intake"
)

var (
	errNotArray    = errors.New("no frame: an array is expected")
	errInvalidKind = errors.New("no frame: its kind is no small number")
)

// dispatch handles a frame without its header. An error closes the connection, and
// its text is sent to the gateway.
func (s *Server) dispatch(now float64, conn *connection, body []byte) error {
	kind, err := s.decodeKind(body)
	if err != nil {
		return err
	}
	welcomed := conn.welcomedAt != 0
	if welcomed == (kind == KindHello) {
		return fmt.Errorf("a frame of kind %d out of order", kind)
	}
	switch kind {
	case KindHello:
		return s.handleHello(now, conn, body)
	case KindPing:
		s.send(conn, Signal{Kind: KindPong})
		return nil
	case KindReadings:
		return s.handleReadings(now, conn, body)
	case KindQuery:
		return s.handleQuery(conn, body)
	case KindRead:
		return s.handleRead(conn, body)
	}
	return fmt.Errorf("a frame of unknown kind %d", kind)
}

// decodeKind returns the kind of a frame.
func (s *Server) decodeKind(body []byte) (kind Kind, err error) {
	var elements []cbor.RawMessage
	if err := s.codec.Decode(body, &elements); err != nil || len(elements) == 0 {
		return 0, errNotArray
	}
	if err := s.codec.Decode(elements[0], &kind); err != nil {
		return 0, errInvalidKind
	}
	return kind, nil
}

// decode decodes a frame into the message type of its kind.
func (s *Server) decode(body []byte, kind Kind, to any) error {
	if err := s.codec.Decode(body, to); err != nil {
		return fmt.Errorf("a frame of kind %d: %w", kind, err)
	}
	return nil
}

func (s *Server) handleHello(now float64, conn *connection, body []byte) error {
	var hello Hello
	if err := s.decode(body, KindHello, &hello); err != nil {
		return err
	}
	if hello.Version != Version {
		return fmt.Errorf("version %d is not spoken, %d is", hello.Version, Version)
	}
	conn.welcomedAt = now
	s.send(conn, Welcome{Kind: KindWelcome, Mark: now, Window: uint32(s.limits.Window)})
	s.armIdleTimer(now, conn)
	return nil
}

func (s *Server) handleReadings(now float64, conn *connection, body []byte) error {
	var readings Readings
	if err := s.decode(body, KindReadings, &readings); err != nil {
		return err
	}
	if err := readings.Batch.Validate(); err != nil {
		return err
	}
	mark := readings.Mark
	if math.IsNaN(mark) || mark != 0 && mark < conn.welcomedAt || mark > now {
		return fmt.Errorf("mark %v was not given on this connection", mark)
	}
	token, err := s.registerPending(conn, readings.ID)
	if err != nil {
		return err
	}
	var notBefore float64
	if mark > 0 {
		notBefore = mark
		if readings.Batch.Elapsed != nil {
			notBefore = intake.SentAfter(mark, *readings.Batch.Elapsed)
		}
	}
	s.actions.Deliver(token, conn.id, readings.Route, &readings.Batch, notBefore)
	return nil
}

func (s *Server) handleQuery(conn *connection, body []byte) error {
	var query Query
	if err := s.decode(body, KindQuery, &query); err != nil {
		return err
	}
	known := knownRanges(s.actions.RecordedSequences(query.Device, query.Epoch))
	s.send(conn, Known{Kind: KindKnown, ID: query.ID, Ranges: known})
	return nil
}

func (s *Server) handleRead(conn *connection, body []byte) error {
	var read Read
	if err := s.decode(body, KindRead, &read); err != nil {
		return err
	}
	token, err := s.registerPending(conn, read.ID)
	if err != nil {
		return err
	}
	s.actions.Read(token, conn.id, read.Route, read.Arg)
	return nil
}

// registerPending registers a frame that waits for its answer and returns its
// token. It returns an error if the ID is in use or the window is exceeded.
func (s *Server) registerPending(conn *connection, id uint32) (token uint64, err error) {
	switch {
	case conn.unanswered[id]:
		return 0, fmt.Errorf("frame %d waits for its answer already", id)
	case len(conn.unanswered) >= s.limits.Window:
		return 0, fmt.Errorf("more than %d frames without their answer", s.limits.Window)
	}
	if conn.unanswered == nil {
		conn.unanswered = map[uint32]bool{}
	}
	conn.unanswered[id] = true
	s.lastToken++
	s.pending[s.lastToken] = pendingFrame{connection: conn, id: id}
	return s.lastToken, nil
}
