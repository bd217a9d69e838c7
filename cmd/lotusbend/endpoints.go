package main

import (
	"context"

	"lotusbend/decide"
	"lotusbend/internal/clock"
	"lotusbend/internal/discovery"
	"lotusbend/internal/discovery/polling"
)

// endpointWatch is a watch on the endpoint list that the discovery service
// serves at one address.
type endpointWatch struct {
	ctx      context.Context
	stop     context.CancelFunc
	address  string
	received bool // whether an endpoint list has arrived from this address
}

// watchEndpoints starts a watch on the endpoint list at an address. It replaces
// every earlier watch once it has received a list; until then the updates of an
// earlier watch are still applied. It must be called within the loop's Do.
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
	// Another address may use other index numbers for its lists, so only the
	// first watch resumes from the index in the configuration. A pushed list comes
	// from a local agent, which a request for the whole list costs nothing.
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

// endpointsUpdated applies an update from a watch and stops every earlier watch.
func (n *node) endpointsUpdated(watch *endpointWatch, update discovery.Update) {
	if watch.ctx.Err() != nil { // a later watch replaced it while the update waited for the loop
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

// applyUpdate passes the addresses of an update to the connection pool, and
// returns its endpoints for package decide.
func (n *node) applyUpdate(update discovery.Update) []decide.Endpoint {
	endpoints := make([]decide.Endpoint, len(update.Endpoints))
	for i, listed := range update.Endpoints {
		n.pool.SetEndpoint(listed.ID, listed.Address, listed.State == decide.Ready)
		n.rememberName(listed)
		endpoints[i] = listed.Endpoint
	}
	return endpoints
}

// rememberName records the name of an endpoint, or deletes that of a removed
// one. Without shared state it does nothing.
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

// endpointID returns the ID of the endpoint with this name, and whether the name
// is known. It searches all names: they are few, and looked up only for
// endpoints that peers report on.
func (n *node) endpointID(name string) (uint32, bool) {
	for id, known := range n.names {
		if known == name {
			return id, true
		}
	}
	return 0, false
}

// endpointName returns the name of an endpoint, "" if it is unknown.
func (n *node) endpointName(id uint32) string { return n.names[id] }
