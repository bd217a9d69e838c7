package operatorconfig

import (
	"log/slog"
	"os"
	"regexp"
	"strings"
	"testing"
)

const example = `// a comment
{
	"log": {"level": "debug", "form": "json",},
	"edge": {
		"mqtt": "127.0.0.1:1883",
		"readings": 5000, /* and another */
		"store": "/tmp/x",
		"routes": [{"match": "readings", "groups": [1, 2], "write": "w", "check": "c"}, {"match": "v", "groups": [1], "read": "r"},],
	},
}`

func TestParseAppliesDefaults(t *testing.T) {
	options, err := Parse("f", []byte(example))
	if err != nil {
		t.Fatal(err)
	}
	edge := options.Edge
	if options.Level != slog.LevelDebug || !options.JSON || edge.MQTT != "127.0.0.1:1883" || edge.CoAP != "" || edge.Intake.MaxReadings != 5000 ||
		!edge.Intake.Durable || len(edge.Routes) != 2 || edge.Routes[0].Table != "items" || edge.Intake.WriteTimeout != 1200 {
		t.Errorf("Parse(example) = %+v, want the values of the example and defaults", options)
	}
	if options, err = Parse("f", []byte("{}")); err != nil || options.Edge != nil || options.Level != slog.LevelInfo || options.JSON {
		t.Errorf("Parse({}) = %+v, %v; want no edge and text at level info", options, err)
	}
}

// The file must be valid as it is, and with its commented-out examples enabled.
func TestDeploymentFileIsValid(t *testing.T) {
	const path = "../../deploy/lotusbend.json5"
	if options, err := Load(path); err != nil || options.Edge != nil {
		t.Errorf("Load(%s) = %+v, %v; want no edge", path, options, err)
	}
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	enabled := strings.NewReplacer("/*", "", "*/", "").Replace(string(text))
	if options, err := Parse(path, []byte(enabled)); err != nil || options.Edge == nil {
		t.Errorf("Parse with the examples enabled = %+v, %v; want an edge", options, err)
	}
}

// Each error is one line with the file, the line, the path and what was expected.
func TestParseErrorsNameFileLineAndPath(t *testing.T) {
	for text, want := range map[string]string{
		"":                                       `f:1: \$: the file is empty`,
		"{\n\n  \"edgy\": 1}":                    `f:3: edgy: unknown key; did you mean "edge"\?`,
		"{\n\"log\": {\"level\": \"loud\"}}":     `f:2: log.level: "loud": expected one of debug, info, warn, error`,
		"{\"log\": {}, \"log\": {}}":             `f:1: log: duplicate key`,
		"[1]":                                    `f:1: \$: expected an object`,
		"{\"log\": ":                             `f: line 2, column 1`,
		strings.Replace(example, "5000", "0", 1): `f:6: edge.readings: 0: expected a whole number from 1 to`,
		strings.Replace(example, "5000", "1.5", 1):                                                     `f:6: edge.readings: 1.5: expected a whole number`,
		strings.Replace(example, "5000", `"5"`, 1):                                                     `f:6: edge.readings: expected a number`,
		strings.Replace(example, "127.0.0.1:1883", "here", 1):                                          `f:5: edge.mqtt: "here": not an address and port`,
		strings.Replace(example, `"groups": [1, 2]`, `"groups": [1, -2]`, 1):                           `f:8: edge.routes\[0\].groups\[1\]: -2`,
		strings.Replace(example, `, "check": "c"`, "", 1):                                              `f:8: edge.routes\[0\]: write requires check`,
		strings.Replace(example, `"match": "v"`, `"match": "v'"`, 1):                                   `f:8: edge.routes\[1\].match: "v'": expected 1 to 64 letters`,
		strings.Replace(example, `"readings": 5000`, `"readings": 5`, 1):                               `f:4: edge: per_device and per_network must not exceed readings`,
		strings.Replace(example, `"store": "/tmp/x"`, `"retry_min_ms": 9000, "retry_max_ms": 8000`, 1): `f:4: edge: retry_min_ms exceeds retry_max_ms`,
		`{"edge": {"mqtt": "127.0.0.1:1"}}`:                                                            `f:1: edge: routes are required`,
		`{"edge": {"routes": []}}`:                                                                     `f:1: edge: one of coap, mqtt and frames`,
	} {
		options, err := Parse("f", []byte(text))
		if err == nil {
			t.Errorf("Parse(%q) = %+v, want an error", text, options)
			continue
		}
		if !regexp.MustCompile("^"+want).MatchString(err.Error()) || strings.Contains(err.Error(), "\n") {
			t.Errorf("Parse(%q) = %q, want one line that matches %q", text, err, want)
		}
	}
}

func FuzzParse(f *testing.F) {
	f.Add(example)
	f.Add(`{"edge": {"routes": [{"groups": 1}]}}`)
	f.Fuzz(func(t *testing.T, text string) {
		if options, err := Parse("f", []byte(text)); err == nil && options.Edge != nil && len(options.Edge.Routes) == 0 {
			t.Error("Parse returned an edge without routes")
		}
	})
}
