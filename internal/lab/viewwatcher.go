package lab

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"strconv"
	"strings"
	"time"

	"lotusbend/internal/membership"
)

const (
	// viewPollInterval is the pause between two polls of the views.
	viewPollInterval = 100 * time.Millisecond
	// adminTimeout limits a request to an admin page.
	adminTimeout = 500 * time.Millisecond
)

// viewWatcher polls every member's view and compares it with what the drill did to the
// members.
type viewWatcher struct {
	fleet   *memberFleet
	result  *FleetviewResult
	log     *slog.Logger
	client  http.Client
	boundMs int64 // time within which the views must settle after a fault

	cut          func(from, to int) bool // reports whether a link is cut; nil for no cut
	fault        string                  // current fault, for the texts of violations
	views        map[int]membership.View // of the last poll, by index of the member
	reportedKeys map[string]bool         // keys of the violations, each of which counts once
	seenDead     map[string]bool         // instances seen as dead or left, by "viewer name start"
	unsettled    string                  // describes a pair that was not settled at the last check
}

func newViewWatcher(
	fleet *memberFleet, result *FleetviewResult, log *slog.Logger, boundMs int64,
) *viewWatcher {
	return &viewWatcher{
		fleet:        fleet,
		result:       result,
		log:          log,
		client:       http.Client{Timeout: adminTimeout},
		boundMs:      boundMs,
		views:        map[int]membership.View{},
		reportedKeys: map[string]bool{},
		seenDead:     map[string]bool{},
	}
}

// poll reads and checks the views of the members that run and are not paused.
func (w *viewWatcher) poll() {
	clear(w.views)
	for i, m := range w.fleet.members {
		if !m.running || m.paused() {
			continue
		}
		view, err := w.view(m)
		if err != nil {
			continue
		}
		w.views[i] = view
		m.start = view.Self.Start
	}
	w.checkViews()
}

// view reads a member's view from its admin page.
func (w *viewWatcher) view(m *member) (view membership.View, err error) {
	response, err := w.client.Get("http://" + m.admin + "/membership")
	if err != nil {
		return view, err
	}
	defer response.Body.Close()
	return view, json.NewDecoder(response.Body).Decode(&view)
}

// checkViews adds the violations in the views of the last poll: running members that
// others see as dead (false_dead), and ended instances that others see as alive after
// they had seen them as dead or left (ghosts).
func (w *viewWatcher) checkViews() {
	now := time.Now()
	for viewer, view := range w.views {
		for _, update := range view.Members {
			subject := w.memberIndex(update.Name)
			if subject >= 0 && subject != viewer {
				w.checkPair(now, viewer, subject, update)
			}
		}
	}
}

// checkPair checks the entry of a subject in a viewer's view.
func (w *viewWatcher) checkPair(now time.Time, viewer, subject int, update membership.Update) {
	m := w.fleet.members[subject]
	instance := fmt.Sprint(viewer, " ", update.Name, " ", update.Start)
	ended := !m.running || update.Start != m.start
	switch {
	case update.State == membership.Dead && !ended && w.deathUnexplained(now, viewer, subject):
		if w.addViolation(fmt.Sprint("dead ", instance, " ", update.Incarnation),
			fmt.Sprintf("m%d saw %s as dead while it ran (%s, incarnation %d)",
				viewer+1, update.Name, w.fault, update.Incarnation)) {
			w.result.FalseDead++
		}
	case update.State >= membership.Dead && ended:
		w.seenDead[instance] = true
	case update.State == membership.Alive && ended && w.seenDead[instance]:
		if w.addViolation("resurrected "+instance,
			fmt.Sprintf("m%d sees an ended instance of %s as alive again", viewer+1, update.Name)) {
			w.result.Resurrected++
		}
	}
}

// deathUnexplained reports whether no injected fault explains that a viewer sees a
// running subject as dead.
func (w *viewWatcher) deathUnexplained(now time.Time, viewer, subject int) bool {
	m := w.fleet.members[subject]
	settling := !now.After(m.settlingUntil) || !now.After(w.fleet.members[viewer].settlingUntil)
	cutOff := w.cut != nil && (w.cut(viewer, subject) || w.cut(subject, viewer))
	return !m.paused() && !settling && !cutOff
}

// addViolation adds a violation to the result. It returns false if one with the same key
// was added before.
func (w *viewWatcher) addViolation(key, violation string) bool {
	if w.reportedKeys[key] {
		return false
	}
	w.reportedKeys[key] = true
	w.result.Violations = append(w.result.Violations, violation)
	return true
}

// memberIndex returns the index of the member with a name, or -1.
func (w *viewWatcher) memberIndex(name string) int {
	for i, m := range w.fleet.members {
		if m.router.Name == name {
			return i
		}
	}
	return -1
}

// settled reports whether every view of the last poll has exactly the wanted members.
// wanted returns whether a viewer should see a subject as a member; nil stands for the
// members that run. settled sets unsettled if it returns false for a pair.
func (w *viewWatcher) settled(wanted func(viewer, subject int) bool) bool {
	if len(w.views) == 0 {
		return false
	}
	for viewer, view := range w.views {
		byName := map[string]membership.Update{}
		for _, update := range view.Members {
			byName[update.Name] = update
		}
		for subject, m := range w.fleet.members {
			if subject == viewer {
				continue
			}
			want := m.running
			if wanted != nil {
				want = wanted(viewer, subject)
			}
			update, known := byName[m.router.Name]
			// A suspect counts as a member: under packet loss some member is
			// always briefly suspected by another until it refutes.
			isMember := known && update.State <= membership.Suspect && update.Start == m.start
			if isMember != want {
				w.unsettled = fmt.Sprintf("m%d sees %s as %v (start %d, known %v), want member %v",
					viewer+1, m.router.Name, update.State, update.Start, known, want)
				return false
			}
		}
	}
	return true
}

// phase polls until the views have settled after a fault or the bound has passed, and
// adds a Phase to the result. It reports whether the views settled.
func (w *viewWatcher) phase(ctx context.Context, fault string, wanted func(viewer, subject int) bool) bool {
	from := time.Now()
	phase := Phase{Fault: fault, BoundMs: w.boundMs}
	w.fault = fault
	for ctx.Err() == nil && time.Since(from) < w.bound() {
		w.poll()
		phase.Settled = w.settled(wanted)
		if phase.Settled {
			break
		}
		time.Sleep(viewPollInterval)
	}
	phase.SettleMs = time.Since(from).Milliseconds()
	w.result.Phases = append(w.result.Phases, phase)
	w.log.Info("phase ended", "fault", fault, "settled", phase.Settled,
		"settle_ms", phase.SettleMs, "bound_ms", phase.BoundMs)
	if !phase.Settled {
		w.result.Violations = append(w.result.Violations, fault+": "+w.unsettled)
	}
	return phase.Settled
}

// bound returns boundMs as a duration.
func (w *viewWatcher) bound() time.Duration { return time.Duration(w.boundMs) * time.Millisecond }

// pollFor polls the views for ms milliseconds.
func (w *viewWatcher) pollFor(ctx context.Context, ms int64) {
	w.fault = "waiting after " + w.fault
	end := time.Now().Add(time.Duration(ms) * time.Millisecond)
	for ctx.Err() == nil && time.Now().Before(end) {
		w.poll()
		time.Sleep(viewPollInterval)
	}
}

// droppedPackets returns how many received packets a member's transport dropped, from
// its metrics page. It returns 0 if the page cannot be read.
func (w *viewWatcher) droppedPackets(m *member) (sum uint64) {
	response, err := w.client.Get("http://" + m.admin + "/metrics")
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	lines := bufio.NewScanner(io.LimitReader(response.Body, 1<<16))
	for lines.Scan() {
		name, value, _ := strings.Cut(lines.Text(), " ")
		if !strings.HasPrefix(name, "membership_dropped_") || name == "membership_dropped_send_errors" {
			continue
		}
		if count, err := strconv.ParseUint(value, 10, 64); err == nil {
			sum += count
		}
	}
	return sum
}
