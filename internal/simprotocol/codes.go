package simprotocol

import (
	"errors"
	"fmt"

	"lotusbend/decide"
)

// Codes of events in the simulator's protocol. The comment after each is the
// protocol's own name for it.
const (
	EventClientCancelled  = 0  // lapsed
	EventAnswerStarted    = 1  // first bytes
	EventAttemptEnded     = 2  // attempt end
	EventTimerFired       = 3  // elapsed
	EventConfigure        = 4  // configure
	EventRegisterList     = 5  // register
	EventEndpointsUpdated = 6  // fleet
	EventRequestArrived   = 7  // demand
	EventPeerMessage      = 8  // peer
	EventStop             = 9  // halt
	EventHealthChecked    = 10 // ping result
)

// Codes of actions in the simulator's protocol, each with the protocol's own name.
const (
	actionSend           = 0  // place
	actionReject         = 1  // push back
	actionFail           = 2  // error
	actionCancel         = 3  // cancel
	actionSetTimer       = 4  // schedule
	actionCheckHealth    = 5  // check
	actionCloseIdle      = 6  // drop connections
	actionException      = 9  // exception
	actionWatchEndpoints = 10 // keep informed
)

// updateKinds holds the kinds of an endpoint list update, indexed by their code.
var updateKinds = [...]decide.EndpointUpdateKind{
	decide.UpdateDelta, decide.UpdateSnapshot, decide.UpdateCachedSnapshot, decide.WatchFailed,
}

// endpointStates holds the states of an endpoint, indexed by their code.
var endpointStates = [...]decide.EndpointState{decide.Removed, decide.Ready, decide.Draining}

// outcomesByCode holds the outcomes by result code. The codes are values of errno
// on Linux, where one fits.
var outcomesByCode = map[uint16]decide.Outcome{
	0:   decide.OK,
	2:   decide.Ineligible,
	5:   decide.Error,
	11:  decide.Overloaded,
	104: decide.Reset,
	110: decide.TimedOut,
	111: decide.ConnectFailed,
	114: decide.NotSent,
	125: decide.Cancelled,
}

// role returns the role for its code; codes other than 1 and 2 mean unknown.
func role(code uint32) decide.Role {
	switch code {
	case 1:
		return decide.RolePrimary
	case 2:
		return decide.RoleReplica
	}
	return decide.RoleUnknown
}

// ErrMalformed is wrapped by every error about the contents of a frame.
var ErrMalformed = errors.New("malformed frame")

// malformed returns an error that wraps ErrMalformed.
func malformed(format string, args ...any) error {
	return fmt.Errorf("%w: %s", ErrMalformed, fmt.Sprintf(format, args...))
}
