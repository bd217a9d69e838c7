package harness

// Class is a class of requests in the settings.
type Class struct {
	Name      string
	Read      string // write, fresh, session, bounded or any
	Semantics string // pure, token or side_effect
	GiveUpMs  float64
	AimMs     float64
	KeyTTLMs  float64
	BoundMs   float64 // of a bounded class
}

// Billing returns the classes of a deployment like umea-billing.
func Billing() []Class {
	return []Class{
		{Name: "park-view", Read: "bounded", Semantics: "pure", GiveUpMs: 1200, AimMs: 500, BoundMs: 800},
		{Name: "own-edits", Read: "session", Semantics: "pure", GiveUpMs: 1200, AimMs: 500},
		{Name: "invoice-check", Read: "fresh", Semantics: "pure", GiveUpMs: 1500, AimMs: 500},
		{Name: "ledger-write", Read: "write", Semantics: "token", GiveUpMs: 5000, AimMs: 750, KeyTTLMs: 5000},
	}
}

// Settings returns the settings of a small deployment.
func Settings(classes []Class) map[string]any {
	var listed []map[string]any
	var reads []string
	var bounds []float64
	for _, class := range classes {
		listed = append(listed, map[string]any{
			"Name": class.Name, "AimMs": class.AimMs, "GiveUpMs": class.GiveUpMs, "Group": "cell",
			"Importance": 2.0, "KeyTtlMs": class.KeyTTLMs, "LateWorth": 0.2,
			"Semantics": class.Semantics, "Streamed": false,
		})
		reads = append(reads, class.Read)
		bounds = append(bounds, class.BoundMs)
	}
	return map[string]any{
		"Classes":   listed,
		"Clients":   map[string]any{"MarksRetry": false},
		"Discovery": "push",
		"Family":    "replicas",
		"FamilyInfo": map[string]any{
			"ClassRead": reads, "OldestDataMs": bounds, "PatienceMs": 0.0, "PositionZeroMs": 0.0,
			"RoleInList": "start", "Stamps": true, "Tokens": "carried", "WaitsForCopy": true,
			"WhenBehind": "refuse",
		},
		"Feedback":  map[string]any{"Fields": []string{"x0", "x1", "util", "queue"}, "Via": "on_probe"},
		"FleetSize": 2,
		"Limits": map[string]any{
			"Cancelling": true, "ConnIdleMs": 30000.0, "ConnectTimeoutMs": 250.0, "MaxAttempts": 6,
			"MaxOpen": 20000, "MaxRetryAfterMs": 1000.0, "ParallelTries": true, "Peers": false,
			"Probes": true, "RetryAfter": true, "StreamsPerConn": 1,
		},
		"Locality": 0,
		"Me":       0,
		"Rules": map[string]any{
			"AskWithinMs": 10000.0, "ColdMs": 18000.0, "GraceToAnswerMs": 20.0, "OverloadFactor": 2.0,
			"OverloadForMs": 1000.0, "StartCapacity": 0.21, "StopSendingWithinMs": 1000.0,
		},
		"Shapes": []string{"std-3core"},
		"Zones":  []string{"umea-east", "umea-west"},
	}
}

// Config returns a router's configuration.
func Config(name, listen, discovery string, settings map[string]any) map[string]any {
	return map[string]any{
		"name": name, "listen": listen, "discovery": discovery, "seed": "8c1f30d27a5be964",
		"limits":   map[string]any{"cores": 1.0, "memory_mb": 192.0, "sockets": 1024},
		"settings": settings,
	}
}
