package udp

import (
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"slices"
)

// Handler serves the admin page: GET /membership is the view as JSON (the
// shape of membership.View), GET /metrics the counters as plain lines of
// "name value", with those of more beside its own.
func (t *Transport) Handler(more ...func() map[string]uint64) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /membership", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(t.View())
	})
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		v := t.View()
		st := v.Stats
		lines := map[string]uint64{
			"membership_version": v.Version, "membership_alive": uint64(v.Fleet.Low), "membership_alive_or_suspect": uint64(v.Fleet.High),
			"membership_awareness": uint64(v.Awareness), "membership_packets_in": st.PacketsIn, "membership_packets_out": st.PacketsOut,
			"membership_bytes_out": st.BytesOut, "membership_stale": st.Stale, "membership_misdirected": st.Misdirected,
			"membership_relays_dropped": st.Dropped, "membership_held_back": st.Throttled, "membership_suspected": st.Suspected,
			"membership_declared_dead": st.DeclaredDead, "membership_refuted": st.Refuted, "membership_conflicts": st.Conflicts,
			"membership_rumors_malformed": st.Malformed, "membership_strangers": st.UnknownSenders,
		}
		for k, n := range t.Dropped() {
			lines["membership_dropped_"+k] = n
		}
		for _, f := range more {
			maps.Copy(lines, f())
		}
		for _, k := range slices.Sorted(maps.Keys(lines)) {
			fmt.Fprintf(w, "%s %d\n", k, lines[k])
		}
	})
	return mux
}
