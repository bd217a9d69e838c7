package link

import "lotusbend/internal/fleetstate"

// retryBudgetName is the name of the retry budget in the log.
const retryBudgetName = "retries"

// logEvents logs each event.
func (l *Link) logEvents(events []fleetstate.Event) {
	for _, event := range events {
		l.log.Info(event.Kind.String(), eventFields(event)...)
	}
}

// eventFields returns the log fields of an event as alternating names and values.
// Empty fields are left out.
func eventFields(event fleetstate.Event) []any {
	subject := "endpoint"
	if event.Kind.IsLeaseEvent() {
		subject = "budget"
	}
	key := event.Key
	if key == fleetstate.RetryBudgetKey {
		key = retryBudgetName
	}
	fields := []any{subject, key, "amount", event.Amount}
	if event.Peer != "" {
		fields = append(fields, "peer", event.Peer)
	}
	if event.Status != 0 {
		fields = append(fields, "status", event.Status.String())
	}
	if event.Reason != "" {
		fields = append(fields, "reason", event.Reason)
	}
	return fields
}

// Metrics returns the link's counters and gauges and the fleet's totals by metric
// name. classes holds the names of the request classes in the order of their
// numbers.
func (l *Link) Metrics(classes []string) map[string]uint64 {
	page := l.StatusPage()
	metrics := map[string]uint64{
		"shared_messages_sent":      l.Sent.Load(),
		"shared_messages_received":  l.Received.Load(),
		"shared_messages_malformed": l.Malformed.Load(),
		"shared_bytes_sent":         l.Bytes.Load(),
		"shared_unknown_senders":    page.UnknownSenders,
		"shared_counters_rejected":  page.RejectedCounters,
		"shared_routers_counted":    uint64(len(page.Counters)),
		"shared_ejections":          uint64(len(page.Ejections)),
		"shared_fleet_size":         uint64(page.Routers),
		"shared_leases_lent":        uint64(len(page.Lent)),
		"shared_leases_borrowed":    uint64(len(page.Borrowed)),
	}
	for i, class := range classes {
		for kind, name := range fleetstate.CounterKindNames() {
			metrics["fleet_"+name+"_"+class] = page.Totals.Get(i, fleetstate.CounterKind(kind))
		}
	}
	return metrics
}
