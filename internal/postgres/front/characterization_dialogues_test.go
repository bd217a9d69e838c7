package front_test

import (
	"encoding/binary"
	"fmt"
	"slices"
	"strings"

	"lotusbend/internal/postgres/wire"
)

// dialogue is one connection of a client.
type dialogue struct {
	first    []byte // sent at once
	second   []byte // sent after the first ReadyForQuery
	cancels  bool   // once a statement of the class "marker" came, the running one is cancelled
	passes   bool   // time passes until the connection ends
	before   func(*server)
	between  func(*server) // first and second
	memoryMB float64       // 0 for the default limit
}

const terminate = "X\x00\x00\x00\x04"

var startup = wire.AppendStartup(nil, "app", "shop")

// message returns a message of any kind and body.
func message(kind byte, body string) []byte {
	b := binary.BigEndian.AppendUint32([]byte{kind}, uint32(4+len(body)))
	return append(b, body...)
}

// firstMessage returns a message of the startup, which has no kind.
func firstMessage(values ...uint32) []byte {
	b := binary.BigEndian.AppendUint32(nil, uint32(4+4*len(values)))
	for _, v := range values {
		b = binary.BigEndian.AppendUint32(b, v)
	}
	return b
}

// queries returns simple queries and a Terminate.
func queries(texts ...string) (b []byte) {
	for _, text := range texts {
		b = wire.AppendQuery(b, []byte(text))
	}
	return append(b, terminate...)
}

func inTurn(parts ...[]byte) []byte { return slices.Concat(parts...) }

// The group of a statement decides how the server answers it.
const (
	groupText = iota + 1
	groupBinary
	groupRejected
	groupRejectedWithoutAdvice
	groupFailed
	groupSilent
)

// statement is a read of a group.
func statement(id, group int) string {
	const format = "SELECT doc FROM items WHERE id = 'key%d' /* id=%d,c=read,d=480,cluster=%d,after=1767225600123 */"
	return fmt.Sprintf(format, id, id, group)
}

var dialogues = map[string]dialogue{
	"greeting":                  {first: startup, second: []byte(terminate)},
	"greeting-without-names":    {first: inTurn(firstMessage(wire.ProtocolVersion3), []byte(terminate))},
	"greeting-of-minor-version": {first: inTurn(firstMessage(wire.ProtocolVersion3+2), []byte(terminate))},
	"encryption-refused": {
		first:  inTurn(firstMessage(wire.SSLRequest), firstMessage(wire.GSSENCRequest), startup),
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
	"idle":                     {first: startup, second: []byte{}, passes: true},
	"part-of-a-startup":        {first: startup[:9], passes: true},
	"part-of-a-message":        {first: startup, second: []byte("Q\x00\x00\x00\x40SELECT"), passes: true},
	"part-too-long-for-memory": {first: startup, second: []byte("Q\x00\x01\x00\x00SELECT"), memoryMB: 0.02},
	"idle-after-an-answer": {
		first:  startup,
		second: wire.AppendQuery(nil, []byte(statement(1, groupText))),
		passes: true,
	},
	"idle-when-a-drain-begins": {first: startup, second: []byte{}, between: (*server).drain, passes: true},
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
		second: inTurn(message('S', ""), message('H', ""), message('S', ""), []byte(terminate)),
	},
	"extended-protocol": {
		first: startup,
		second: inTurn(
			message('P', "\x00select 1\x00\x00\x00"), message('B', "\x00\x00\x00\x00\x00\x00\x00\x00"),
			message('E', "\x00\x00\x00\x00\x00"), message('S', ""), message('F', ""), queries("in vain"),
		),
	},
	"message-too-long":  {first: startup, second: []byte("Q\x7f\xff\xff\xff")},
	"message-too-short": {first: startup, second: []byte("Q\x00\x00\x00\x03")},
	"query-without-end": {
		first:  startup,
		second: inTurn(message('Q', "SELECT 1"), message('Q', ""), []byte(terminate)),
	},
	"query-with-a-zero-byte": {
		first:  startup,
		second: inTurn(message('Q', "SEL\x00ECT 1\x00"), []byte(terminate)),
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
		first:   startup,
		second:  queries(statement(1, groupSilent), "SELECT 1 /* id=2,c=marker,d=480,cluster=1 */"),
		cancels: true,
	},
	"the-same-id": {
		first:   startup,
		second:  queries(statement(2, groupSilent), "SELECT 1 /* id=2,c=marker,d=480,cluster=1 */"),
		cancels: true,
	},
	"out-of-memory": {
		first: startup,
		second: queries(
			statement(1, groupSilent), statement(2, groupText)+strings.Repeat(" ", 5000),
			"SELECT 1 /* id=3,c=marker,d=480,cluster=1 */",
		),
		cancels:  true,
		memoryMB: 0.02,
	},
	"after-goodbye": {first: startup, second: inTurn([]byte(terminate), queries(statement(1, groupText)))},
	"all-at-once":   {first: inTurn(startup, queries(statement(1, groupText), ""))},
}
