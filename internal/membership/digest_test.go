package membership_test

import (
	"bufio"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"hash"
	"maps"
	"slices"

	"lotusbend/internal/membership"
)

// digest is a running SHA-256 of numbers and byte strings.
type digest struct {
	hash     hash.Hash
	buffered *bufio.Writer
}

func newDigest() *digest {
	h := sha256.New()
	return &digest{hash: h, buffered: bufio.NewWriter(h)}
}

func (d *digest) numbers(values ...int64) {
	for _, v := range values {
		d.buffered.Write(binary.BigEndian.AppendUint64(d.buffered.AvailableBuffer(), uint64(v)))
	}
}

func (d *digest) counters(values ...uint64) {
	for _, v := range values {
		d.numbers(int64(v))
	}
}

func (d *digest) flag(b bool) {
	if b {
		d.numbers(1)
	} else {
		d.numbers(0)
	}
}

// texts writes each string after its length, so that different lists give
// different bytes.
func (d *digest) texts(values ...string) {
	for _, v := range values {
		d.numbers(int64(len(v)))
		d.buffered.WriteString(v)
	}
}

// sum returns the digest in hex.
func (d *digest) sum() string {
	d.buffered.Flush()
	return hex.EncodeToString(d.hash.Sum(nil))
}

// The methods below write the types of package membership as numbers and strings.

func (d *digest) update(u membership.Update) {
	d.texts(u.Name, u.Addr, u.Zone, u.Suspector)
	d.numbers(u.Start, int64(u.Incarnation), int64(u.State))
}

func (d *digest) message(m membership.Message) {
	d.numbers(int64(m.Kind), int64(m.Seq), int64(m.Count), int64(membership.PacketSize(m)))
	d.texts(m.From, m.Target, m.TargetAddr, m.After, string(m.Payload))
	d.numbers(int64(len(m.Updates)))
	for _, u := range m.Updates {
		d.update(u)
	}
}

func (d *digest) ready(r membership.Ready) {
	d.numbers(int64(len(r.Packets)))
	for _, p := range r.Packets {
		d.texts(p.To)
		d.message(p.Message)
	}
	d.numbers(int64(len(r.Changes)))
	for _, c := range r.Changes {
		d.numbers(int64(c.Kind), int64(c.Previous), c.At)
		d.update(c.Member)
	}
	d.flag(r.UserData != nil)
	d.texts(string(r.UserData), r.From)
}

func (d *digest) size(s membership.Size) { d.numbers(int64(s.Low), int64(s.High)) }

func (d *digest) stats(s membership.Stats) {
	d.counters(s.PacketsIn, s.PacketsOut, s.BytesOut, s.Malformed, s.Misdirected, s.Stale, s.Dropped,
		s.UnknownSenders, s.Throttled, s.Suspected, s.DeclaredDead, s.Refuted, s.Conflicts)
}

func (d *digest) view(v membership.View) {
	d.numbers(int64(v.Version), v.ChangedAt, int64(v.Awareness), int64(len(v.Members)))
	d.update(v.Self)
	for _, u := range v.Members {
		d.update(u)
	}
	d.size(v.Fleet)
	for _, zone := range slices.Sorted(maps.Keys(v.Zones)) {
		d.texts(zone)
		d.size(v.Zones[zone])
	}
	d.stats(v.Stats)
}
