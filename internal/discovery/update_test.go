package discovery

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"testing"
)

// A list of 3,100 hosts, indented, is taken whole.
func TestListOfThousandsOfHostsIsTaken(t *testing.T) {
	const hosts = 3100
	var entries []map[string]any
	for n := range hosts {
		entries = append(entries, map[string]any{
			"name": fmt.Sprintf("database-host-%05d.billing.region-%d.example", n, n%5), "address": fmt.Sprintf("10.%d.%d.%d:5433", n%5, n/250, n%250),
			"zone": fmt.Sprintf("zone-%d", n%10), "type": "m2", "group": n / 4, "status": "ready", "weight": 1.0, "since_ms": 1767225600000 + n, "recovery": "on",
		})
	}
	body, err := json.MarshalIndent(map[string]any{"index": 41, "snapshot": true, "endpoints": entries}, "", "        ")
	if err != nil {
		t.Fatal(err)
	}
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", len(body))
	read, _, err := readResponse(bufio.NewReader(bytes.NewReader(append([]byte(head), body...))))
	if err != nil {
		t.Fatal(err)
	}
	list, err := NewEndpointIDs([]string{"zone-0"}).ParseBytes(read)
	if err != nil || len(list.Endpoints) != hosts || list.Endpoints[hosts-1].Group != (hosts-1)/4 {
		t.Errorf("%d hosts of %d, %v", len(list.Endpoints), hosts, err)
	}
}
