package membership

// Kind is the type of a message.
type Kind uint8

// The kinds of message: SWIM's failure detector, then the push-pull and user
// data.
const (
	Ping      Kind = iota + 1 // answered by Ack
	PingReq                   // request to ping Target at TargetAddr
	Ack                       // the sender is alive, or the target of an indirect probe is
	Nack                      // the target of an indirect probe sent no ack
	Sync                      // a page of the sender's view, of the names after After
	SyncReply                 // the receiver's page of the same names
	UserData                  // Payload, of state shared on top of the view
)

// Message is the content of one packet, whatever the codec. Updates are the
// piggy-backed gossip, or for Sync and SyncReply the page.
type Message struct {
	Kind       Kind
	Seq        uint64 // of a ping, repeated by its answers
	From       string // the sender's name
	Target     string // Ping: the name pinged; PingReq, Ack and Nack: the member probed
	TargetAddr string // PingReq: the address of Target
	After      string // Sync and SyncReply: the page has the names after this one
	Count      int    // Sync and SyncReply: other members in the sender's view
	Updates    []Update
	Payload    []byte // UserData: opaque to the protocol
}

// isPage reports whether the message is part of a push-pull.
func (m *Message) isPage() bool { return m.Kind == Sync || m.Kind == SyncReply }

// messageOverhead bounds a message's bytes besides its strings and updates.
const messageOverhead = 40

// size is the most bytes that the message takes in a packet.
func (m *Message) size() int {
	size := messageOverhead + len(m.From) + len(m.Target) + len(m.TargetAddr) + len(m.After) + len(m.Payload)
	for _, update := range m.Updates {
		size += update.size()
	}
	return size
}

// PacketSize is the most bytes that m takes in a packet, as charged to the byte
// budget.
func PacketSize(m Message) int { return m.size() }

// Packet is a message to send to an address.
type Packet struct {
	To      string
	Message Message
}

// ChangeKind is what happened to a member in this view.
type ChangeKind uint8

// The kinds of change of a view.
const (
	Joined    ChangeKind = iota + 1 // a new name, or a new instance of a known one
	Changed                         // its state or incarnation changed
	Forgotten                       // dead or left for Config.ReclaimMs, and removed
	Conflict                        // another live instance has this member's own name
)

// Change is one change of the view, for the log.
type Change struct {
	Kind     ChangeKind
	Member   Update
	Previous State
	At       int64 // ms
}

// Ready is what an event requires of the caller: to send the packets and to log
// the changes. The slices belong to the caller.
type Ready struct {
	Packets []Packet
	Changes []Change

	// UserData is the payload of a UserData packet of the member From, sent from
	// its own address; nil for any other event.
	UserData []byte
	From     string
}
