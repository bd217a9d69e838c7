package simprotocol

import (
	"encoding/binary"
	"math"
	"time"

	"lotusbend/decide"
	"lotusbend/internal/clock"
)

const (
	// endpointBytes is the length of one entry of an endpoint list.
	endpointBytes = 25
	// maxLists is the largest number of endpoint lists that may be registered.
	maxLists = 16
	// valueBytes is the length of one value of a health check's report.
	valueBytes = 4
	// roleBits is the number of low bits of a packed status that hold the role;
	// the higher bits hold the position in milliseconds.
	roleBits = 2
	// roleMask selects the role from a packed status.
	roleMask = 1<<roleBits - 1
)

// Event is one decoded record. Code tells which of the other fields are set: the
// comment after a field names the events that set it.
type Event struct {
	Code        uint8
	Instance    uint16                    // the router that the event is for; all but EventRegisterList
	Request     decide.Request            // EventRequestArrived
	Result      decide.AttemptResult      // EventAttemptEnded
	HealthCheck HealthCheckReport         // EventHealthChecked
	RequestID   uint64                    // EventClientCancelled, EventAnswerStarted
	Attempt     int                       // EventAnswerStarted
	Token       uint32                    // EventTimerFired
	Seed        uint64                    // EventConfigure
	Settings    []byte                    // EventConfigure, JSON
	List        uint32                    // EventRegisterList, EventEndpointsUpdated
	Kind        decide.EndpointUpdateKind // EventEndpointsUpdated
	Endpoints   []decide.Endpoint         // EventRegisterList
}

// HealthCheckReport is the result of a health check. Values are those of the
// report, in the order that the instance's settings give.
type HealthCheckReport struct {
	Endpoint uint32
	Outcome  decide.Outcome
	Values   []float32
}

// decode reads the fields of a record with the event's code. The order of the reads
// is that of the fields in the record.
func (e *Event) decode(f *fields) error {
	if e.Code == EventRegisterList {
		return e.decodeList(f)
	}
	e.Instance = f.u16()
	switch e.Code {
	case EventClientCancelled:
		e.RequestID = f.u64()
	case EventAnswerStarted:
		e.RequestID = f.u64()
		e.Attempt = int(f.u8())
		f.u32() // endpoint, unused
		f.f64() // time of the first bytes, unused
	case EventAttemptEnded:
		return e.decodeResult(f)
	case EventTimerFired:
		e.Token = f.u32()
	case EventConfigure:
		e.Seed = f.u64()
		e.Settings = f.counted(int(f.u32()))
	case EventEndpointsUpdated:
		return e.decodeUpdate(f)
	case EventRequestArrived:
		return e.decodeRequest(f)
	case EventPeerMessage:
		f.u32()                 // sender, unused
		f.counted(int(f.u16())) // message, unused
	case EventStop:
	case EventHealthChecked:
		return e.decodeHealthCheck(f)
	default:
		return malformed("unknown code")
	}
	return f.err
}

func (e *Event) decodeList(f *fields) error {
	e.List = f.u32()
	e.Endpoints = decodeEndpoints(f)
	if f.err == nil && e.List >= maxLists {
		return malformed("list number %d, at most %d is allowed", e.List, maxLists-1)
	}
	return f.err
}

func (e *Event) decodeResult(f *fields) error {
	result := &e.Result
	result.Request = f.u64()
	result.Attempt = int(f.u8())
	result.Endpoint = f.u32()
	code := f.u16()
	result.Latency = f.duration()
	result.ClientAnswered = f.u8() != 0
	status := f.u32()
	result.Status.Role = role(status & roleMask)
	result.Status.Position = time.Duration(status>>roleBits) * time.Millisecond
	f.counted(valueBytes * int(f.u8())) // values of the answer, unused
	return f.outcome(code, &result.Outcome)
}

func (e *Event) decodeUpdate(f *fields) error {
	e.List = f.u32()
	kind := int(f.u8())
	f.u64() // index of the list, unused
	if f.err != nil {
		return f.err
	}
	if kind >= len(updateKinds) {
		return malformed("unknown kind %d of list update", kind)
	}
	e.Kind = updateKinds[kind]
	return nil
}

func (e *Event) decodeRequest(f *fields) error {
	request := &e.Request
	request.ID = f.u64()
	f.f64() // time at which the client sent the request, unused
	request.SinceCommit = clock.Duration(float64(f.f32()))
	group := f.f32()
	request.Session = f.u64()
	f.u8() // unused
	request.Class = int(f.u16())
	f.u16() // tenant, unused
	request.TimeLeft = f.duration()
	if f.err == nil && !(group >= 0 && group <= math.MaxUint16) {
		return malformed("group %v out of range", group)
	}
	request.Group = int(group)
	return f.err
}

func (e *Event) decodeHealthCheck(f *fields) error {
	report := &e.HealthCheck
	report.Endpoint = f.u32()
	code := f.u16()
	f.f64() // duration of the check, unused
	values := f.counted(valueBytes * int(f.u8()))
	for ; len(values) >= valueBytes; values = values[valueBytes:] {
		report.Values = append(report.Values, math.Float32frombits(binary.LittleEndian.Uint32(values)))
	}
	return f.outcome(code, &report.Outcome)
}

// outcome stores the outcome for a result code, unless the record was too short.
// It must be called after the last field has been read.
func (f *fields) outcome(code uint16, to *decide.Outcome) error {
	if f.err != nil {
		return f.err
	}
	outcome, known := outcomesByCode[code]
	if !known {
		return malformed("unknown outcome %d", code)
	}
	*to = outcome
	return nil
}

// decodeEndpoints reads the entries of an endpoint list, which must fill the rest
// of the record.
func decodeEndpoints(f *fields) []decide.Endpoint {
	count := int(f.u32())
	if f.err != nil {
		return nil
	}
	if count*endpointBytes != len(f.bytes) {
		f.err = malformed("%d list entries in %d bytes", count, len(f.bytes))
		return nil
	}
	endpoints := make([]decide.Endpoint, 0, count)
	for range count {
		endpoint := decodeEndpoint(f)
		if f.err != nil {
			return nil
		}
		endpoints = append(endpoints, endpoint)
	}
	return endpoints
}

func decodeEndpoint(f *fields) decide.Endpoint {
	var endpoint decide.Endpoint
	endpoint.ID = f.u32()
	endpoint.Zone = int(f.u8())
	f.u8() // kind of machine, unused
	endpoint.Group = int(f.u16())
	state := int(f.u8())
	endpoint.Primary = f.f32() == 1
	f.f32() // rating, unused
	endpoint.StartedAt = f.duration()
	if state >= len(endpointStates) {
		f.err = malformed("unknown endpoint state %d", state)
		return decide.Endpoint{}
	}
	endpoint.State = endpointStates[state]
	return endpoint
}
