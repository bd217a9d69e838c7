package back

import (
	"syscall"

	"github.com/cloudwego/netpoll"

	"lotusbend/internal/router"
)

// unpolledConn is a connection that no poller reads; its received bytes are in in.
type unpolledConn struct {
	netpoll.Connection
	fd int
	in *netpoll.LinkBuffer
}

func (u *unpolledConn) Fd() int { return u.fd }

func (u *unpolledConn) Reader() netpoll.Reader { return u.in }

func (u *unpolledConn) Close() error { return nil }

func (u *unpolledConn) Write(b []byte) (int, error) { return syscall.Write(u.fd, b) }

// ignoreEvents is an Events that ignores all reports and permits every attempt.
type ignoreEvents struct{}

func (ignoreEvents) MaySend(router.AttemptID) bool { return true }

func (ignoreEvents) AttemptEnded(router.AttemptID, router.AttemptReport) {}

func (ignoreEvents) LateAnswer(uint32, router.AttemptReport) {}

func (ignoreEvents) HealthChecked(uint32, router.AttemptReport) {}
