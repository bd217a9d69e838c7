package discovery

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"testing"

	"lotusbend/decide"
)

// A malformed entry does not invalidate the others, and a name keeps its ID.
func TestParseUpdate(t *testing.T) {
	ids := NewEndpointIDs([]string{"a", "b"})
	first, err := ids.ParseBytes([]byte(`{"index":41,"snapshot":true,"endpoints":[{"name":"x","status":"odd"},{"status":"ready"},
		{"name":"s","address":"127.0.0.1:1","zone":"b","group":3,"status":"ready",
		"since_ms":1767225600000,"recovery":"off"}]}`))
	if err != nil || first.Index != 41 || !first.Snapshot || len(first.Endpoints) != 1 {
		t.Fatalf("ParseBytes of a snapshot = %+v, %v, want one endpoint at index 41", first, err)
	}
	endpoint := first.Endpoints[0]
	if endpoint.Zone != 1 || endpoint.Group != 3 || endpoint.State != decide.Ready || !endpoint.Primary ||
		endpoint.StartedAt.Milliseconds() != 1767225600000 {
		t.Errorf("endpoint s = %+v, want a ready primary of group 3 in zone 1", endpoint)
	}
	second, err := ids.ParseBytes([]byte(`{"index":42,"endpoints":[{"name":"s","status":"gone"}]}`))
	if err != nil || second.Snapshot {
		t.Errorf("ParseBytes of changes = %+v, %v, want no snapshot", second, err)
	}
	if second.Endpoints[0].ID != endpoint.ID || second.Endpoints[0].State != decide.Removed {
		t.Errorf("ParseBytes of changes = %+v, want endpoint %d removed", second, endpoint.ID)
	}
	for _, malformed := range []string{"", "[]", "{}", `{"endpoints":{}}`} {
		if _, err := ids.ParseBytes([]byte(malformed)); err == nil {
			t.Errorf("ParseBytes(%q) = nil error, want an error", malformed)
		}
	}
}

// An indented list of 3,100 endpoints is read and parsed completely.
func TestParseListOfThousandsOfEndpoints(t *testing.T) {
	const count = 3100
	var entries []map[string]any
	for n := range count {
		entries = append(entries, map[string]any{
			"name":     fmt.Sprintf("database-host-%05d.billing.region-%d.example", n, n%5),
			"address":  fmt.Sprintf("10.%d.%d.%d:5433", n%5, n/250, n%250),
			"zone":     fmt.Sprintf("zone-%d", n%10),
			"type":     "m2",
			"group":    n / 4,
			"status":   "ready",
			"weight":   1.0,
			"since_ms": 1767225600000 + n,
			"recovery": "on",
		})
	}
	document := map[string]any{"index": 41, "snapshot": true, "endpoints": entries}
	body, err := json.MarshalIndent(document, "", "        ")
	if err != nil {
		t.Fatal(err)
	}
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", len(body))
	got, err := readResponse(bufio.NewReader(bytes.NewReader(append([]byte(head), body...))))
	if err != nil {
		t.Fatal(err)
	}
	update, err := NewEndpointIDs([]string{"zone-0"}).ParseBytes(got.body)
	if err != nil || len(update.Endpoints) != count || update.Endpoints[count-1].Group != (count-1)/4 {
		t.Errorf("parsed %d of %d endpoints in groups of four, %v", len(update.Endpoints), count, err)
	}
}

// Two watches parse their lists at the same time while discovery moves. Concurrent
// access to the IDs ended the program, or could give one ID to two endpoints.
func TestConcurrentListsShareEndpointIDs(t *testing.T) {
	const watches, endpoints, lists = 4, 500, 5
	ids := NewEndpointIDs(nil)
	byName := make([]map[string]uint32, watches)
	var running sync.WaitGroup
	for watch := range watches {
		byName[watch] = map[string]uint32{}
		running.Go(func() {
			for list := range lists { // each has new names, in another order for each watch
				update, err := ids.ParseBytes(rotatedList(endpoints, list, watch*endpoints/watches))
				if err != nil {
					t.Error(err)
				}
				for _, endpoint := range update.Endpoints {
					byName[watch][endpoint.Name] = endpoint.ID
				}
			}
		})
	}
	running.Wait()
	names := map[uint32]string{}
	for name, id := range byName[0] {
		if other, taken := names[id]; taken {
			t.Errorf("endpoints %q and %q have the same ID %d", name, other, id)
		}
		names[id] = name
		for watch := range watches {
			if byName[watch][name] != id {
				t.Errorf("endpoint %q has the IDs %d and %d", name, id, byName[watch][name])
			}
		}
	}
	if len(names) != endpoints*lists {
		t.Errorf("%d endpoints have IDs, want %d", len(names), endpoints*lists)
	}
}

// rotatedList returns a list of n endpoints whose names no list of another number has,
// beginning with the given one.
func rotatedList(n, list, first int) []byte {
	entries := make([]string, n)
	for i := range entries {
		entries[i] = fmt.Sprintf(`{"name":"s-%d-%d","address":"127.0.0.1:1","status":"ready"}`, list, (first+i)%n)
	}
	return fmt.Appendf(nil, `{"index":1,"snapshot":true,"endpoints":[%s]}`, strings.Join(entries, ","))
}
