package wire_test

import (
	"strings"
	"testing"

	"lotusbend/internal/postgres/wire"
)

// writtenMessages returns every kind of message that the router sends, and some with
// very long or empty contents, by the names under which the golden file has them.
func writtenMessages(t *testing.T) map[string][]byte {
	t.Helper()
	longest := strings.Repeat("x", 70000)
	messages := map[string][]byte{
		// To endpoints.
		"startup":        wire.AppendStartup(nil, "app", "shop"),
		"startup-empty":  wire.AppendStartup(nil, "", ""),
		"query":          wire.AppendQuery(nil, []byte("SHOW health")),
		"query-in-parts": wire.AppendQuery(nil, []byte("SELECT "), nil, []byte("1"), []byte(" /* d=5 */")),
		"query-empty":    wire.AppendQuery(nil),
		// To clients.
		"authentication-ok": wire.AppendAuthenticationOk(nil),
		"parameter":         wire.AppendParameterStatus(nil, "server_version", "15.0"),
		"key-data":          wire.AppendBackendKeyData(nil, 7, 0xdeadbeef),
		"ready":             wire.AppendReadyForQuery(nil),
		"empty-query":       wire.AppendEmptyQueryResponse(nil),
		"error":             wire.AppendErrorResponse(nil, "ERROR", wire.CodeSyntaxError, "no", ""),
		"error-with-detail": wire.AppendErrorResponse(
			nil, "FATAL", wire.CodeTooManyConnections, "refused: try again later", "250",
		),
		"error-empty": wire.AppendErrorResponse(nil, "", "", "", ""),
		"row-description-text": wire.AppendRowDescription(
			nil, wire.Column{Name: []byte("doc"), Type: 25, Size: -1},
		),
		"row-description-binary": wire.AppendRowDescription(
			nil, wire.Column{Name: []byte("n"), Type: 23, Size: 4, Binary: true},
		),
		"row-description-unnamed": wire.AppendRowDescription(nil, wire.Column{}),
		"data-row":                wire.AppendDataRow(nil, []byte{0, 1, 0xff}),
		"data-row-empty":          wire.AppendDataRow(nil, nil),
		"complete":                wire.AppendCommandComplete(nil, []byte("INSERT 0 1")),
		"behind-another":          wire.AppendReadyForQuery(wire.AppendCommandComplete([]byte("before"), []byte("SELECT 1"))),
	}
	for _, code := range sqlStates {
		messages["error-"+code] = wire.AppendErrorResponse(nil, "ERROR", code, "text", "")
	}
	for name, text := range map[string][]byte{
		"query-long": wire.AppendQuery(nil, []byte(longest)), "data-row-long": wire.AppendDataRow(nil, []byte(longest)),
	} {
		messages[name] = text[:wire.HeaderLen+wire.RowHeaderLen] // the rest is a copy of the input
	}
	for name, m := range extendedMessages {
		read, err := wire.ParseExtended(m.kind, []byte(m.body))
		if err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		messages["extended-"+name] = wire.AppendExtended(nil, read, "lb_renamed")
	}
	return messages
}

// sqlStates are all SQLSTATE codes of the package.
var sqlStates = []string{
	wire.CodeTooManyConnections, wire.CodeCannotConnectNow, wire.CodeReadOnlyTransaction, wire.CodeTooFarBehind,
	wire.CodeProtocolViolation, wire.CodeSyntaxError, wire.CodeFeatureNotSupported, wire.CodeQueryCanceled,
	wire.CodeOutOfMemory,
}

// extendedMessages are messages of the extended query protocol, which are encoded
// again with another statement name.
var extendedMessages = map[string]struct {
	kind byte
	body string
}{
	"parse":         {'P', "s\x00select $1\x00\x00\x02\x00\x00\x00\x17\x00\x00\x00\x00"},
	"parse-unnamed": {'P', "\x00select 1\x00\x00\x00"},
	"bind": {
		'B', "p\x00s\x00\x00\x02\x00\x01\x00\x00\x00\x02\x00\x00\x00\x02ab\xff\xff\xff\xff\x00\x01\x00\x01",
	},
	"bind-bare":          {'B', "\x00\x00\x00\x00\x00\x00\x00\x00"},
	"bind-empty-value":   {'B', "\x00s\x00\x00\x00\x00\x01\x00\x00\x00\x00\x00\x00"},
	"describe-statement": {'D', "Ss\x00"},
	"describe-portal":    {'D', "Pp\x00"},
	"close-statement":    {'C', "Ss\x00"},
	"close-portal":       {'C', "P\x00"},
	"execute":            {'E', "p\x00\x00\x00\x00\x07"},
	"execute-all":        {'E', "\x00\x00\x00\x00\x00"},
	"sync":               {'S', ""},
	"flush":              {'H', ""},
}

// statements are statements with valid and invalid comments.
var statements = map[string]string{
	"read":               "SELECT doc FROM items WHERE id = '7f3a' /* id=9b1f,c=basket,d=480,cluster=2,after=1767225600123 */",
	"write":              "INSERT INTO items VALUES ('k', 'it''s') /* id=1,c=put,k=key-1,d=900,cluster=0 */",
	"wait-first":         "SELECT 1 /*d=1,id=2,c=3,cluster=4*/",
	"wait-last":          "SELECT 1 /*id=2,c=3,cluster=4,d=1*/",
	"blanks":             "  select 1 /*  id = a b , c = x ,  d =  250.75  , cluster = 65535 , after = 0 */ ; \r\n\t;",
	"no-blanks":          "SELECT 1/*id=a,c=x,d=5,cluster=1*/",
	"wait-twice":         "SELECT 1 /* id=a,c=x,d=5,d=77,cluster=1 */",
	"wait-zero":          "SELECT 1 /* id=a,c=x,d=0,cluster=1 */",
	"wait-largest":       "SELECT 1 /* id=a,c=x,d=4e12,cluster=1 */",
	"wait-too-large":     "SELECT 1 /* id=a,c=x,d=4.1e12,cluster=1 */",
	"wait-negative":      "SELECT 1 /* id=a,c=x,d=-1,cluster=1 */",
	"wait-not-a-number":  "SELECT 1 /* id=a,c=x,d=NaN,cluster=1 */",
	"wait-hexadecimal":   "SELECT 1 /* id=a,c=x,d=0x1p4,cluster=1 */",
	"wait-empty":         "SELECT 1 /* id=a,c=x,d=,cluster=1 */",
	"two-comments":       "SELECT 1 /* id=a,c=x,d=5,cluster=1 */ /* id=b,c=y,d=6,cluster=2 */",
	"comment-in-front":   "/* id=a,c=x,d=5,cluster=1 */ SELECT 1",
	"comment-in-string":  "SELECT '/* id=a,c=x,d=5,cluster=1 */'",
	"only-a-comment":     "/* id=a,c=x,d=5,cluster=1 */",
	"no-comment":         "SELECT 1",
	"open-comment":       "SELECT 1 /* id=a,c=x,d=5,cluster=1",
	"empty":              "",
	"unknown-parts":      "SELECT 1 /* z=1,id=a,c=x,d=5,cluster=1,=,y= */",
	"part-without-value": "SELECT 1 /* id=a,c=x,d=5,cluster=1,y */",
	"keyless":            "SELECT 1 /* id=a,c=x,k=,d=5,cluster=1 */",
	"key-of-blanks":      "SELECT 1 /* id=a,c=x,k=  ,d=5,cluster=1 */",
	"no-id":              "SELECT 1 /* c=x,d=5,cluster=1 */",
	"no-class":           "SELECT 1 /* id=a,d=5,cluster=1 */",
	"no-wait":            "SELECT 1 /* id=a,c=x,cluster=1 */",
	"no-cluster":         "SELECT 1 /* id=a,c=x,d=5 */",
	"cluster-too-large":  "SELECT 1 /* id=a,c=x,d=5,cluster=65536 */",
	"cluster-negative":   "SELECT 1 /* id=a,c=x,d=5,cluster=-1 */",
	"after-not-a-number": "SELECT 1 /* id=a,c=x,d=5,cluster=1,after=soon */",
	"after-infinite":     "SELECT 1 /* id=a,c=x,d=5,cluster=1,after=+Inf */",
	"value-with-equals":  "SELECT 1 /* id=a=b,c=x,d=5,cluster=1 */",
	"open-quote":         "SELECT 'a /* id=a,c=x,d=5,cluster=1 */",
	"empty-quote":        "SELECT '' /* id=a,c=x,d=5,cluster=1 */",
	"two-quotes":         "SELECT 'a', 'b' /* id=a,c=x,d=5,cluster=1 */",
	"not-ascii":          "SELECT 'é' /* id=\xff,c=ü,d=5,cluster=1 */",
	"lower-case-verb":    "\n\tupdate items set doc = 'x' /* id=a,c=x,d=5,cluster=1 */",
	"verb-with-digit":    "select2 /* id=a,c=x,d=5,cluster=1 */",
	"verb-alone":         "SELECT",
}

// malformedBinds are bodies of Bind messages with a wrong count or length.
var malformedBinds = []string{
	"\x00\x00\x00\x00\x00\x01\xff\xff\xff\xfe\x00\x00",
	"\x00\x00\x00\x00\x00\x01\x80\x00\x00\x00\x00\x00",
	"\x00\x00\x00\x00\x00\x01\x00\x00\x00\x03ab",
	"\x00\x00\xff\xff\x00\x00\x00\x00",
	"\x00\x00\x00\x00\xff\xff\x00\x00",
	"\x00\x00\x00\x00\x00\x00\xff\xff",
	"\x00\x00\x00\x01\x00\x00\x00\x00\x00",
}
