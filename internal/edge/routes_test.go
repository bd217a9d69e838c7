package edge

import (
	"strings"
	"testing"

	"lotusbend/internal/operatorconfig"
)

// Check rejects routes whose classes do not fit, with an error of one line.
func TestCheckRejectsUnfitClasses(t *testing.T) {
	for name, change := range map[string]func(*operatorconfig.Edge){
		"unknown class":                func(o *operatorconfig.Edge) { o.Routes[0].Write = "nothing" },
		"read class for writes":        func(o *operatorconfig.Edge) { o.Routes[0].Write = "park-view" },
		"stale read class for checks":  func(o *operatorconfig.Edge) { o.Routes[0].Check = "park-view" },
		"write class for reads":        func(o *operatorconfig.Edge) { o.Routes[1].Read = "ledger-write" },
		"duplicate match":              func(o *operatorconfig.Edge) { o.Routes[1].Match = "readings" },
		"idempotency window too short": func(o *operatorconfig.Edge) { o.Intake.MaxOverrun = 4900 },
	} {
		options, err := operatorconfig.Parse("test", []byte(`{"edge": {"frames": "127.0.0.1:0", "routes": [
			{"match": "readings", "groups": [1], "write": "ledger-write", "check": "invoice-check"},
			{"match": "values", "groups": [1], "read": "park-view"}]}}`))
		if err != nil {
			t.Fatal(err)
		}
		if err := Check(options.Edge, &stubRouter{}); err != nil {
			t.Fatal(err)
		}
		change(options.Edge)
		if err := Check(options.Edge, &stubRouter{}); err == nil || strings.Contains(err.Error(), "\n") {
			t.Errorf("Check with %s = %v, want an error of one line", name, err)
		}
	}
}
