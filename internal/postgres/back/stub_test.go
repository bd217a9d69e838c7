package back

import (
	"syscall"

	"github.com/cloudwego/netpoll"

	"lotusbend/internal/router"
)

// unpolled is a connection that no poller reads.
type unpolled struct {
	netpoll.Connection
	fd int
	in *netpoll.LinkBuffer
}

func (u *unpolled) Fd() int { return u.fd }

func (u *unpolled) Reader() netpoll.Reader { return u.in }

func (u *unpolled) Close() error { return nil }

func (u *unpolled) Write(b []byte) (int, error) { return syscall.Write(u.fd, b) }

// ignoreEvents ignores all events.
type ignoreEvents struct{}

func (ignoreEvents) MaySend(router.AttemptID) bool { return true }

func (ignoreEvents) AttemptEnded(router.AttemptID, router.AttemptReport) {}

func (ignoreEvents) LateAnswer(uint32, router.AttemptReport) {}

func (ignoreEvents) HealthChecked(uint32, router.AttemptReport) {}
