// Command lotusbend-sim runs the routing decisions of one or more routers for the
// simulator. It reads batches of events from standard input and writes a reply
// with the actions for each to standard output.
package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"

	"lotusbend/decide"
	"lotusbend/internal/routingconfig"
	"lotusbend/internal/simprotocol"
)

// inputBufferBytes is the size of the buffer on standard input.
const inputBufferBytes = 1 << 16

func main() {
	if err := serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "lotusbend-sim:", err)
		os.Exit(1)
	}
}

// instance is one simulated router, with the settings that translate its events.
type instance struct {
	router   *decide.Router
	settings *routingconfig.Settings
}

// host runs the instances.
type host struct {
	reply     simprotocol.Reply            // to the current batch
	instances map[uint16]*instance         // by number
	lists     map[uint32][]decide.Endpoint // registered endpoint lists by number, shared by all instances
}

// serve answers batches until in ends. It returns an error for malformed input and
// for invalid settings.
func serve(in io.Reader, out io.Writer) error {
	h := &host{instances: map[uint16]*instance{}, lists: map[uint32][]decide.Endpoint{}}
	batches := simprotocol.NewReader(bufio.NewReaderSize(in, inputBufferBytes))
	for {
		batch, err := batches.Next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		h.reply.Reset(batch.Seq)
		err = batch.Each(func(event *simprotocol.Event) error { return h.handle(batch, event) })
		if err != nil {
			return err
		}
		if _, err := out.Write(h.reply.Bytes()); err != nil {
			return fmt.Errorf("writing the reply: %w", err)
		}
	}
}

// handle applies one event. A panic while it is handled does not end the program:
// it is reported as an exception in the reply.
func (h *host) handle(batch simprotocol.Batch, event *simprotocol.Event) error {
	defer func() {
		if cause := recover(); cause != nil {
			h.reply.Exception(event.Instance, fmt.Sprint(cause))
		}
	}()
	switch event.Code {
	case simprotocol.EventRegisterList:
		h.lists[event.List] = event.Endpoints
		return nil
	case simprotocol.EventConfigure:
		return h.configure(batch, event)
	}
	instance := h.instances[event.Instance]
	if instance == nil {
		return fmt.Errorf("%w: event %d for unknown instance %d",
			simprotocol.ErrMalformed, event.Code, event.Instance)
	}
	return h.dispatch(instance, batch, event)
}

// dispatch passes an event to its instance. Messages of peers are ignored.
func (h *host) dispatch(instance *instance, batch simprotocol.Batch, event *simprotocol.Event) error {
	now, router := batch.Now, instance.router
	switch event.Code {
	case simprotocol.EventClientCancelled:
		router.ClientCancelled(now, event.RequestID)
	case simprotocol.EventAnswerStarted:
		router.AnswerStarted(now, event.RequestID, event.Attempt)
	case simprotocol.EventAttemptEnded:
		result := event.Result
		result.Status = instance.settings.OnRouterClock(result.Status)
		router.AttemptEnded(now, result)
	case simprotocol.EventTimerFired:
		router.TimerFired(now, event.Token)
	case simprotocol.EventEndpointsUpdated:
		endpoints, registered := h.lists[event.List]
		if !registered && event.Kind != decide.WatchFailed {
			return fmt.Errorf("%w: list %d was never registered", simprotocol.ErrMalformed, event.List)
		}
		router.EndpointsUpdated(now, event.Kind, endpoints)
	case simprotocol.EventRequestArrived:
		router.RequestArrived(now, event.Request)
	case simprotocol.EventStop:
		delete(h.instances, event.Instance)
	case simprotocol.EventHealthChecked:
		router.HealthChecked(now, decide.HealthCheckResult{
			Endpoint: event.HealthCheck.Endpoint,
			Outcome:  event.HealthCheck.Outcome,
			Status:   instance.settings.HealthReport(event.HealthCheck.Values),
		})
	}
	return nil
}

// configure creates and starts an instance; it replaces one with the same number.
func (h *host) configure(batch simprotocol.Batch, event *simprotocol.Event) error {
	settings, err := routingconfig.Parse(event.Settings)
	if err != nil {
		return fmt.Errorf("instance %d: %w", event.Instance, err)
	}
	actions := &simprotocol.ActionWriter{Reply: &h.reply, Instance: event.Instance}
	router, err := decide.New(settings.Config, event.Seed, actions)
	if err != nil {
		return fmt.Errorf("instance %d: %w", event.Instance, err)
	}
	h.instances[event.Instance] = &instance{router: router, settings: settings}
	router.Start(batch.Now)
	return nil
}
