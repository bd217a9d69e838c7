package rig

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"time"

	"lotusbend/internal/edge/batch"
	"lotusbend/internal/edge/frames"
)

// Gateway is a gateway's connection to the edge, which speaks the framed stream of
// the edge's page.
type Gateway struct {
	conn   net.Conn
	in     *bufio.Reader
	codec  *batch.Codec
	mark   float64
	lastID uint32
}

// DialGateway connects to the edge and says hello.
func DialGateway(address string) (*Gateway, error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	g := &Gateway{conn: conn, in: bufio.NewReader(conn), codec: batch.NewCodec()}
	hello := frames.Hello{Kind: frames.KindHello, Version: frames.Version, Name: "gateway"}
	if err := g.send(hello); err != nil {
		g.Close()
		return nil, err
	}
	var welcome frames.Welcome
	if err := g.read(&welcome); err != nil {
		g.Close()
		return nil, err
	}
	g.mark = welcome.Mark
	return g, nil
}

// Close closes the connection.
func (g *Gateway) Close() { _ = g.conn.Close() }

// send writes one frame.
func (g *Gateway) send(frame any) error {
	_, err := g.conn.Write(frames.Append(nil, g.codec, frame))
	return err
}

// read reads one frame, which must be of the given type.
func (g *Gateway) read(to any) error {
	if err := g.conn.SetReadDeadline(time.Now().Add(answerTime)); err != nil {
		return err
	}
	header := make([]byte, frames.HeaderLen)
	if _, err := io.ReadFull(g.in, header); err != nil {
		return err
	}
	body := make([]byte, binary.BigEndian.Uint32(header))
	if _, err := io.ReadFull(g.in, body); err != nil {
		return err
	}
	if err := g.codec.Decode(body, to); err != nil {
		return fmt.Errorf("frame %x: %w", body, err)
	}
	return nil
}

// Readings sends one batch and returns the answers to its readings, by sequence
// number.
func (g *Gateway) Readings(route string, b batch.Batch) (map[uint64]uint8, error) {
	g.lastID++
	frame := frames.Readings{Kind: frames.KindReadings, ID: g.lastID, Route: route, Mark: g.mark, Batch: b}
	if err := g.send(frame); err != nil {
		return nil, err
	}
	var answer frames.Answer
	if err := g.read(&answer); err != nil {
		return nil, err
	}
	g.mark = answer.Mark
	statuses := map[uint64]uint8{}
	for _, r := range answer.Ranges {
		for seq := r.From; seq <= r.To; seq++ {
			statuses[seq] = r.Status
		}
	}
	return statuses, nil
}
