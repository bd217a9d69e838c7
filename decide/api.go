// Package decide makes the decisions of a query router for sharded,
// replicated databases: which member of a group gets each request, when to
// try again, when to refuse, and how to stay within the rules while members
// fail. This file holds the types that a router and the module exchange;
// every decision stands in decide.go.
package decide

import "time"

// Consistency says how fresh the data behind a request's answer must be.
type Consistency uint8

// The kinds of request by what they need.
const (
	Write   Consistency = iota // only the primary takes it
	Fresh                      // must see every commit made before it arrived
	Session                    // must see its session's own writes
	Bounded                    // data no older than Class.Bound when sent
	Any                        // any member's data will do
)

// Repeat says what may follow an attempt that may have run.
type Repeat uint8

// The three kinds of effect.
const (
	Pure   Repeat = iota // may be repeated and refused at will
	Keyed                // repeats are dropped by the servers in Class.Scope
	Unsafe               // must never run twice
)

// Scope names the servers that drop a keyed request's repeats.
type Scope uint8

// The scopes of a key.
const (
	ScopeGroup Scope = iota // the request's own group
	ScopeZone               // the servers in the zone of the first attempt
	ScopeAll                // every server
)

// Check says what a replica does with a read that it is too far behind for.
type Check uint8

// The ways of a replica that is behind.
const (
	Unchecked   Check = iota // answers from what it has
	RefuseStale              // answers Miss
	WaitStale                // waits up to Config.Patience, then answers Miss
)

// Role is a member's part in its group.
type Role uint8

// Roles as told by answers, reports and lists.
const (
	RoleUnknown Role = iota
	RolePrimary
	RoleReplica
)

// State is a member's state in the list.
type State uint8

// List states.
const (
	Gone State = iota
	Ready
	Draining
)

// Outcome is how an attempt or a probe ended.
type Outcome uint8

// Outcomes. Full, ConnectFailed, Moot, Miss and Rejected prove that nothing ran.
const (
	OK            Outcome = iota // served
	Error                        // an error; may have had an effect
	Full                         // turned away unseen
	TimedOut                     // no answer in time; may still run
	ConnectFailed                // no connection could be made
	Reset                        // the connection broke; may have run
	Cancelled                    // called off; may have run
	Moot                         // never sent
	Miss                         // turned away untouched: not primary, or too far behind
	Spoilt                       // answered with what can't be read; has run, or may have
	Rejected                     // turned away for what it says: no member would take it
)

// RanNot tells of an outcome that proves that nothing ran.
func (o Outcome) RanNot() bool {
	return o == Full || o == ConnectFailed || o == Moot || o == Miss || o == Rejected
}

// ListKind says what a list event holds.
type ListKind uint8

// Kinds of list news.
const (
	ListDelta  ListKind = iota // changed members only
	ListFull                   // every member
	ListCached                 // every member as last seen, maybe stale
	ListFailed                 // a Watch failed, or the watch dropped
)

// Class describes one class of request.
type Class struct {
	Name        string
	Aim         time.Duration // full worth within this time
	Deadline    time.Duration // the client's whole wait, its own retries included
	Worth       float64
	LateWorth   float64 // fraction of Worth paid after Aim
	Repeat      Repeat
	Scope       Scope
	KeyTTL      time.Duration // how long a keyed request's repeats are dropped
	Consistency Consistency
	Bound       time.Duration // oldest data of a Bounded class
}

// Config is what a router is told at its start.
type Config struct {
	Zone    int // the router's own zone
	Routers int // how many there are
	Classes []Class

	Check        Check
	Patience     time.Duration
	Positions    bool // every answer carries a position
	Carried      bool // session reads carry their token; else it is remembered
	ReportsRole  bool // probe results carry role and position
	MustAsk      bool // the list comes only when asked for
	AskWithin    time.Duration
	MaxAttempts  int
	Parallel     bool
	Probes       bool
	Cancels      bool
	MaxRetryWait time.Duration // the longest advice that clients follow, 0 for none

	StartCapacity  float64 // fraction of its capacity a cold member starts with
	ColdFor        time.Duration
	OverloadFactor float64
	OverloadFor    time.Duration
	RemovalBinds   bool // a member that is gone may get nothing more
}

// Member is one line of the list.
type Member struct {
	ID      uint32
	Zone    int
	Group   int
	State   State
	Primary bool
	Started time.Duration // when it last started, 0 if long ago
}

// Request is a client's request as it reaches the router.
type Request struct {
	ID         uint64
	Group      int
	Class      int
	Session    uint64        // 0 if none
	SinceWrite time.Duration // age of the session's last commit, 0 if none
	TimeLeft   time.Duration // until the client gives up on this try
}

// Note is what an answer or a report tells of a member. Position is a time
// on the router's clock up to which every commit is applied, 0 if untold; a
// write that went through tells the time of its commit instead.
type Note struct {
	Role     Role
	Position time.Duration
}

// Result is the end of one attempt.
type Result struct {
	Request uint64
	Attempt int
	Member  uint32
	Outcome Outcome
	Latency time.Duration
	Over    bool // the client has its answer already
	Note    Note
}

// ProbeResult is the end of one probe.
type ProbeResult struct {
	Member  uint32
	Outcome Outcome
	Note    Note // from the report, as old as the report
}

// Actions is what a Router can do. Its methods are called from within the
// Router's own methods and must not call back into it.
type Actions interface {
	Send(request uint64, member uint32, timeout time.Duration) // timeout 0: the client's
	Cancel(request uint64, attempt int)
	Refuse(request uint64, retryAfter time.Duration) // safe to retry; 0: no advice
	Fail(request uint64)                             // no promise about the effect
	Probe(member uint32)
	CloseIdle(member uint32) // close this router's idle connections to it
	Watch()                  // subscribe to the list
	SetTimer(after time.Duration, token uint32)
}

// Fleet is what a router's peers let it do: a rules value beside the module
// (internal/fleetstate), asked where the module decides. It can only make the
// module more careful, but for shares that other routers gave up. Without one
// the module acts alone, as if each method gave back what it was given.
type Fleet interface {
	// Routers is how many there may be, 0 if that is not known. Fewer than
	// Config.Routers change nothing.
	Routers() int
	// Cold returns the rate, in requests a second of a warm member, that a
	// cold member may be sent from here: own is this router's by itself, one
	// its stake in a member that bears one request at a time.
	Cold(member uint32, own, one float64, now time.Duration) float64
	// Repeats returns the repeats a second that this router has beside its
	// own earnings, below 0 where it gave some up.
	Repeats(now time.Duration) float64
	// Last tells that a member goes last among those fresh enough, and that
	// one with an open breaker is not tried yet.
	Last(member uint32, now time.Duration) bool
	// Leads tells that a group that seeks its primary asks this member next.
	Leads(member uint32, now time.Duration) bool
}

// alone is the Fleet of a router without peers.
type alone struct{}

func (alone) Routers() int                                           { return 0 }
func (alone) Cold(_ uint32, own, _ float64, _ time.Duration) float64 { return own }
func (alone) Repeats(time.Duration) float64                          { return 0 }
func (alone) Last(uint32, time.Duration) bool                        { return false }
func (alone) Leads(uint32, time.Duration) bool                       { return false }

// MemberView is what the module knows of a member at one moment, for whoever
// shares it with other routers. Taking it decides nothing.
type MemberView struct {
	ID      uint32
	Group   int
	Ready   bool
	Primary bool          // as believed
	LeadsAt time.Duration // when it last said itself that it is, 0 if it did not
	Open    bool          // its breaker
	Failing bool          // it could not be reached, or failed more than once in a row
	Latency time.Duration // smoothed; the router's where it was never heard
	Usual   time.Duration // the router's, over all members
	Lag     time.Duration // as last told, 0 for none
	LagAt   time.Duration // when
	Cold    bool
	Needed  bool // requests of its group are held
	Seeking bool // its group has no primary that answers
}

// View tells f of every member listed, in the order in which they were first
// listed.
func (r *Router) View(now time.Duration, f func(MemberView)) {
	for _, m := range r.order {
		if m.State == Gone {
			continue
		}
		v := MemberView{
			ID: m.ID, Group: m.Group, Ready: m.State == Ready, Primary: m == m.g.primary,
			Open: m.open, Failing: m.unreached || m.fails >= unreachable,
			Latency: r.latencyOf(m), Usual: r.latency, Lag: m.lag, LagAt: m.lagAt,
			Cold: r.warmth(m, now) < 1, Needed: len(m.g.held) > 0, Seeking: r.seeking(m.g),
		}
		if m.role == RolePrimary {
			v.LeadsAt = m.roleAt
		}
		f(v)
	}
}

// Retries are the repeats saved, the most that are, and what part of one a
// first try earns.
func (r *Router) Retries() (saved, most, earned float64) { return r.budget, retryBurst, retryShare }
