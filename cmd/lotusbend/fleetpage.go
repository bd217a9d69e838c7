package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"text/tabwriter"
	"time"

	"lotusbend/internal/deployconfig"
	"lotusbend/internal/fleetstate"
	"lotusbend/internal/membership"
)

// fleetPage is the response body of GET /fleet, as JSON.
type fleetPage struct {
	View    membership.View
	Shared  *fleetstate.StatusPage `json:",omitempty"` // nil if shared state is off
	Classes []string               // names of the classes, in the order of the totals
}

// adminHandler returns the handler of the admin page: the view, the metrics and
// the fleet page.
func (m *fleetMember) adminHandler(config *deployconfig.Config) http.Handler {
	var classes []string
	for _, class := range config.Settings.Config.Classes {
		classes = append(classes, class.Name)
	}
	mux := http.NewServeMux()
	if m.link == nil {
		mux.Handle("/", m.transport.Handler())
	} else {
		mux.Handle("/", m.transport.Handler(func() map[string]uint64 { return m.link.Metrics(classes) }))
	}
	mux.HandleFunc("GET /fleet", func(w http.ResponseWriter, _ *http.Request) {
		page := fleetPage{View: m.transport.View(), Classes: classes}
		if m.link != nil {
			status := m.link.StatusPage()
			page.Shared = &status
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(page)
	})
	return mux
}

// print writes the page as tables; now is the time that ages are computed from.
func (p fleetPage) print(to io.Writer, now time.Time) error {
	w := tabwriter.NewWriter(to, 0, 0, 2, ' ', 0)
	p.printView(w, now)
	if p.Shared == nil {
		fmt.Fprintln(w, "\nshared state is off")
		return w.Flush()
	}
	p.printTotals(w)
	p.printShared(w)
	return w.Flush()
}

// printView writes the size of the fleet and a row for each member.
func (p fleetPage) printView(w io.Writer, now time.Time) {
	view := p.View
	unchanged := now.Sub(time.UnixMilli(view.ChangedAt)).Round(time.Second)
	fmt.Fprintf(w, "%d to %d routers, version %d, unchanged for %s\n\n",
		view.Fleet.Low, view.Fleet.High, view.Version, unchanged)
	fmt.Fprintln(w, "ROUTER\tZONE\tSTATE\tINCARNATION\tSTARTED\tADDRESS")
	for _, listed := range view.Members {
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%s\t%s\n",
			listed.Name, listed.Zone, listed.State, listed.Incarnation, timestamp(listed.Start), listed.Addr)
	}
}

// printTotals writes the fleet's totals, a row for each class.
func (p fleetPage) printTotals(w io.Writer) {
	kinds := fleetstate.CounterKindNames()
	fmt.Fprint(w, "\nCLASS")
	for _, kind := range kinds {
		fmt.Fprintf(w, "\t%s", kind)
	}
	fmt.Fprintln(w)
	for i, class := range p.Classes {
		fmt.Fprint(w, class)
		for kind := range kinds {
			fmt.Fprintf(w, "\t%d", p.Shared.Totals.Get(i, fleetstate.CounterKind(kind)))
		}
		fmt.Fprintln(w)
	}
}

// printShared writes the quotas, the ejections and the reputations.
func (p fleetPage) printShared(w io.Writer) {
	shared := p.Shared
	fmt.Fprintf(w, "\nstake 1/%d of each warming endpoint's rate; ", shared.Routers)
	fmt.Fprintf(w, "retries lent %.2f, borrowed %.2f a second\n",
		shared.Lent[fleetstate.RetryBudgetKey], shared.Borrowed[fleetstate.RetryBudgetKey])
	for endpoint, quota := range shared.SlowStart {
		fmt.Fprintf(w, "warming endpoint %s: own quota %.4f, borrowed %.4f\n",
			endpoint, quota.Own, quota.Borrowed)
	}
	for _, ejection := range shared.Ejections {
		fmt.Fprintf(w, "endpoint %s: %s, by a reputation of %.2f, observed here %v, until %s\n",
			ejection.Endpoint, ejection.Status, ejection.Support, ejection.ObservedHere,
			timestamp(ejection.Until))
	}
	for peer, reputation := range shared.Reputation {
		fmt.Fprintf(w, "peer %s: reputation %.2f\n", peer, reputation)
	}
}

// timestamp formats a time in Unix milliseconds as RFC 3339, in UTC.
func timestamp(ms int64) string { return time.UnixMilli(ms).UTC().Format(time.RFC3339) }
