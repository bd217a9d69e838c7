package front_test

import (
	"encoding/binary"
	"fmt"
	"slices"
	"strings"

	"lotusbend/internal/postgres/wire"
)

// dialogue describes one client connection.
type dialogue struct {
	first         []byte        // sent after connecting
	second        []byte        // sent after the first ReadyForQuery
	cancelRunning bool          // a CancelRequest follows the first statement of the class "marker"
	timePasses    bool          // the clock advances until the connection ends
	before        func(*server) // called before connecting, if not nil
	between       func(*server) // called between first and second, if not nil
	memoryMiB     float64       // 0 for the default limit
}

// terminate is a Terminate message.
const terminate = "X\x00\x00\x00\x04"

// startup is a StartupMessage.
var startup = wire.AppendStartup(nil, "app", "shop")

// message returns a message with the given kind and body.
func message(kind byte, body string) []byte {
	b := binary.BigEndian.AppendUint32([]byte{kind}, uint32(4+len(body)))
	return append(b, body...)
}

// firstMessage returns a message of the startup phase, which has no kind byte.
func firstMessage(values ...uint32) []byte {
	b := binary.BigEndian.AppendUint32(nil, uint32(4+4*len(values)))
	for _, v := range values {
		b = binary.BigEndian.AppendUint32(b, v)
	}
	return b
}

// queries returns one Query message for each text, and a Terminate.
func queries(texts ...string) (b []byte) {
	for _, text := range texts {
		b = wire.AppendQuery(b, []byte(text))
	}
	return append(b, terminate...)
}

// concat returns the concatenation of messages.
func concat(parts ...[]byte) []byte { return slices.Concat(parts...) }

// Replica groups, which determine how the server answers a statement.
const (
	groupText = iota + 1
	groupBinary
	groupRejected
	groupRejectedWithoutAdvice
	groupFailed
	groupSilent
)

// statement returns the text of a read from a group.
func statement(id, group int) string {
	const format = "SELECT doc FROM items WHERE id = 'key%d' /* id=%d,c=read,d=480,cluster=%d,after=1767225600123 */"
	return fmt.Sprintf(format, id, id, group)
}

// dialogues are the scenarios by the names under which the golden file has them.
var dialogues = map[string]dialogue{
	"greeting":                  {first: startup, second: []byte(terminate)},
	"greeting-without-names":    {first: concat(firstMessage(wire.ProtocolVersion3), []byte(terminate))},
	"greeting-of-minor-version": {first: concat(firstMessage(wire.ProtocolVersion3+2), []byte(terminate))},
	"encryption-refused": {
		first:  concat(firstMessage(wire.SSLRequest), firstMessage(wire.GSSENCRequest), startup),
		second: []byte(terminate),
	},
	"another-version":        {first: firstMessage(2 << 16)},
	"startup-too-long":       {first: []byte("\x00\x01\x00\x00\x00\x03\x00\x00")},
	"startup-too-short":      {first: []byte("\x00\x00\x00\x07\x00\x03\x00")},
	"cancel-of-nothing":      {first: firstMessage(wire.CancelRequest, 5, 6)},
	"cancel-without-secret":  {first: firstMessage(wire.CancelRequest, 5)},
	"rejected-when-full":     {before: (*server).takeAllClients},
	"rejected-when-draining": {before: (*server).drain},
	"draining": {
		first:   startup,
		second:  queries(statement(1, groupText)),
		between: (*server).drainForLong,
	},
	"idle":                     {first: startup, second: []byte{}, timePasses: true},
	"part-of-a-startup":        {first: startup[:9], timePasses: true},
	"part-of-a-message":        {first: startup, second: []byte("Q\x00\x00\x00\x40SELECT"), timePasses: true},
	"part-too-long-for-memory": {first: startup, second: []byte("Q\x00\x01\x00\x00SELECT"), memoryMiB: 0.02},
	"idle-after-an-answer": {
		first:      startup,
		second:     wire.AppendQuery(nil, []byte(statement(1, groupText))),
		timePasses: true,
	},
	"idle-when-a-drain-begins": {first: startup, second: []byte{}, between: (*server).drain, timePasses: true},
	"evicted-for-another": {
		before:  limitDescriptors(26),
		first:   startup,
		second:  []byte{},
		between: (*server).connectAnother,
	},
	"evicted-after-its-answer": {
		before: limitDescriptors(3),
		first:  startup,
		second: wire.AppendQuery(nil, []byte(statement(1, groupText))),
	},
	"empty-queries": {first: startup, second: queries("", " ;\r\n\t; ")},
	"sync-and-flush": {
		first:  startup,
		second: concat(message('S', ""), message('H', ""), message('S', ""), []byte(terminate)),
	},
	"extended-protocol": {
		first: startup,
		second: concat(
			message('P', "\x00select 1\x00\x00\x00"), message('B', "\x00\x00\x00\x00\x00\x00\x00\x00"),
			message('E', "\x00\x00\x00\x00\x00"), message('S', ""), message('F', ""), queries("in vain"),
		),
	},
	"message-too-long":  {first: startup, second: []byte("Q\x7f\xff\xff\xff")},
	"message-too-short": {first: startup, second: []byte("Q\x00\x00\x00\x03")},
	"query-without-end": {
		first:  startup,
		second: concat(message('Q', "SELECT 1"), message('Q', ""), []byte(terminate)),
	},
	"query-with-a-zero-byte": {
		first:  startup,
		second: concat(message('Q', "SEL\x00ECT 1\x00"), []byte(terminate)),
	},
	"statements-unread": {
		first: startup,
		second: queries(
			"SELECT 1", "SELECT 1 /* open", "/* id=1,c=read,d=5,cluster=1 */ SELECT 1",
			"SELECT 1 /* id=1,c=read,cluster=1 */", "SELECT 1 /* id=1,c=read,d=x,cluster=1 */",
			"SELECT 1 /* id=1,c=read,d=5,cluster=x */", "SELECT 1 /* id=1,c=read,d=5,cluster=1,odd */",
			"SELECT 1 /* id=1,c=read,d="+strings.Repeat("9", 300)+"x,cluster=1 */",
		),
	},
	"statements-of-no-class": {
		first: startup,
		second: queries(
			"SELECT 1 /* id=1,c=unknown \"class\",d=5,cluster=1 */",
			"INSERT INTO items /* id=1,c=read,d=5,cluster=1 */",
			"SELECT 1 /* id=1,c=write,k=a,d=5,cluster=1 */",
			"INSERT INTO items /* id=1,c=write,d=5,cluster=1 */",
		),
	},
	"answers": {
		first: startup,
		second: queries(
			statement(1, groupText), statement(2, groupBinary), statement(3, groupRejected),
			statement(4, groupRejectedWithoutAdvice), statement(5, groupFailed),
		),
	},
	"writes": {
		first: startup,
		second: queries(
			"INSERT INTO items VALUES ('a') /* id=1,c=write,k=key,d=900.5,cluster=1 */",
			"update items /* id=2,c=write,k=key,d=99999999,cluster=2 */",
			"  select 1 /* id=3 , c=session , d= 0 , cluster=1 */;",
			"SELECT 'a' /* id=4,c=session,d=1,cluster=1 */", "SELECT '' /* id=5,c=fresh,d=1,cluster=2 */",
		),
	},
	"cancelled": {
		first:         startup,
		second:        queries(statement(1, groupSilent), "SELECT 1 /* id=2,c=marker,d=480,cluster=1 */"),
		cancelRunning: true,
	},
	"the-same-id": {
		first:         startup,
		second:        queries(statement(2, groupSilent), "SELECT 1 /* id=2,c=marker,d=480,cluster=1 */"),
		cancelRunning: true,
	},
	"out-of-memory": {
		first: startup,
		second: queries(
			statement(1, groupSilent), statement(2, groupText)+strings.Repeat(" ", 5000),
			"SELECT 1 /* id=3,c=marker,d=480,cluster=1 */",
		),
		cancelRunning: true,
		memoryMiB:     0.02,
	},
	"after-goodbye": {first: startup, second: concat([]byte(terminate), queries(statement(1, groupText)))},
	"all-at-once":   {first: concat(startup, queries(statement(1, groupText), ""))},
}
