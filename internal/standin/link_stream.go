package standin

import (
	"fmt"
	"net"
	"sync"
)

// streamLink is the state of a TCP link.
type streamLink struct {
	link     *Link
	listener net.Listener

	mu     sync.Mutex
	conns  map[net.Conn]bool
	closed bool
}

// StartStreamLink starts a TCP link.
func StartStreamLink(target string, faults Faults, seed uint64) (*Link, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("standin: listening for streams: %w", err)
	}
	l := newLink(target, faults, seed)
	l.Address = listener.Addr().String()
	s := &streamLink{link: l, listener: listener, conns: map[net.Conn]bool{}}
	l.close = s.close
	go s.accept()
	return l, nil
}

func (s *streamLink) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	_ = s.listener.Close()
	for conn := range s.conns {
		_ = conn.Close()
	}
}

// accept serves connections of devices until the link is closed.
func (s *streamLink) accept() {
	for {
		deviceConn, err := s.listener.Accept()
		if err != nil {
			return
		}
		go s.serve(deviceConn)
	}
}

// serve forwards one connection in both directions until either side closes it.
func (s *streamLink) serve(deviceConn net.Conn) {
	defer deviceConn.Close()
	targetConn, err := net.Dial("tcp", s.link.target)
	if err != nil {
		return
	}
	defer targetConn.Close()
	if !s.add(deviceConn) || !s.add(targetConn) {
		return
	}
	done := make(chan struct{}, 2)
	forward := func(from, to net.Conn) {
		s.link.forwardStream(from, to)
		done <- struct{}{}
	}
	go forward(deviceConn, targetConn)
	go forward(targetConn, deviceConn)
	<-done
	_ = deviceConn.Close()
	_ = targetConn.Close()
	<-done
	s.remove(deviceConn)
	s.remove(targetConn)
}

// add registers a connection, which close will close. It returns false if the link
// is already closed.
func (s *streamLink) add(conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.closed {
		s.conns[conn] = true
	}
	return !s.closed
}

func (s *streamLink) remove(conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, conn)
}

// forwardStream forwards one direction of a connection, in order, until it ends or
// breaks.
func (l *Link) forwardStream(from, to net.Conn) {
	buffer := make([]byte, 2048)
	for {
		size, readErr := from.Read(buffer)
		if size > 0 && !l.forwardChunk(to, buffer[:size]) {
			return
		}
		if readErr != nil {
			return
		}
	}
}

// forwardChunk writes a chunk after a delay. It returns false if the connection
// breaks, which may be after half of the chunk.
func (l *Link) forwardChunk(to net.Conn, chunk []byte) bool {
	faults := &l.faults
	l.Received.Add(1)
	delayMs := faults.DelayMs * (1 + l.draw())
	if l.chance(faults.Loss) {
		delayMs += 100 + 200*l.draw()
	}
	if faults.BytesPerSecond > 0 {
		delayMs += float64(len(chunk)) / faults.BytesPerSecond * 1000
	}
	sleepMs(delayMs)
	half := len(chunk) / 2
	if l.chance(faults.Break) {
		_, _ = to.Write(chunk[:half])
		return false
	}
	if l.chance(faults.Stall) {
		if _, err := to.Write(chunk[:half]); err != nil {
			return false
		}
		chunk = chunk[half:]
		sleepMs(faults.StallMs * l.draw())
	}
	_, err := to.Write(chunk)
	return err == nil
}
