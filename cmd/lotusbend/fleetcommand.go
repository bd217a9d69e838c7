package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"
)

const (
	// fleetRequestTimeout bounds the request for the fleet page, body included.
	fleetRequestTimeout = 3 * time.Second
	// maxFleetPageBytes bounds the part of the page that is read.
	maxFleetPageBytes = 16 << 20
)

type fleetCmd struct {
	Admin string `help:"Address and port of a router's admin page (membership.admin)." required:""`
	JSON  bool   `help:"Print the page as JSON." name:"json"`
}

// Run prints one router's view and totals, as tables or as JSON.
func (cmd fleetCmd) Run() error {
	client := http.Client{Timeout: fleetRequestTimeout}
	response, err := client.Get("http://" + cmd.Admin + "/fleet")
	if err != nil {
		return fmt.Errorf("requesting the admin page: %w", err)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxFleetPageBytes))
	if err != nil {
		return fmt.Errorf("reading the admin page: %w", err)
	}
	var page fleetPage
	if err := json.Unmarshal(body, &page); err != nil {
		return fmt.Errorf("decoding the fleet page of %s: %w", cmd.Admin, err)
	}
	if cmd.JSON {
		_, err = os.Stdout.Write(body)
		return err
	}
	return page.print(os.Stdout, time.Now())
}
