package simprotocol

import "time"

// Sender writes one instance's actions into a reply. It implements
// decide.Actions.
type Sender struct {
	Reply    *Reply
	Instance uint16
}

// Send implements decide.Actions.
func (s *Sender) Send(request uint64, member uint32, timeout time.Duration) {
	s.Reply.record(acPlace, 22, s.Instance)
	s.Reply.u64(request)
	s.Reply.u32(member)
	s.Reply.ms(timeout)
}

// Cancel implements decide.Actions.
func (s *Sender) Cancel(request uint64, attempt int) {
	s.Reply.record(acCancel, 11, s.Instance)
	s.Reply.u64(request)
	s.Reply.buf = append(s.Reply.buf, uint8(attempt))
}

// Refuse implements decide.Actions.
func (s *Sender) Reject(request uint64, retryAfter time.Duration) {
	s.Reply.record(acPushBack, 18, s.Instance)
	s.Reply.u64(request)
	s.Reply.ms(retryAfter)
}

// Fail implements decide.Actions.
func (s *Sender) Fail(request uint64) {
	s.Reply.record(acError, 10, s.Instance)
	s.Reply.u64(request)
}

// Probe implements decide.Actions.
func (s *Sender) CheckHealth(member uint32) {
	s.Reply.record(acCheck, 6, s.Instance)
	s.Reply.u32(member)
}

// Watch implements decide.Actions.
func (s *Sender) WatchEndpoints() {
	s.Reply.record(acKeepInformed, 3, s.Instance)
	s.Reply.buf = append(s.Reply.buf, 1)
}

// CloseIdle implements decide.Actions.
func (s *Sender) CloseIdle(member uint32) {
	s.Reply.record(acDropConns, 6, s.Instance)
	s.Reply.u32(member)
}

// SetTimer implements decide.Actions.
func (s *Sender) SetTimer(after time.Duration, token uint32) {
	s.Reply.record(acSchedule, 14, s.Instance)
	s.Reply.ms(after)
	s.Reply.u32(token)
}
