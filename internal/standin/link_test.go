package standin

import (
	"io"
	"net"
	"testing"
)

// Without faults a link must forward every byte in order; with Faults.Break it must
// close the connection before the whole chunk arrived.
func TestStreamLinkForwardsOrBreaks(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(c, c); _ = c.Close() }()
		}
	}()
	for _, faults := range []Faults{{}, {Break: 1}} {
		l, err := StartStreamLink(ln.Addr().String(), faults, 1)
		if err != nil {
			t.Fatal(err)
		}
		c, err := net.Dial("tcp", l.Address)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := c.Write([]byte("twelve bytes")); err != nil {
			t.Fatal(err)
		}
		b := make([]byte, 12)
		_, err = io.ReadFull(c, b)
		if broken := err != nil; broken != (faults.Break > 0) || !broken && string(b) != "twelve bytes" {
			t.Errorf("echo through a link with %+v = %q, %v, want an error only with Break", faults, b, err)
		}
		_ = c.Close()
		l.Close()
	}
}
