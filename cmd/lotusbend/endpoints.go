package main

import (
	"context"

	"lotusbend/decide"
	"lotusbend/internal/clock"
	"lotusbend/internal/discovery"
	"lotusbend/internal/discovery/polling"
)

// endpointWatch is the watch on the endpoint list at one address of the
// discovery service.
type endpointWatch struct {
	ctx      context.Context
	stop     context.CancelFunc
	address  string
	received bool // an endpoint list
}

// watchEndpoints watches the endpoint list at an address, in place of every
// earlier watch once it has received a list there: until then the updates of an
// earlier one still count. It runs inside Do.
func (n *node) watchEndpoints(address string) {
	ctx, cancel := context.WithCancel(context.Background())
	watch := &endpointWatch{ctx: ctx, stop: cancel, address: address}
	n.watches = append(n.watches, watch)
	config := n.config.Settings.Config
	schedule := polling.NewSchedule(polling.Config{
		Routers:      config.Routers,
		PollOnly:     config.PollOnly,
		PollInterval: clock.Millis(config.PollInterval),
	}, n.config.Seed+uint64(len(n.watches)))
	// Another address may number its lists otherwise, so only the first watch
	// goes on from what the configuration holds.
	if known := n.config.KnownEndpoints; config.PollOnly && len(n.watches) == 1 && len(known.Endpoints) > 0 {
		schedule.Resume(known.Index)
	}
	watcher := discovery.Watcher{
		Loop:     n.loop,
		Log:      n.log,
		Address:  address,
		IDs:      n.config.EndpointIDs,
		Schedule: schedule,
		OnUpdate: func(update discovery.Update) { n.endpointsUpdated(watch, update) },
	}
	go watcher.Run(ctx)
}

// endpointsUpdated takes an update from a watch, which ends every earlier one.
func (n *node) endpointsUpdated(watch *endpointWatch, update discovery.Update) {
	if watch.ctx.Err() != nil { // it waited for the loop while a later one took its place
		return
	}
	if !watch.received {
		watch.received = true
		n.log.Info("endpoint list received",
			"address", watch.address, "index", update.Index, "endpoints", len(update.Endpoints))
	}
	for n.watches[0] != watch {
		n.watches[0].stop()
		n.watches = n.watches[1:]
	}
	kind := decide.UpdateDelta
	if update.Snapshot {
		kind = decide.UpdateSnapshot
	}
	n.router.EndpointsUpdated(kind, n.applyUpdate(update))
}

// applyUpdate hands the addresses of an update to the pool, and returns its
// endpoints for the decisions.
func (n *node) applyUpdate(update discovery.Update) []decide.Endpoint {
	endpoints := make([]decide.Endpoint, len(update.Endpoints))
	for i, listed := range update.Endpoints {
		n.pool.SetEndpoint(listed.ID, listed.Address, listed.State == decide.Ready)
		n.rememberName(listed)
		endpoints[i] = listed.Endpoint
	}
	return endpoints
}

// rememberName keeps an endpoint's name, where the shared state needs it.
func (n *node) rememberName(listed discovery.Endpoint) {
	if n.names == nil {
		return
	}
	if listed.State == decide.Removed {
		delete(n.names, listed.ID)
		return
	}
	n.names[listed.ID] = listed.Name
}

// endpointID is an endpoint's number by its name. Names are few, and looked up
// only where peers have something to say of an endpoint.
func (n *node) endpointID(name string) (uint32, bool) {
	for id, known := range n.names {
		if known == name {
			return id, true
		}
	}
	return 0, false
}

// endpointName is the name of an endpoint, "" if it is not known.
func (n *node) endpointName(id uint32) string { return n.names[id] }
