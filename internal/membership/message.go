package membership

// Kind is what a packet asks or answers.
type Kind uint8

// The kinds of packet, in the order of a probe's life and then the push-pull.
const (
	Ping      Kind = iota + 1 // are you there? answered by Ack
	PingReq                   // probe Target at TargetAddr for me
	Ack                       // I am there (or, relayed: Target is)
	Nack                      // I asked Target for you and heard nothing: my links work
	Sync                      // a page of my view, after the name After
	SyncReply                 // a page of mine for the same names
	UserData                  // Payload, of those who share state on top of the view
)

// Message is one packet's content, whatever the codec. Rumors are the
// piggy-backed gossip, or for Sync and SyncReply the page.
type Message struct {
	Kind       Kind
	Seq        uint64
	From       string // the sender's name
	Target     string // Ping: the name meant; PingReq, Ack and Nack: the probed
	TargetAddr string // PingReq: where the probed is
	After      string // Sync: the page holds names after this one
	Count      int    // Sync and SyncReply: members that the sender's view holds
	Updates    []Update
	Payload    []byte // Carried: opaque to the rules
}

// messageOverhead bounds a message's bytes besides its strings and rumors.
const messageOverhead = 40

func (m *Message) size() int {
	n := messageOverhead + len(m.From) + len(m.Target) + len(m.TargetAddr) + len(m.After) + len(m.Payload)
	for _, r := range m.Updates {
		n += r.size()
	}
	return n
}

// Packet is a message to send to an address.
type Packet struct {
	To      string
	Message Message
}

// ChangeKind is what happened to a member in this view.
type ChangeKind uint8

// The kinds of change a view reports.
const (
	Joined    ChangeKind = iota + 1 // first heard of, or a new instance of a name
	Changed                         // its state or incarnation moved
	Forgotten                       // dead or left long enough to be dropped
	Conflict                        // another live instance claims this member's own name
)

// Change is one step of the view, for the log.
type Change struct {
	Kind     ChangeKind
	Member   Update
	Previous State
	At       int64
}

// Ready is what an event asks the caller to do: send the packets, log the
// changes. The slices are the caller's.
type Ready struct {
	Packets []Packet
	Changes []Change
	// State is the payload of a Carried packet that came from the member From,
	// from its own address; nil for any other event.
	UserData []byte
	From     string
}

// PacketSize is the most bytes that m takes in a packet, as the rules reckon it.
func PacketSize(m Message) int { return m.size() }
