package simprotocol

import "time"

// ActionWriter appends the actions of one instance to a reply. It implements
// decide.Actions.
type ActionWriter struct {
	Reply    *Reply
	Instance uint16
}

// Send implements decide.Actions.
func (w *ActionWriter) Send(request uint64, endpoint uint32, timeout time.Duration) {
	w.Reply.record(actionSend, requestBytes+idBytes+durationBytes, w.Instance)
	w.Reply.u64(request)
	w.Reply.u32(endpoint)
	w.Reply.duration(timeout)
}

// Cancel implements decide.Actions.
func (w *ActionWriter) Cancel(request uint64, attempt int) {
	w.Reply.record(actionCancel, requestBytes+1, w.Instance)
	w.Reply.u64(request)
	w.Reply.u8(uint8(attempt))
}

// Reject implements decide.Actions.
func (w *ActionWriter) Reject(request uint64, retryAfter time.Duration) {
	w.Reply.record(actionReject, requestBytes+durationBytes, w.Instance)
	w.Reply.u64(request)
	w.Reply.duration(retryAfter)
}

// Fail implements decide.Actions.
func (w *ActionWriter) Fail(request uint64) {
	w.Reply.record(actionFail, requestBytes, w.Instance)
	w.Reply.u64(request)
}

// CheckHealth implements decide.Actions.
func (w *ActionWriter) CheckHealth(endpoint uint32) {
	w.Reply.record(actionCheckHealth, idBytes, w.Instance)
	w.Reply.u32(endpoint)
}

// WatchEndpoints implements decide.Actions.
func (w *ActionWriter) WatchEndpoints() {
	w.Reply.record(actionWatchEndpoints, 1, w.Instance)
	w.Reply.u8(1) // start watching
}

// CloseIdle implements decide.Actions.
func (w *ActionWriter) CloseIdle(endpoint uint32) {
	w.Reply.record(actionCloseIdle, idBytes, w.Instance)
	w.Reply.u32(endpoint)
}

// SetTimer implements decide.Actions.
func (w *ActionWriter) SetTimer(after time.Duration, token uint32) {
	w.Reply.record(actionSetTimer, durationBytes+idBytes, w.Instance)
	w.Reply.duration(after)
	w.Reply.u32(token)
}
