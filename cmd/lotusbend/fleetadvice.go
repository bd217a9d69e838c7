package main

import (
	"context"

	"lotusbend/internal/fleetstate"
)

// observeIntervalMs is the interval, in milliseconds, at which the router's
// observations are passed to the shared state.
const observeIntervalMs = 50

// joinFleet passes what is known of the fleet to the router's decisions until
// ctx ends: the number of routers in the view, or with shared state the advice
// drawn from peers. With a nil member the router decides alone.
func (n *node) joinFleet(ctx context.Context, member *fleetMember) {
	if member == nil {
		return
	}
	adapter := &fleetstate.FleetAdapter{} // owned by the loop
	n.loop.Do(func() { n.router.JoinFleet(adapter) })
	if member.link == nil {
		go n.followFleetSize(ctx, member, adapter)
		return
	}
	n.loop.Do(func() {
		n.router.StartObserving()
		n.names = map[uint32]string{}
		n.setAdvice(adapter, member.link.InitialAdvice(), member)
	})
	go n.followAdvice(ctx, member, adapter)
	go n.offerObservations(ctx, member)
}

// followFleetSize applies the number of routers in the view whenever it changes.
func (n *node) followFleetSize(ctx context.Context, member *fleetMember, adapter *fleetstate.FleetAdapter) {
	for {
		select {
		case <-ctx.Done():
			return
		case size := <-member.transport.Sizes():
			n.loop.Do(func() { adapter.SetRouters(size) })
		}
	}
}

// followAdvice applies the advice drawn from what peers share, and confirms to
// the link that it is in force.
func (n *node) followAdvice(ctx context.Context, member *fleetMember, adapter *fleetstate.FleetAdapter) {
	for {
		select {
		case <-ctx.Done():
			return
		case advice := <-member.link.Advice():
			n.loop.Do(func() { n.setAdvice(adapter, advice.Advice, member) })
			member.link.Applied(advice.Seq)
		}
	}
}

// setAdvice converts the times of advice to the router's clock and puts it in
// force.
func (n *node) setAdvice(adapter *fleetstate.FleetAdapter, advice fleetstate.Advice, member *fleetMember) {
	adapter.Set(advice.ShiftedBy(-member.clockAheadMs), n.endpointID, int64(n.loop.Now()))
}

// offerObservations passes the router's observations to the shared state until
// ctx ends.
func (n *node) offerObservations(ctx context.Context, member *fleetMember) {
	for ctx.Err() == nil {
		<-n.loop.After(observeIntervalMs)
		n.loop.Do(func() {
			observation := n.router.Observe(n.endpointName)
			member.link.Offer(observation.ShiftedBy(member.clockAheadMs))
		})
	}
}
