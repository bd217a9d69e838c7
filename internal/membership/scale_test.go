package membership

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"testing"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgimg"
	"gonum.org/v1/plot/vg/vgsvg"
)

// TestSettleAgainstFleetSize measures, in the in-memory network, the time to
// settle after all join through one seed and after a tenth is killed, and the
// bytes a member sends a second, for 3, 30 and 300 members (1,000 as well
// with LOTUSBEND_LARGE=1: about 5 minutes, most of it the join). Each must settle within bound(p)
// after the kill and send within its byte budget plus its probes. The table
// is in docs/membership.md; with LOTUSBEND_FIGURES=DIR the plot is written
// there as membership-scale.svg and .png.
func TestSettleAgainstFleetSize(t *testing.T) {
	var rows []scaleRow
	defer func() { plotScale(t, rows) }()
	sizes := []int{3, 30, 300}
	if os.Getenv("LOTUSBEND_LARGE") == "1" {
		sizes = append(sizes, 1000)
	}
	for _, p := range sizes {
		w := newSimulation(t, uint64(p), p, 2)
		w.step = 20
		w.start()
		join := w.settle(20*bound(w.cfg, p), nil)
		w.bytes = 0
		from := w.now
		w.run(5000)
		calm := float64(w.bytes) / float64(p) / (float64(w.now-from) / 1000)
		for i := 1; i < len(w.processes); i += 10 {
			w.kill(w.processes[i])
		}
		w.bytes = 0
		from = w.now
		kill := w.settle(bound(w.cfg, p), nil)
		busy := float64(w.bytes) / float64(len(w.processes)) / (float64(w.now-from+1) / 1000)
		t.Logf("| %d | %d | %d | %d | %.0f | %.0f |", p, join, kill, bound(w.cfg, p), calm, busy)
		rows = append(rows, scaleRow{p, join, kill, bound(w.cfg, p), calm, busy})
		// probes: a ping and an ack a period, each under 200 bytes, besides
		// the budget for gossip and pages
		if most := float64(w.cfg.GossipBytesPerSecond) + 2*200*1000/float64(w.cfg.ProbeIntervalMs)*2; calm > most {
			t.Errorf("%d members: %.0f bytes a member a second, over %.0f", p, calm, most)
		}
		if w.falseDead > 0 {
			t.Errorf("%d members: %d false deaths", p, w.falseDead)
		}
	}
}

type scaleRow struct {
	members int
	join    int64   // ms
	kill    int64   // ms
	bound   int64   // ms
	calm    float64 // bytes a member a second
	busy    float64 // bytes a member a second
}

// plotScale draws settle time and bytes against fleet size, on a log scale
// of members, where LOTUSBEND_FIGURES names a directory.
func plotScale(t *testing.T, rows []scaleRow) {
	dir := os.Getenv("LOTUSBEND_FIGURES")
	if dir == "" || len(rows) == 0 {
		return
	}
	line := func(y func(scaleRow) float64) plotter.XYs {
		xy := make(plotter.XYs, len(rows))
		for i, r := range rows {
			xy[i].X, xy[i].Y = float64(r.members), y(r)
		}
		return xy
	}
	settle := plot.New()
	settle.Title.Text = "Settling after a tenth is killed"
	settle.X.Label.Text, settle.Y.Label.Text = "members", "seconds"
	settle.X.Scale, settle.X.Tick.Marker = plot.LogScale{}, plot.LogTicks{Prec: -1}
	bytes := plot.New()
	bytes.Title.Text = "Bytes a member sends a second"
	bytes.X.Label.Text, bytes.Y.Label.Text = "members", "bytes / s"
	bytes.X.Scale, bytes.X.Tick.Marker = plot.LogScale{}, plot.LogTicks{Prec: -1}
	err := plotutil.AddLinePoints(settle,
		"settled", line(func(r scaleRow) float64 { return float64(r.kill) / 1000 }),
		"bound", line(func(r scaleRow) float64 { return float64(r.bound) / 1000 }))
	if err == nil {
		err = plotutil.AddLinePoints(bytes,
			"calm", line(func(r scaleRow) float64 { return r.calm }),
			"while settling", line(func(r scaleRow) float64 { return r.busy }),
			"budget of gossip and pages", line(func(scaleRow) float64 { return float64(Defaults().GossipBytesPerSecond) }))
	}
	for _, p := range []*plot.Plot{settle, bytes} {
		p.Legend.Top, p.Legend.Left, p.Y.Min = true, true, 0
	}
	bytes.Y.Max = float64(Defaults().GossipBytesPerSecond) * 1.25
	for _, ext := range []string{"svg", "png"} {
		if err != nil {
			break
		}
		tiles := [][]*plot.Plot{{settle, bytes}}
		img := vgFor(ext, 10*vg.Inch, 4*vg.Inch)
		canvases := plot.Align(tiles, draw.Tiles{Rows: 1, Cols: 2, PadX: vg.Millimeter * 4}, draw.New(img))
		settle.Draw(canvases[0][0])
		bytes.Draw(canvases[0][1])
		err = writeImage(img, filepath.Join(dir, "membership-scale."+ext))
	}
	if err != nil {
		t.Error(fmt.Errorf("plot: %w", err))
	}
}

type image interface {
	vg.CanvasSizer
	io.WriterTo
}

func vgFor(ext string, w, h vg.Length) image {
	if ext == "svg" {
		return vgsvg.New(w, h)
	}
	return vgimg.PngCanvas{Canvas: vgimg.New(w, h)}
}

func writeImage(img io.WriterTo, path string) error {
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	if _, err = img.WriteTo(f); err != nil {
		f.Close()
		return err
	}
	return f.Close()
}
