package udp

import (
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"slices"

	"lotusbend/internal/membership"
)

// Handler returns the HTTP handler of the admin page. GET /membership returns the
// view, a membership.View, as JSON. GET /metrics returns the metrics of the member
// and those of extraMetrics as text, sorted lines of "name value". The handler is
// safe for concurrent use and calls extraMetrics in the goroutine of the request.
func (t *Transport) Handler(extraMetrics ...func() map[string]uint64) http.Handler {
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
		for _, source := range extraMetrics {
			maps.Copy(metrics, source())
		}
		for _, name := range slices.Sorted(maps.Keys(metrics)) {
			fmt.Fprintf(w, "%s %d\n", name, metrics[name])
		}
	})
	return mux
}

// viewMetrics returns the metrics of a view by name.
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
