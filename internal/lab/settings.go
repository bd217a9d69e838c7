package lab

// routerSettings are the classes and rules of the lab's routers in the form of
// the deployment's. The verb is for the number of routers.
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

// edgeSettings is the operators' settings file of the lab's routers. The verbs
// are for the addresses of CoAP, MQTT and frames, further keys that each end
// with a comma, and twice the groups.
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

// deploymentFile is a router's file of the deployment. The verbs are for its
// name, its address, that of the discovery service, its seed, the limit of its
// sockets, the endpoint list and the settings.
const deploymentFile = `{"name":%q,"listen":%q,"discovery":%q,"seed":"%x",` +
	`"limits":{"cores":1,"memory_mb":192,"sockets":%d},"known":%s,"settings":%s}`
