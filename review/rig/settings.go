package rig

import (
	"fmt"
	"strings"
	"sync"
)

// settings is the settings object of a small deployment with the classes, effects
// and limits that the brief of Umeå states.
const settings = `{"Classes": [
 {"Name": "park-view", "AimMs": 500, "GiveUpMs": 1200, "Group": "all", "Importance": 2, "KeyTtlMs": 5000,
  "LateWorth": 0, "Semantics": "pure", "Streamed": false},
 {"Name": "own-edits", "AimMs": 500, "GiveUpMs": 1200, "Group": "all", "Importance": 2, "KeyTtlMs": 5000,
  "LateWorth": 0.2, "Semantics": "pure", "Streamed": false},
 {"Name": "invoice-check", "AimMs": 500, "GiveUpMs": 1500, "Group": "all", "Importance": 3, "KeyTtlMs": 5000,
  "LateWorth": 0.2, "Semantics": "pure", "Streamed": false},
 {"Name": "ledger-write", "AimMs": 750, "GiveUpMs": LEDGER, "Group": "cell", "Importance": 4,
  "KeyTtlMs": 5000, "LateWorth": 0.3, "Semantics": "token", "Streamed": false}],
 "Clients": {"MarksRetry": false},
 "Discovery": "push", "Family": "replicas",
 "FamilyInfo": {"ClassRead": ["bounded", "session", "fresh", "write"], "OldestDataMs": [800, 0, 0, 0],
  "PatienceMs": 0, "PositionZeroMs": 0, "RoleInList": "start", "Stamps": true, "Tokens": "carried",
  "WaitsForCopy": true, "WhenBehind": "refuse"},
 "Feedback": {"Fields": ["x0", "x1"], "Via": "on_probe"}, "FleetSize": 1,
 "Limits": {"Cancelling": true, "ConnIdleMs": 30000, "ConnectTimeoutMs": 250, "MaxAttempts": 6,
  "MaxOpen": 20000, "MaxRetryAfterMs": 1000, "ParallelTries": true, "Peers": false, "Probes": true,
  "RetryAfter": true,
  "StreamsPerConn": 1},
 "Locality": 0, "Me": 0, "Realms": [], "Shapes": ["std-3core"], "Tier": 0, "Tiers": ["billing-db"],
 "Rules": {"AskWithinMs": 10000, "ColdMs": 18000, "GraceToAnswerMs": 20, "OverloadFactor": 2,
  "OverloadForMs": 1000, "StartCapacity": 0.21, "StopSendingWithinMs": 1000},
 "WeightKind": "off", "Zones": ["umea-east", "umea-west"]}`

// Settings returns the settings object. ledgerGiveUpMs is how long a client waits
// for a ledger-write, all its tries together; 5000 is that of the brief.
func Settings(ledgerGiveUpMs int) string {
	return strings.Replace(settings, "LEDGER", fmt.Sprint(ledgerGiveUpMs), 1)
}

// Insert returns a ledger-write of a row. doc is in hex.
func Insert(id, row, doc, key string, waitMs, group int) string {
	return fmt.Sprintf(`INSERT INTO items (id, doc) VALUES ('%s', '\x%s') RETURNING doc `+
		`/* id=%s,c=ledger-write,d=%d,k=%s,cluster=%d */`, row, doc, id, waitMs, key, group)
}

// Select returns a read of a row. more is further fields of the comment, "" or
// beginning with a comma.
func Select(id, class, row string, waitMs, group int, more string) string {
	return fmt.Sprintf(`SELECT doc FROM items WHERE id = '%s' /* id=%s,c=%s,d=%d,cluster=%d%s */`,
		row, id, class, waitMs, group, more)
}

// Write is one write that a group has run.
type Write struct {
	Row, Doc, Host string
	AtMs           float64 // Unix milliseconds
}

// Log is what the database hosts of a cluster have received and run. It is safe for
// concurrent use.
type Log struct {
	mu       sync.Mutex
	writes   []Write
	received int
}

// Received counts a statement.
func (l *Log) Received() {
	l.mu.Lock()
	l.received++
	l.mu.Unlock()
}

// Count returns how many statements were received.
func (l *Log) Count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.received
}

// Add records a write that was run.
func (l *Log) Add(w Write) {
	l.mu.Lock()
	l.writes = append(l.writes, w)
	l.mu.Unlock()
}

// Row returns the writes of a row that were run up to a time in Unix milliseconds,
// the oldest first.
func (l *Log) Row(row string, untilMs float64) (found []Write) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, w := range l.writes {
		if w.Row == row && w.AtMs <= untilMs {
			found = append(found, w)
		}
	}
	return found
}

// viestiSettings is the settings object of a small deployment with the classes,
// effects and limits that the account of Harjuvesi states.
const viestiSettings = `{"Classes": [
 {"Name": "own-edits", "AimMs": 500, "GiveUpMs": 1200, "Group": "all", "Importance": 1, "KeyTtlMs": 0,
  "LateWorth": 0, "Semantics": "pure", "Streamed": false},
 {"Name": "archive-search", "AimMs": 400, "GiveUpMs": 1500, "Group": "all", "Importance": 1, "KeyTtlMs": 0,
  "LateWorth": 0, "Semantics": "pure", "Streamed": false},
 {"Name": "claim-message", "AimMs": 1000, "GiveUpMs": 5000, "Group": "all", "Importance": 3, "KeyTtlMs": 0,
  "LateWorth": 0.7, "Semantics": "side_effect", "Streamed": false}],
 "Clients": {"MarksRetry": true},
 "Discovery": "push", "Family": "replicas",
 "FamilyInfo": {"ClassRead": ["session", "any", "write"], "OldestDataMs": [0, 0, 0],
  "PatienceMs": 50, "PositionZeroMs": 0, "RoleInList": "late", "Stamps": true, "Tokens": "carried",
  "WaitsForCopy": true, "WhenBehind": "wait"},
 "Feedback": {"Fields": ["x0", "x1"], "Via": "on_probe"}, "FleetSize": 1,
 "Limits": {"Cancelling": true, "ConnIdleMs": 30000, "ConnectTimeoutMs": 250, "MaxAttempts": 10,
  "MaxOpen": 20000, "MaxRetryAfterMs": 500, "ParallelTries": false, "Peers": false, "Probes": true,
  "RetryAfter": true,
  "StreamsPerConn": 1},
 "Locality": 0, "Me": 0, "Realms": [], "Shapes": ["iso"], "Tier": 0, "Tiers": ["viesti-db"],
 "Rules": {"AskWithinMs": 10000, "ColdMs": 18000, "GraceToAnswerMs": 20, "OverloadFactor": 4,
  "OverloadForMs": 1000, "StartCapacity": 0.21, "StopSendingWithinMs": 250},
 "WeightKind": "off", "Zones": ["umea-east", "umea-west"]}`

// ViestiSettings returns the settings object of the second deployment.
func ViestiSettings() string { return viestiSettings }
