package main

import (
	"context"

	"lotusbend/internal/fleetstate"
)

// observeIntervalMs is how often, in milliseconds, what the router observed is
// given to the shared state.
const observeIntervalMs = 50

// joinFleet has the router's decisions consult the fleet until ctx ends: the
// number of routers in the view, and with shared state the advice of peers. A
// nil fleet leaves the router on its own.
func (n *node) joinFleet(ctx context.Context, members *fleet) {
	if members == nil {
		return
	}
	adapter := &fleetstate.FleetAdapter{} // owned by the loop
	n.loop.Do(func() { n.router.JoinFleet(adapter) })
	if members.link == nil {
		go n.followFleetSize(ctx, members, adapter)
		return
	}
	n.loop.Do(func() {
		n.router.StartObserving()
		n.names = map[uint32]string{}
		n.setAdvice(adapter, members.link.InitialAdvice(), members)
	})
	go n.followAdvice(ctx, members, adapter)
	go n.offerObservations(ctx, members)
}

// followFleetSize takes the number of routers from the view.
func (n *node) followFleetSize(ctx context.Context, members *fleet, adapter *fleetstate.FleetAdapter) {
	for {
		select {
		case <-ctx.Done():
			return
		case size := <-members.view.Sizes():
			n.loop.Do(func() { adapter.SetRouters(size) })
		}
	}
}

// followAdvice takes the advice drawn from what peers share, and confirms that
// it is in force.
func (n *node) followAdvice(ctx context.Context, members *fleet, adapter *fleetstate.FleetAdapter) {
	for {
		select {
		case <-ctx.Done():
			return
		case advice := <-members.link.Advice():
			n.loop.Do(func() { n.setAdvice(adapter, advice.Advice, members) })
			members.link.Applied(advice.Seq)
		}
	}
}

// setAdvice puts advice in force on the router's clock.
func (n *node) setAdvice(adapter *fleetstate.FleetAdapter, advice fleetstate.Advice, members *fleet) {
	adapter.Set(advice.ShiftedBy(-members.clockAheadMs), n.endpointID, int64(n.loop.Now()))
}

// offerObservations gives what the router observed to the shared state.
func (n *node) offerObservations(ctx context.Context, members *fleet) {
	for ctx.Err() == nil {
		<-n.loop.After(observeIntervalMs)
		n.loop.Do(func() {
			observation := n.router.Observe(n.endpointName)
			members.link.Offer(observation.ShiftedBy(members.clockAheadMs))
		})
	}
}
