package fleetstate_test

import (
	"cmp"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"testing"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"lotusbend/internal/fleetstate/faultinjection"
)

// plotResults plots the requests lost with shared state as a fraction of those lost
// standalone, against the fraction of byzantine routers. It writes the figure to
// the directory named by LOTUSBEND_FIGURES, if that is set.
func plotResults(t *testing.T, rows []caseResult) {
	dir := os.Getenv("LOTUSBEND_FIGURES")
	if dir == "" {
		return
	}
	lines := map[string]plotter.XYs{}
	for _, r := range rows {
		y := float64(r.shared) / float64(r.standalone)
		x := float64(r.byzantine) / float64(r.routers)
		for fault, claim := range map[faultinjection.Fault]string{
			faultinjection.AllUnresponsive: "every endpoint is unresponsive",
			faultinjection.AllHealthy:      "every endpoint is healthy",
		} {
			if r.fault == fault || r.byzantine == 0 {
				k := fmt.Sprintf("%d routers, reports that %s", r.routers, claim)
				lines[k] = append(lines[k], plotter.XY{X: x, Y: y})
			}
		}
	}
	p := plot.New()
	p.Title.Text = "Requests lost to an unresponsive endpoint, with reports of peers"
	p.X.Label.Text = "fraction of byzantine routers"
	p.Y.Label.Text = "lost with shared state / lost standalone"
	p.Y.Min, p.Y.Max, p.Legend.Top, p.Legend.Left = 0, 2, true, true
	var args []any
	for _, k := range slices.Sorted(maps.Keys(lines)) {
		slices.SortFunc(lines[k], func(a, b plotter.XY) int { return cmp.Compare(a.X, b.X) })
		args = append(args, k, lines[k])
	}
	err := plotutil.AddLinePoints(p, args...)
	for _, ext := range []string{"svg", "png"} {
		if err == nil {
			err = p.Save(8*vg.Inch, 5*vg.Inch, filepath.Join(dir, "shared-hang."+ext))
		}
	}
	if err != nil {
		t.Error(err)
	}
}
