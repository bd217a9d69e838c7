package lab

// routerSettings is a format string for the routing settings of the lab's routers,
// in the deployment's format. Its argument is the number of routers.
const routerSettings = `{"Classes": [
 {"AimMs": 500, "GiveUpMs": 1200, "Group": "all", "Importance": 2, "KeyTtlMs": 5000, "LateWorth": 0,
  "Name": "park-view", "Semantics": "pure"},
 {"AimMs": 500, "GiveUpMs": 1500, "Group": "all", "Importance": 3, "KeyTtlMs": 5000, "LateWorth": 0.2,
  "Name": "invoice-check", "Semantics": "pure"},
 {"AimMs": 750, "GiveUpMs": 5000, "Group": "cell", "Importance": 4, "KeyTtlMs": 5000, "LateWorth": 0.3,
  "Name": "ledger-write", "Semantics": "token"}],
 "Discovery": "push",
 "FamilyInfo": {"ClassRead": ["bounded", "fresh", "write"], "OldestDataMs": [800, 0, 0],
  "Stamps": true, "Tokens": "carried", "WhenBehind": "refuse"},
 "Feedback": {"Fields": ["x0", "x1"], "Via": "on_probe"}, "FleetSize": %d,
 "Limits": {"Cancelling": true, "ConnIdleMs": 30000, "ConnectTimeoutMs": 250, "MaxAttempts": 6,
  "MaxRetryAfterMs": 1000, "ParallelTries": true, "Probes": true, "RetryAfter": true},
 "Locality": 0,
 "Rules": {"ColdMs": 18000, "OverloadFactor": 2, "OverloadForMs": 1000, "StartCapacity": 0.21},
 "Zones": ["east", "west"]}`

// edgeSettings is a format string for the operators' settings file of the lab's
// routers. Its arguments are the addresses of CoAP, MQTT and frames, further edge
// keys that each end with a comma, and the list of groups twice.
const edgeSettings = `{
	// Written by lotuslab; docs/edge.md explains each key.
	"log": {"level": "warn"},
	"edge": {
		"coap": %q, "mqtt": %q, "frames": %q, %s
		"routes": [
			{"match": "readings", "groups": [%s], "write": "ledger-write", "check": "invoice-check"},
			{"match": "values", "groups": [%s], "read": "park-view"},
		],
	},
}
`

// deploymentFile is a format string for a router's deployment file. Its arguments
// are the router's name and address, the discovery service's address, the seed, the
// limit of sockets, the endpoint list and the routing settings.
const deploymentFile = `{"name":%q,"listen":%q,"discovery":%q,"seed":"%x",` +
	`"limits":{"cores":1,"memory_mb":192,"sockets":%d},"known":%s,"settings":%s}`
