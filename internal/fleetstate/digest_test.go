package fleetstate_test

import (
	"bufio"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"hash"
	"maps"
	"math"
	"slices"

	"lotusbend/internal/fleetstate"
)

// digest is a running SHA-256 hash of numbers and byte strings.
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

// amounts writes each value rounded to 1e-9, because the last bits of a sum differ
// between processors with and without fused multiply-add.
func (d *digest) amounts(values ...float64) {
	for _, v := range values {
		d.numbers(int64(math.Round(v * 1e9)))
	}
}

func (d *digest) flag(b bool) {
	if b {
		d.numbers(1)
	} else {
		d.numbers(0)
	}
}

// texts writes each string preceded by its length, so that different lists have
// different encodings.
func (d *digest) texts(values ...string) {
	for _, v := range values {
		d.numbers(int64(len(v)))
		d.buffered.WriteString(v)
	}
}

func (d *digest) sum() string {
	d.buffered.Flush()
	return hex.EncodeToString(d.hash.Sum(nil))
}

// The functions from here to page write the package's types as numbers and bytes.
// When a field or type is renamed, only these functions change.

func (d *digest) counters(counters fleetstate.Counters) {
	d.numbers(int64(len(counters)))
	for _, v := range counters {
		d.numbers(int64(v))
	}
}

func (d *digest) entries(entries []fleetstate.CounterEntry) {
	d.numbers(int64(len(entries)))
	for _, e := range entries {
		d.texts(e.Name)
		d.numbers(e.Epoch, e.Stamp)
		d.counters(e.Counters)
	}
}

func (d *digest) message(m fleetstate.Message) {
	d.numbers(int64(m.Size()))
	d.entries(m.Counters)
	d.numbers(int64(len(m.HealthReports)), int64(len(m.LeaseRequests)), int64(len(m.LeaseGrants)))
	for _, report := range m.HealthReports {
		d.texts(report.Endpoint)
		d.numbers(int64(report.Status), report.AgeMs)
	}
	for _, request := range m.LeaseRequests {
		d.texts(request.Key)
		d.amounts(request.Wanted)
		d.numbers(int64(request.ID), request.RequestedAt)
	}
	for _, grant := range m.LeaseGrants {
		d.texts(grant.Key)
		d.amounts(grant.Amount)
		d.numbers(int64(grant.ID), grant.RequestedAt, grant.DurationMs)
	}
}

func (d *digest) ready(r fleetstate.Ready) {
	d.numbers(int64(len(r.Messages)))
	for _, envelope := range r.Messages {
		d.texts(envelope.To)
		d.message(envelope.Message)
	}
	d.numbers(int64(len(r.Events)))
	for _, event := range r.Events {
		d.texts(event.Key, event.Peer)
		d.numbers(int64(event.Kind), int64(event.Status))
		d.amounts(event.Amount)
		d.flag(event.Reason != "")
	}
}

func (d *digest) quota(value fleetstate.Quota) {
	d.amounts(value.Own, value.Borrowed)
	d.numbers(value.Until)
}

func (d *digest) quotas(quotas map[string]fleetstate.Quota) {
	d.numbers(int64(len(quotas)))
	for _, key := range slices.Sorted(maps.Keys(quotas)) {
		d.texts(key)
		d.quota(quotas[key])
	}
}

func (d *digest) ejections(ejections []fleetstate.Ejection) {
	d.numbers(int64(len(ejections)))
	for _, ejection := range ejections {
		d.texts(ejection.Endpoint)
		d.numbers(int64(ejection.Status), ejection.Until)
		d.amounts(ejection.Support)
		d.flag(ejection.ObservedHere)
	}
}

func (d *digest) advice(a fleetstate.Advice) {
	d.numbers(int64(a.Routers), int64(len(a.SuggestedPrimaries)))
	d.quotas(a.SlowStart)
	d.amounts(a.RemainingStake)
	d.quota(a.RetryQuota)
	d.ejections(a.Ejections)
	for _, group := range slices.Sorted(maps.Keys(a.SuggestedPrimaries)) {
		d.numbers(int64(group))
		d.texts(a.SuggestedPrimaries[group])
	}
}

func (d *digest) amountsByName(amounts map[string]float64) {
	d.numbers(int64(len(amounts)))
	for _, name := range slices.Sorted(maps.Keys(amounts)) {
		d.texts(name)
		d.amounts(amounts[name])
	}
}

func (d *digest) endpoints(endpoints []fleetstate.EndpointHealth) {
	for _, h := range endpoints {
		d.texts(h.Name)
		d.numbers(int64(h.Group), int64(h.Fault), h.PrimaryReportedAt, h.FaultAt, h.AnsweredSentAt, h.FreshAt, h.LastSentAt)
		for _, b := range []bool{h.Ready, h.Primary, h.Overdue, h.WarmingUp, h.RequestsQueued, h.PrimaryUnknown} {
			d.flag(b)
		}
	}
}

func (d *digest) page(p fleetstate.StatusPage) {
	d.numbers(int64(p.Routers), int64(p.RejectedCounters), int64(p.UnknownSenders))
	d.quotas(p.SlowStart)
	d.amounts(p.Stake)
	d.amountsByName(p.Lent)
	d.amountsByName(p.Borrowed)
	d.amountsByName(p.Reputation)
	d.quota(p.RetryQuota)
	d.counters(p.Totals)
	d.entries(p.Counters)
	d.ejections(p.Ejections)
}
