package udp

import (
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"slices"

	"lotusbend/internal/membership"
)

// Handler serves the admin page: GET /membership is the view as JSON (the
// shape of membership.View), GET /metrics the counters as plain lines of
// "name value", with those of more beside its own. It is safe for concurrent
// use, and calls more in the request's goroutine.
func (t *Transport) Handler(more ...func() map[string]uint64) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /membership", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(t.View())
	})
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		metrics := viewMetrics(t.View())
		for name, count := range t.Dropped() {
			metrics["membership_dropped_"+name] = count
		}
		for _, source := range more {
			maps.Copy(metrics, source())
		}
		for _, name := range slices.Sorted(maps.Keys(metrics)) {
			fmt.Fprintf(w, "%s %d\n", name, metrics[name])
		}
	})
	return mux
}

// viewMetrics are the metrics of a view, by name.
func viewMetrics(view membership.View) map[string]uint64 {
	stats := view.Stats
	return map[string]uint64{
		"membership_version":           view.Version,
		"membership_alive":             uint64(view.Fleet.Low),
		"membership_alive_or_suspect":  uint64(view.Fleet.High),
		"membership_awareness":         uint64(view.Awareness),
		"membership_packets_in":        stats.PacketsIn,
		"membership_packets_out":       stats.PacketsOut,
		"membership_bytes_out":         stats.BytesOut,
		"membership_stale":             stats.Stale,
		"membership_misdirected":       stats.Misdirected,
		"membership_limit_exceeded":    stats.Dropped,
		"membership_throttled":         stats.Throttled,
		"membership_suspected":         stats.Suspected,
		"membership_declared_dead":     stats.DeclaredDead,
		"membership_refuted":           stats.Refuted,
		"membership_conflicts":         stats.Conflicts,
		"membership_updates_malformed": stats.Malformed,
		"membership_unknown_senders":   stats.UnknownSenders,
	}
}
