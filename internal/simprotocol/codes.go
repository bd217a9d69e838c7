package simprotocol

import (
	"errors"
	"fmt"

	"lotusbend/decide"
)

// Codes of events, as the simulator's page numbers them. Behind each stands the
// page's name.
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

// Codes of actions, likewise.
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

// updateKinds are the kinds of a list event, by their number.
var updateKinds = [...]decide.EndpointUpdateKind{
	decide.UpdateDelta, decide.UpdateSnapshot, decide.UpdateCachedSnapshot, decide.WatchFailed,
}

// endpointStates are the states of a list entry, by their number.
var endpointStates = [...]decide.EndpointState{decide.Removed, decide.Ready, decide.Draining}

// outcomesByCode are the outcomesByCode by their result code, which are those of errno
// where there is one.
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

// role translates a role's number.
func role(number uint32) decide.Role {
	switch number {
	case 1:
		return decide.RolePrimary
	case 2:
		return decide.RoleReplica
	}
	return decide.RoleUnknown
}

// ErrMalformed is wrapped by every error about the contents of a frame.
var ErrMalformed = errors.New("malformed frame")

func malformed(format string, args ...any) error {
	return fmt.Errorf("%w: %s", ErrMalformed, fmt.Sprintf(format, args...))
}
