package edge

import (
	"strings"
	"testing"

	edgeoptions "lotusbend/internal/operatorconfig"
)

func TestCheckRejectsUnfitClasses(t *testing.T) {
	for name, change := range map[string]func(*edgeoptions.Edge){
		"no such class":        func(o *edgeoptions.Edge) { o.Routes[0].Write = "nothing" },
		"a read as write":      func(o *edgeoptions.Edge) { o.Routes[0].Write = "park-view" },
		"a stale check":        func(o *edgeoptions.Edge) { o.Routes[0].Check = "park-view" },
		"a write as read":      func(o *edgeoptions.Edge) { o.Routes[1].Read = "ledger-write" },
		"a match twice":        func(o *edgeoptions.Edge) { o.Routes[1].Match = "readings" },
		"a key that ends soon": func(o *edgeoptions.Edge) { o.Intake.MaxOverrun = 4900 },
	} {
		options, err := edgeoptions.Parse("test", []byte(`{"edge": {"frames": "127.0.0.1:0", "routes": [
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
			t.Errorf("%s: %v", name, err)
		}
	}
}
