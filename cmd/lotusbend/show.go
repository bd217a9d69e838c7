package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"text/tabwriter"
	"time"

	"lotusbend/internal/fleetstate"
)

type fleetCmd struct {
	Admin string `help:"The admin page of one router, address and port (membership.admin)." required:""`
	JSON  bool   `help:"The page as JSON." name:"json"`
}

// Run implements the command: one router's view and totals, as a table.
func (c fleetCmd) Run() error {
	client := http.Client{Timeout: 3 * time.Second}
	resp, err := client.Get("http://" + c.Admin + "/fleet")
	if err != nil {
		return fmt.Errorf("asking the admin page: %w", err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, 16<<20))
	if err != nil {
		return fmt.Errorf("reading the admin page: %w", err)
	}
	var p fleetPage
	if err := json.Unmarshal(body, &p); err != nil {
		return fmt.Errorf("%s/fleet is no fleet page: %w", c.Admin, err)
	}
	if c.JSON {
		_, err = os.Stdout.Write(body)
		return err
	}
	return p.print(os.Stdout, time.Now())
}

// print writes the page for people.
func (p fleetPage) print(to io.Writer, now time.Time) error {
	w := tabwriter.NewWriter(to, 0, 0, 2, ' ', 0)
	since := now.Sub(time.UnixMilli(p.View.ChangedAt)).Round(time.Second)
	fmt.Fprintf(w, "%d to %d routers, version %d, unchanged for %s\n\n", p.View.Fleet.Low, p.View.Fleet.High, p.View.Version, since)
	fmt.Fprintln(w, "ROUTER\tZONE\tSTATE\tINCARNATION\tSTARTED\tADDRESS")
	for _, m := range p.View.Members {
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%s\t%s\n", m.Name, m.Zone, m.State, m.Incarnation, time.UnixMilli(m.Start).UTC().Format(time.RFC3339), m.Addr)
	}
	if s := p.Shared; s == nil {
		fmt.Fprintln(w, "\nshared state is off")
	} else {
		fmt.Fprint(w, "\nCLASS")
		for _, k := range fleetstate.CounterKindNames() {
			fmt.Fprintf(w, "\t%s", k)
		}
		fmt.Fprintln(w)
		for i, class := range p.Classes {
			fmt.Fprint(w, class)
			for k := range fleetstate.CounterKindNames() {
				fmt.Fprintf(w, "\t%d", s.Totals.Get(i, fleetstate.CounterKind(k)))
			}
			fmt.Fprintln(w)
		}
		fmt.Fprintf(w, "\nstake 1/%d of each cold host's allowance; repeats lent %.2f, held %.2f a second\n", s.Routers, s.Lent[fleetstate.RetryBudgetKey], s.Borrowed[fleetstate.RetryBudgetKey])
		for host, share := range s.SlowStart {
			fmt.Fprintf(w, "cold host %s: own share %.4f, held %.4f\n", host, share.Own, share.Borrowed)
		}
		for _, j := range s.Ejections {
			fmt.Fprintf(w, "host %s: %s, by a standing of %.2f, own %v, until %s\n", j.Endpoint, j.Status, j.Support, j.ObservedHere, time.UnixMilli(j.Until).UTC().Format(time.RFC3339))
		}
		for peer, st := range s.Reputation {
			fmt.Fprintf(w, "peer %s: standing %.2f\n", peer, st)
		}
	}
	return w.Flush()
}
