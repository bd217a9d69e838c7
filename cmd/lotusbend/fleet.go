package main

import (
	"cmp"
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"lotusbend/internal/clock"
	"lotusbend/internal/deployconfig"
	"lotusbend/internal/fleetstate/link"
	"lotusbend/internal/membership"
	"lotusbend/internal/membership/udp"
	"lotusbend/internal/operatorconfig"
)

// adminTimeout bounds the time to read the header of a request to the admin
// page, and the time to write its response.
const adminTimeout = 2 * time.Second

// fleetMember is this router as a member of the fleet.
type fleetMember struct {
	transport *udp.Transport // maintains the view of the members
	link      *link.Link     // carries the shared state, nil if that is off
	// clockAheadMs is how far the clock of membership and shared state is ahead
	// of the router's clock; 0 except in drills.
	clockAheadMs int64
}

// startMembership starts membership if the settings file has a membership
// section, and shared state if it has that section too; the admin page, if the
// section names one, serves the view and the counters until ctx ends. It returns
// nil if membership is off. It fails if the settings are invalid or an address
// cannot be bound.
func startMembership(
	ctx context.Context, config *deployconfig.Config, options *operatorconfig.Options,
	timeSource *clock.Clock, log *slog.Logger,
) (*fleetMember, error) {
	if options.Membership == nil {
		return nil, nil
	}
	m := &fleetMember{}
	if options.Shared != nil {
		m.clockAheadMs = int64(options.Shared.ClockOffsetMs)
		timeSource = timeSource.Shifted(options.Shared.ClockOffsetMs)
	}
	rules := memberConfig(config, options.Membership, timeSource)
	var shared udp.SharedState // only set with shared state: holding a nil *link.Link, it would not be nil
	if options.Shared != nil {
		if err := m.startSharedState(config, options.Shared, rules, log); err != nil {
			return nil, err
		}
		shared = m.link
	}
	var err error
	m.transport, err = udp.Start(ctx, udp.Options{
		Config: rules,
		Bind:   options.Membership.Bind,
		Seeds:  options.Membership.Seeds,
		Shared: shared,
		Clock:  timeSource,
		Log:    log,
	})
	if err != nil {
		return nil, fmt.Errorf("starting membership: %w", err)
	}
	log.Info("joining fleet", "component", "membership", "name", rules.Name, "bind", m.transport.Addr(),
		"seeds", options.Membership.Seeds, "shared", m.link != nil)
	if options.Membership.Admin == "" {
		return m, nil
	}
	return m, m.serveAdmin(ctx, options.Membership.Admin, config)
}

// memberConfig returns the configuration of the membership rules. The member's
// start time is the current time.
func memberConfig(
	config *deployconfig.Config, options *operatorconfig.Membership, timeSource *clock.Clock,
) membership.Config {
	rules := membership.Defaults()
	rules.Name = cmp.Or(options.Name, config.Name)
	rules.Addr = cmp.Or(options.Advertise, options.Bind)
	rules.Zone = options.Zone
	rules.Start = int64(timeSource.Now())
	rules.Seed = config.Seed ^ xxhash.Sum64String(rules.Name) ^ uint64(rules.Start)
	rules.ProbeIntervalMs = options.ProbeIntervalMs
	rules.ProbeTimeoutMs = max(1, options.ProbeIntervalMs*2/5) // the ratio of the defaults, 80 ms to 200 ms
	rules.SuspicionMult = options.SuspicionMult
	rules.GossipBytesPerSecond = options.GossipBytesPerSecond
	rules.FaultInjection = options.FaultInjection
	return rules
}

// startSharedState creates the link of the shared state, with the name, start
// time and seed of the member.
func (m *fleetMember) startSharedState(
	config *deployconfig.Config, options *operatorconfig.Shared, member membership.Config, log *slog.Logger,
) error {
	rules := options.Rules
	rules.Name = member.Name
	rules.Start = member.Start
	rules.Seed = member.Seed
	var err error
	m.link, err = link.New(rules, config.Settings.Config.Routers, member.Start, log)
	return err
}

// serveAdmin serves the admin page until ctx ends.
func (m *fleetMember) serveAdmin(ctx context.Context, address string, config *deployconfig.Config) error {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return fmt.Errorf("listening for the admin page: %w", err)
	}
	server := &http.Server{
		Handler:           m.adminHandler(config),
		ReadHeaderTimeout: adminTimeout,
		WriteTimeout:      adminTimeout,
	}
	go func() { _ = server.Serve(listener) }()
	go func() {
		<-ctx.Done()
		_ = server.Close()
	}()
	return nil
}
