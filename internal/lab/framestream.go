package lab

import (
	"bufio"
	"context"
	"math"
	"net"
	"time"

	"lotusbend/internal/edge/batch"
	"lotusbend/internal/edge/frames"
)

// frameDevice is a client of the framed stream: a gateway with one device.
type frameDevice struct {
	device   *device
	conn     net.Conn
	in       *bufio.Reader
	id       uint32  // of the last frame with readings
	mark     float64 // last time mark of the router
	markedAt time.Time
}

func dialFrames(ctx context.Context, d *device, address string) (transport, error) {
	conn, err := net.DialTimeout("tcp", address, deviceAnswerTimeout)
	if err != nil {
		return nil, err
	}
	t := &frameDevice{device: d, conn: conn, in: bufio.NewReader(conn)}
	if err := t.connect(ctx); err != nil {
		t.close()
		return nil, err
	}
	return t, nil
}

// connect sends a hello frame and waits for the welcome frame.
func (t *frameDevice) connect(ctx context.Context) error {
	hello := frames.Hello{Kind: frames.KindHello, Version: frames.Version, Name: t.device.name}
	if err := t.send(hello); err != nil {
		return err
	}
	var welcome frames.Welcome
	if err := t.receive(ctx, frames.KindWelcome, &welcome); err != nil {
		return err
	}
	t.setMark(welcome.Mark)
	return nil
}

func (t *frameDevice) setMark(mark float64) {
	t.mark = mark
	t.markedAt = time.Now()
}

func (t *frameDevice) close() { _ = t.conn.Close() }

func (t *frameDevice) elapsed() *float64 { return millisecondsSince(t.markedAt) }

func (t *frameDevice) send(frame any) error {
	_, err := t.conn.Write(frames.Append(nil, t.device.codec, frame))
	return err
}

// receive reads frames until one of the given kind arrives and decodes it into to. It
// returns errDisconnected for a bye frame, and errDrillEnded once ctx is done.
func (t *frameDevice) receive(ctx context.Context, kind frames.Kind, to any) error {
	for {
		if err := t.conn.SetReadDeadline(time.Now().Add(deviceAnswerTimeout)); err != nil {
			return err
		}
		body, err := readFrame(t.in, math.MaxUint32)
		if err != nil {
			return err
		}
		if ctx.Err() != nil {
			return errDrillEnded
		}
		if len(body) < 2 { // too short for the header of a CBOR array and the frame's kind
			continue
		}
		switch frames.Kind(body[1]) {
		case kind:
			return t.device.codec.Decode(body, to)
		case frames.KindBye:
			return errDisconnected
		}
	}
}

func (t *frameDevice) exchange(ctx context.Context, b *batch.Batch, _ bool) ([]batch.Result, bool, error) {
	t.id++
	readings := frames.Readings{
		Kind:  frames.KindReadings,
		ID:    t.id,
		Route: "readings",
		Mark:  t.mark,
		Batch: *b,
	}
	if err := t.send(readings); err != nil {
		return nil, true, err
	}
	var answer frames.Answer
	for {
		answer = frames.Answer{}
		if err := t.receive(ctx, frames.KindAnswer, &answer); err != nil {
			return nil, true, err
		}
		if answer.ID == t.id {
			break
		}
	}
	t.setMark(answer.Mark)
	var results []batch.Result
	for _, answered := range answer.Ranges {
		for seq := answered.From; seq <= answered.To; seq++ {
			results = append(results, batch.Result{Seq: seq, Status: answered.Status, Wait: answered.Wait})
		}
	}
	return results, true, nil
}
