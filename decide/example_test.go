package decide_test

import (
	"fmt"
	"time"

	"lotusbend/decide"
)

// printer implements Actions by printing. A real implementation sends requests,
// answers clients and sets timers.
type printer struct{}

func (printer) Send(request uint64, endpoint uint32, _ time.Duration) {
	fmt.Println("send", request, "to", endpoint)
}
func (printer) Cancel(request uint64, attempt int)         { fmt.Println("cancel", request, attempt) }
func (printer) Reject(request uint64, after time.Duration) { fmt.Println("reject", request, after) }
func (printer) Fail(request uint64)                        { fmt.Println("fail", request) }
func (printer) CheckHealth(endpoint uint32)                { fmt.Println("check health of", endpoint) }
func (printer) WatchEndpoints()                            {}
func (printer) CloseIdle(endpoint uint32)                  { fmt.Println("close idle", endpoint) }
func (printer) SetTimer(time.Duration, uint32)             {}

// A program that embeds a Router passes it events, each with the current time on a
// monotonic clock, and carries out its actions.
func Example() {
	config := decide.Config{
		Classes: []decide.Class{
			{Name: "order", LatencyObjective: time.Second, Deadline: 3 * time.Second, PriorityWeight: 3,
				Idempotency: decide.NonIdempotent, Consistency: decide.Write},
			{Name: "browse", LatencyObjective: time.Second, Deadline: 3 * time.Second, PriorityWeight: 1,
				Consistency: decide.Bounded, MaxStaleness: 500 * time.Millisecond},
		},
		StaleReadPolicy: decide.RejectStale, AnswersCarryPosition: true, MaxAttempts: 4,
		SlowStartCapacity: 0.2, SlowStartDuration: 20 * time.Second, OverloadFactor: 3, OverloadDuration: time.Second,
		RemovalEnforced: true,
	}
	router, err := decide.New(config, 42, printer{})
	if err != nil {
		fmt.Println(err)
		return
	}
	now := time.Hour
	router.Start(now)
	router.EndpointsUpdated(now, decide.UpdateSnapshot, []decide.Endpoint{
		{ID: 1, State: decide.Ready, Primary: true},
		{ID: 2, State: decide.Ready},
	})
	router.RequestArrived(now, decide.Request{ID: 100, Class: 0, TimeLeft: 3 * time.Second})
	router.RequestArrived(now, decide.Request{ID: 101, Class: 1, TimeLeft: 3 * time.Second})
	// Output:
	// send 100 to 1
	// send 101 to 2
}
