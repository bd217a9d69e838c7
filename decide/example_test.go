package decide_test

import (
	"fmt"
	"time"

	"lotusbend/decide"
)

// printer is the embedding router's side: it would send, answer and set
// timers; here it prints.
type printer struct{}

func (printer) Send(req uint64, member uint32, _ time.Duration) {
	fmt.Println("send", req, "to", member)
}
func (printer) Cancel(req uint64, attempt int)         { fmt.Println("cancel", req, attempt) }
func (printer) Refuse(req uint64, after time.Duration) { fmt.Println("refuse", req, after) }
func (printer) Fail(req uint64)                        { fmt.Println("fail", req) }
func (printer) Probe(member uint32)                    { fmt.Println("probe", member) }
func (printer) Watch()                                 {}
func (printer) CloseIdle(member uint32)                { fmt.Println("close idle", member) }
func (printer) SetTimer(time.Duration, uint32)         {}

// A router embeds the module by passing it what happens, each with the time on
// the router's own clock, and by carrying out the actions.
func Example() {
	cfg := decide.Config{
		Classes: []decide.Class{
			{Name: "order", Aim: time.Second, Deadline: 3 * time.Second, Worth: 3,
				Repeat: decide.Unsafe, Consistency: decide.Write},
			{Name: "browse", Aim: time.Second, Deadline: 3 * time.Second, Worth: 1,
				Consistency: decide.Bounded, Bound: 500 * time.Millisecond},
		},
		Check: decide.RefuseStale, Positions: true, MaxAttempts: 4,
		StartCapacity: 0.2, ColdFor: 20 * time.Second, OverloadFactor: 3, OverloadFor: time.Second,
		RemovalBinds: true,
	}
	router, err := decide.New(cfg, 42, printer{})
	if err != nil {
		fmt.Println(err)
		return
	}
	now := time.Hour
	router.Start(now)
	router.Listed(now, decide.ListFull, []decide.Member{
		{ID: 1, State: decide.Ready, Primary: true},
		{ID: 2, State: decide.Ready},
	})
	router.Arrived(now, decide.Request{ID: 100, Class: 0, TimeLeft: 3 * time.Second})
	router.Arrived(now, decide.Request{ID: 101, Class: 1, TimeLeft: 3 * time.Second})
	// Output:
	// send 100 to 1
	// send 101 to 2
}
