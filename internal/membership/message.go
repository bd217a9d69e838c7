package membership

// Kind is the type of a message.
type Kind uint8

// The kinds of messages: those of SWIM's failure detector, of the push-pull, and
// user data.
const (
	Ping      Kind = iota + 1 // probe, answered by Ack
	PingReq                   // request to ping Target at TargetAddr
	Ack                       // the sender, or the target of an indirect probe, is alive
	Nack                      // the target of an indirect probe sent no ack in time
	Sync                      // page of the sender's view, starting after the name After
	SyncReply                 // page of the replying member's view for a Sync
	UserData                  // Payload for the state that routers share on top of the view
)

// Message is the content of one packet, independent of the codec.
type Message struct {
	Kind       Kind
	Seq        uint64   // sequence number of a Ping or PingReq, copied to its Ack or Nack
	From       string   // name of the sender
	Target     string   // Ping: name of the receiver; PingReq, Ack, Nack: name of the probed member
	TargetAddr string   // PingReq: address of Target
	After      string   // Sync, SyncReply: the page contains the names after this one
	Count      int      // Sync, SyncReply: number of other members in the sender's view
	Updates    []Update // Sync, SyncReply: the page; otherwise piggybacked gossip
	Payload    []byte   // UserData: opaque to the protocol
}

// isPage reports whether the message is part of a push-pull.
func (m *Message) isPage() bool { return m.Kind == Sync || m.Kind == SyncReply }

// messageOverhead is the maximum encoded size, in bytes, of a message without its
// strings, updates and payload.
const messageOverhead = 40

// size returns the maximum encoded size of the message in bytes.
func (m *Message) size() int {
	size := messageOverhead + len(m.From) + len(m.Target) + len(m.TargetAddr) + len(m.After) + len(m.Payload)
	for _, update := range m.Updates {
		size += update.size()
	}
	return size
}

// PacketSize returns the maximum encoded size of m in bytes, which is charged to
// the byte budget.
func PacketSize(m Message) int { return m.size() }

// Packet is a message and the address to send it to.
type Packet struct {
	To      string
	Message Message
}

// ChangeKind is the kind of a change of the view.
type ChangeKind uint8

// The kinds of changes of the view.
const (
	Joined    ChangeKind = iota + 1 // new name, or new instance of a known name
	Changed                         // new state or incarnation
	Forgotten                       // removed after being dead or left for Config.ReclaimMs
	Conflict                        // another live instance uses this member's own name
)

// Change describes one change of the view, for the log.
type Change struct {
	Kind     ChangeKind
	Member   Update // state of the member after the change
	Previous State  // state before the change; of a new name, its first state
	At       int64  // time of the change, in milliseconds
}

// Ready is the result of an event: the packets that the caller must send and the
// changes that it should log. The slices belong to the caller.
type Ready struct {
	Packets []Packet
	Changes []Change

	// UserData is the payload of a received UserData message, nil for any other
	// event. Its sender is a member of the view and sent it from its own address.
	UserData []byte
	From     string // name of the sender of UserData
}
