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

// TestSettleAgainstFleetSize checks simulated fleets of 3, 30 and 300 members. After
// all have joined through one seed, a tenth of them is killed, and the views must
// settle within settleBound. In between, a member may send no more than its byte
// budget and its probes per second.
//
// With LOTUSBEND_LARGE=1 a fleet of 1,000 is added, which takes about 5 minutes,
// mostly for the join. The logged table is in docs/membership.md. LOTUSBEND_FIGURES
// names a directory for its plot, membership-scale.svg and .png.
func TestSettleAgainstFleetSize(t *testing.T) {
	var rows []scaleRow
	defer func() { plotScale(t, rows) }()
	sizes := []int{3, 30, 300}
	if os.Getenv("LOTUSBEND_LARGE") == "1" {
		sizes = append(sizes, 1000)
	}
	for _, p := range sizes {
		sim := newSimulation(t, uint64(p), p, 2)
		sim.step = 20
		sim.start()
		join := sim.settle(20*settleBound(sim.cfg, p), nil)
		sim.bytes = 0
		from := sim.now
		sim.run(5000)
		settledRate := float64(sim.bytes) / float64(p) / (float64(sim.now-from) / 1000)
		for i := 1; i < len(sim.processes); i += 10 {
			sim.kill(sim.processes[i])
		}
		sim.bytes = 0
		from = sim.now
		kill := sim.settle(settleBound(sim.cfg, p), nil)
		settlingRate := float64(sim.bytes) / float64(len(sim.processes)) / (float64(sim.now-from+1) / 1000)
		t.Logf("| %d | %d | %d | %d | %.0f | %.0f |", p, join, kill, settleBound(sim.cfg, p), settledRate, settlingRate)
		rows = append(rows, scaleRow{p, join, kill, settleBound(sim.cfg, p), settledRate, settlingRate})
		// A member may send the budget of gossip and pages, and twice a ping and an ack
		// per probe interval, each under 200 bytes.
		if limit := float64(sim.cfg.GossipBytesPerSecond) + 2*200*1000/float64(sim.cfg.ProbeIntervalMs)*2; settledRate > limit {
			t.Errorf("%d members: %.0f bytes per member and second, want at most %.0f", p, settledRate, limit)
		}
		if sim.falseDeaths > 0 {
			t.Errorf("%d members: %d false deaths, want 0", p, sim.falseDeaths)
		}
	}
}

// scaleRow is the result for one fleet size.
type scaleRow struct {
	members      int
	join         int64   // ms to settle after the join
	kill         int64   // ms to settle after a tenth is killed
	bound        int64   // ms, the bound on kill
	settledRate  float64 // bytes per member and second while settled
	settlingRate float64 // bytes per member and second while settling after the kill
}

// plotScale plots the time to settle and the bytes sent against the fleet size, on
// a logarithmic scale, into the directory LOTUSBEND_FIGURES, if that is set.
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
			"calm", line(func(r scaleRow) float64 { return r.settledRate }),
			"while settling", line(func(r scaleRow) float64 { return r.settlingRate }),
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
		img := newCanvas(ext, 10*vg.Inch, 4*vg.Inch)
		canvases := plot.Align(tiles, draw.Tiles{Rows: 1, Cols: 2, PadX: vg.Millimeter * 4}, draw.New(img))
		settle.Draw(canvases[0][0])
		bytes.Draw(canvases[0][1])
		err = writeImage(img, filepath.Join(dir, "membership-scale."+ext))
	}
	if err != nil {
		t.Error(fmt.Errorf("plot: %w", err))
	}
}

// image is a canvas that can be written to a file.
type image interface {
	vg.CanvasSizer
	io.WriterTo
}

// newCanvas returns a canvas for SVG or PNG files, by the file extension.
func newCanvas(ext string, w, h vg.Length) image {
	if ext == "svg" {
		return vgsvg.New(w, h)
	}
	return vgimg.PngCanvas{Canvas: vgimg.New(w, h)}
}

func writeImage(img io.WriterTo, path string) error {
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	if _, err = img.WriteTo(file); err != nil {
		file.Close()
		return err
	}
	return file.Close()
}
