package edge

import (
	"encoding/hex"
	"math"

	"lotusbend/internal/edge/intake"
	"lotusbend/internal/router"
	"lotusbend/internal/slotmap"
)

// intakeActions implements intake.Actions for an Edge. Its methods are called
// inside Do. They must not call back into intake, so an answer that is known at
// once is posted to the loop.
type intakeActions Edge

// Answer implements intake.Actions.
func (a *intakeActions) Answer(to intake.Origin, answer intake.Answer) {
	e := (*Edge)(a)
	handle := slotmap.FromID(to.Peer)
	message := e.messages.Get(handle)
	if message == nil || int(to.Index) >= len(message.results) {
		return
	}
	result := &message.results[to.Index]
	result.Status = uint8(answer.Status)
	result.Wait = uint32(math.Ceil(answer.RetryAfter))
	message.unanswered--
	if message.unanswered == 0 {
		e.loop.Post(func() { e.answerMessage(handle) })
	}
}

// Persist implements intake.Actions.
func (a *intakeActions) Persist(r *intake.Reading) {
	e := (*Edge)(a)
	id := r.ID
	e.store.Put(r, func(err error) {
		if err != nil {
			e.log.Warn("reading not stored", "device", id.Device, "error", err)
		}
		e.loop.Do(func() {
			e.intake.Persisted(e.loop.Now(), id, err == nil)
			e.armTimer()
		})
	})
}

// Delete implements intake.Actions.
func (a *intakeActions) Delete(id intake.ID) { a.store.Delete(id) }

// Quarantine implements intake.Actions.
func (a *intakeActions) Quarantine(r *intake.Reading) {
	a.log.Error("conflicting reading quarantined", "device", r.Device, "epoch", r.Epoch, "seq", r.Seq)
	a.store.Quarantine(r)
}

// Submit implements intake.Actions.
func (a *intakeActions) Submit(
	id intake.ID, submission uint64, operation intake.Operation,
	reading *intake.Reading, group int, timeoutMs float64,
) {
	e := (*Edge)(a)
	route := e.routeByIntakeIndex(reading.Route)
	statement := &pendingStatement{submission: submission}
	if operation == intake.Write {
		text := insertText(route.Table, id.Row(), reading.Value)
		e.submit(statement, route.write, route.Write, text, id.Key(), group, timeoutMs)
		return
	}
	e.submit(statement, route.check, route.Check, checkText(route.Table, id.Row()), "", group, timeoutMs)
}

// insertText returns the statement that records a reading. The statement returns
// the recorded value, which differs from the given one if another reading was
// recorded under the same key.
func insertText(table, row string, value []byte) []byte {
	text := []byte("INSERT INTO " + table + " (id, doc) VALUES ('" + row + `', '\x`)
	text = hex.AppendEncode(text, value)
	return append(text, "') RETURNING doc"...)
}

// checkText returns the statement that reads a reading's row. The statement
// returns an empty value if the row does not exist; a reading's value is never
// empty.
func checkText(table, row string) []byte {
	return []byte("SELECT coalesce((SELECT doc FROM " + table + " WHERE id = '" + row + `'), '\x') AS doc`)
}

// finishSubmission reports the outcome of a submission's statement to intake.
func (e *Edge) finishSubmission(submission uint64, outcome outcome) {
	now := e.loop.Now()
	switch outcome.verdict {
	case router.Served:
		e.intake.Served(now, submission, outcome.value)
	case router.Rejected:
		e.intake.Rejected(now, submission, outcome.retryAfterMs)
	default:
		e.intake.Failed(now, submission)
	}
}
