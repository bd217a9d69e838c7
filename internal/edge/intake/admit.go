package intake

import "math"

// admit decides whether there is room for e. Each device and network has its
// bound. Where the whole is short, whoever holds most gives way: a device that
// holds less than another gets the other's newest routine reading's place.
func (in *Intake) admit(now float64, e *entry) bool {
	if len(e.device.open) >= in.cfg.PerDevice || in.networks[e.network] >= in.cfg.PerNetwork {
		return false
	}
	for in.open >= in.cfg.MaxReadings || in.bytes+e.cost() > in.cfg.MaxBytes {
		v := in.victim(e)
		if v == nil {
			return false
		}
		in.stats.Evicted++
		in.drop(now, v)
	}
	return true
}

// victim returns the reading that gives way to e, nil if none does. It was
// never sent and is not stored, so that its refusal is harmless. An urgent
// reading displaces a routine one of any device that holds some; a routine one
// only that of a device which holds more than its own would.
func (in *Intake) victim(e *entry) *entry {
	if len(in.holders) == 0 {
		return nil
	}
	d := in.holders[0]
	if !e.Urgent && d.held <= e.device.held+1 {
		return nil
	}
	var newest *entry
	for _, l := range d.lines {
		if n := len(l.routine); n > 0 && l.routine[n-1].evictable() &&
			(newest == nil || l.routine[n-1].since >= newest.since) {
			newest = l.routine[n-1]
		}
	}
	return newest
}

// evictable tells whether e may be refused although it was admitted.
func (e *entry) evictable() bool {
	return e.phase == queued && !e.Urgent && !e.stored && !e.sent && e.tries == 0
}

// hold books e.
func (in *Intake) hold(now float64, e *entry) {
	d := e.device
	in.busy(d)
	if d.open == nil {
		d.open = map[number]*entry{}
	}
	d.open[e.ID.number()] = e
	in.open++
	in.bytes += e.cost()
	if e.network.IsValid() {
		in.networks[e.network]++
	}
	e.group = in.group(in.routes[e.Route].group(e.Device))
	if !e.stored {
		in.promise(now, e)
	}
}

// release takes e off the books.
func (in *Intake) release(e *entry) {
	d := e.device
	e.over = true
	delete(d.open, e.ID.number())
	in.open--
	in.bytes -= e.cost()
	if e.network.IsValid() {
		if in.networks[e.network]--; in.networks[e.network] <= 0 {
			delete(in.networks, e.network)
		}
	}
	in.timers.Cancel(e.wake)
	in.timers.Cancel(e.answer)
	e.wake, e.answer = nil, nil
	in.settle(d)
}

// drop refuses a reading that was never sent.
func (in *Intake) drop(now float64, e *entry) {
	e.line.take(e)
	in.holds(e.device, -1)
	for _, w := range e.waiters {
		in.refuse(now, w)
	}
	e.waiters = nil
	in.release(e)
}

// refuse answers a copy that went nowhere.
func (in *Intake) refuse(now float64, to Origin) {
	in.answer(to, Answer{Status: Refused, Wait: in.wait(now)})
}

// wait tells when a refused device should return: each gets the next place in
// the order in which readings are getting done, so that they do not return
// together. Past the longest wait that the settings allow they are spread by
// chance over its second half.
func (in *Intake) wait(now float64) float64 {
	in.returnAt = max(in.returnAt, now+in.cfg.RetryMin) + 1000/max(in.rate.at(now), 1)
	w := (in.returnAt - now) * (0.8 + 0.2*in.rand.Float64())
	if w > in.cfg.RetryMax {
		in.returnAt = min(in.returnAt, now+2*in.cfg.RetryMax)
		w = in.cfg.RetryMax * (0.5 + 0.5*in.rand.Float64())
	}
	return max(w, in.cfg.RetryMin)
}

// answer gives one copy its final answer.
func (in *Intake) answer(to Origin, a Answer) {
	switch a.Status {
	case Recorded:
		in.stats.Recorded++
	case Stored:
		in.stats.Stored++
	case Conflict:
		in.stats.Conflicts++
	case Refused:
		in.stats.Refused++
	case Unknown:
		in.stats.Unknown++
	case Invalid:
		in.stats.Invalid++
	}
	in.act.Answer(to, a)
}

// rate is how many readings end in a second, smoothed over about ten.
type rate struct{ count, since float64 }

const rateOver = 10000 // milliseconds

func (r *rate) at(now float64) float64 {
	r.fade(now)
	return r.count * 1000 / rateOver
}

func (r *rate) add(now float64) {
	r.fade(now)
	r.count++
}

func (r *rate) fade(now float64) {
	if now > r.since {
		r.count *= math.Exp((r.since - now) / rateOver)
		r.since = now
	}
}
