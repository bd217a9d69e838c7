package edge

import (
	"bytes"
	"encoding/hex"
	"strconv"

	"lotusbend/internal/router"
	"lotusbend/internal/slotmap"
)

// pendingStatement is a statement that was submitted to the router.
type pendingStatement struct {
	submission uint64       // of intake, 0 for a read
	read       *pendingRead // nil for a submission of intake
}

// outcome is the result of a statement.
type outcome struct {
	verdict      router.Verdict
	value        []byte  // if Served
	retryAfterMs float64 // if Rejected
}

// submit appends the routing comment to a statement's text and submits it to the
// router. key is the idempotency key, empty for a read. Call it inside Do.
func (e *Edge) submit(
	statement *pendingStatement, class router.Class, className string,
	text []byte, key string, group int, timeoutMs float64,
) {
	e.lastSerial++
	text = append(text, " /* id="...)
	text = appendHex(text, e.bootID)
	text = appendHex(text, e.lastSerial)
	text = append(text, ",c="+className+",d="...)
	waitFrom := len(text)
	text = strconv.AppendInt(text, int64(timeoutMs), 10)
	waitTo := len(text)
	if key != "" {
		text = append(text, ",k="+key...)
	}
	text = append(text, ",cluster="...)
	text = strconv.AppendInt(text, int64(group), 10)
	text = append(text, " */"...)
	e.requestRouter.Submit(router.Request{
		Statement: router.Statement{Text: text, WaitFrom: waitFrom, WaitTo: waitTo},
		Class:     class.Number,
		Group:     group,
		TimeLeft:  timeoutMs,
	}, e, e.statements.Add(statement))
}

// appendHex appends n as 16 hexadecimal digits.
func appendHex(b []byte, n uint64) []byte {
	const zeros = "0000000000000000"
	digits := strconv.AppendUint(make([]byte, 0, len(zeros)), n, 16)
	b = append(b, zeros[:len(zeros)-len(digits)]...)
	return append(b, digits...)
}

// Answer implements router.Client. The router may call it from within Submit, so
// the outcome is posted to the loop and handled after the event in progress.
func (e *Edge) Answer(client slotmap.Handle, answer router.Answer) {
	statement := e.statements.Get(client)
	if statement == nil {
		return
	}
	e.statements.Remove(client)
	result := outcome{verdict: answer.Verdict, retryAfterMs: answer.RetryAfter}
	if answer.Verdict == router.Served {
		value, ok := rowValue(answer.Row) // a copy, because the row is valid only during this call
		result.value = value
		if !ok {
			result.verdict = router.Failed
		}
	}
	e.loop.Post(func() {
		if statement.read != nil {
			e.finishRead(statement.read, result)
		} else {
			e.finishSubmission(statement.submission, result)
		}
		e.armTimer()
	})
}

// rowValue returns a copy of a row's value, decoded from PostgreSQL's hex format
// of bytea if the row is in text format; ok is false if that is malformed.
func rowValue(row *router.Row) (value []byte, ok bool) {
	if row.Binary {
		return append([]byte{}, row.Value...), true
	}
	digits, isHex := bytes.CutPrefix(row.Value, []byte(`\x`))
	if !isHex {
		return append([]byte{}, row.Value...), true
	}
	value, err := hex.DecodeString(string(digits))
	return value, err == nil
}
