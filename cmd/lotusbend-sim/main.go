// Command lotusbend-sim hosts instances of the decision module on the simulator's
// wire: batches of events on standard input, actions on standard output.
package main

import (
	"bufio"
	"fmt"
	"io"
	"os"

	"lotusbend/decide"
	"lotusbend/internal/routingconfig"
	"lotusbend/internal/simprotocol"
)

func main() {
	if err := serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "lotusbend-sim:", err)
		os.Exit(1)
	}
}

// instance is one router with what translates for it.
type instance struct {
	router   *decide.Router
	settings *routingconfig.Settings
}

// host holds the instances by number and the lists that they share.
type host struct {
	reply     simprotocol.Reply
	instances map[uint16]*instance
	lists     map[uint32][]decide.Endpoint
}

// serve answers batches until the input ends.
func serve(in io.Reader, out io.Writer) error {
	h := &host{instances: map[uint16]*instance{}, lists: map[uint32][]decide.Endpoint{}}
	frames := simprotocol.NewReader(bufio.NewReaderSize(in, 1<<16))
	for {
		batch, err := frames.Next()
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
		h.reply.Reset(batch.Seq)
		if err := batch.Each(func(ev *simprotocol.Event) error { return h.handle(batch, ev) }); err != nil {
			return err
		}
		if _, err := out.Write(h.reply.Bytes()); err != nil {
			return fmt.Errorf("writing a reply: %w", err)
		}
	}
}

// handle passes one event to its instance. A panic of the decisions is
// reported on the wire.
func (h *host) handle(batch simprotocol.Batch, ev *simprotocol.Event) (err error) {
	defer func() {
		if p := recover(); p != nil {
			h.reply.Exception(ev.Instance, fmt.Sprint(p))
		}
	}()
	now := batch.Now
	switch ev.Code {
	case simprotocol.EvRegister:
		h.lists[ev.List] = ev.Members
		return nil
	case simprotocol.EvConfigure:
		return h.configure(batch, ev)
	}
	in := h.instances[ev.Instance]
	if in == nil {
		return fmt.Errorf("%w: event %d for unknown instance %d", simprotocol.ErrMalformed, ev.Code, ev.Instance)
	}
	switch ev.Code {
	case simprotocol.EvLapsed:
		in.router.ClientCancelled(now, ev.Ticket)
	case simprotocol.EvFirst:
		in.router.AnswerStarted(now, ev.Ticket, ev.Attempt)
	case simprotocol.EvAttemptEnd:
		ev.Result.Status = in.settings.Note(ev.Result.Status)
		in.router.AttemptEnded(now, ev.Result)
	case simprotocol.EvElapsed:
		in.router.TimerFired(now, ev.Token)
	case simprotocol.EvFleet:
		members, ok := h.lists[ev.List]
		if !ok && ev.Kind != decide.WatchFailed {
			return fmt.Errorf("%w: list %d was never registered", simprotocol.ErrMalformed, ev.List)
		}
		in.router.EndpointsUpdated(now, ev.Kind, members)
	case simprotocol.EvDemand:
		in.router.RequestArrived(now, ev.Request)
	case simprotocol.EvHalt:
		delete(h.instances, ev.Instance)
	case simprotocol.EvPingResult:
		in.router.HealthChecked(now, decide.HealthCheckResult{Endpoint: ev.Probe.Member, Outcome: ev.Probe.Outcome,
			Status: in.settings.Report(ev.Probe.Values)})
	}
	return nil
}

// configure starts an instance anew.
func (h *host) configure(batch simprotocol.Batch, ev *simprotocol.Event) error {
	set, err := routingconfig.Parse(ev.Settings)
	if err != nil {
		return fmt.Errorf("instance %d: %w", ev.Instance, err)
	}
	actions := &simprotocol.Sender{Reply: &h.reply, Instance: ev.Instance}
	router, err := decide.New(set.Config, ev.Seed, actions)
	if err != nil {
		return fmt.Errorf("instance %d: %w", ev.Instance, err)
	}
	h.instances[ev.Instance] = &instance{router: router, settings: set}
	router.Start(batch.Now)
	return nil
}
