package mgbench

import (
	"fmt"
	"image/color"
	"os"
	"path/filepath"

	"github.com/HdrHistogram/hdrhistogram-go"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgimg"
)

// Sizes of the plots.
const (
	plotWidth   = 22 * vg.Centimeter
	plotHeight  = 13 * vg.Centimeter
	tileHeight  = 7 * vg.Centimeter
	barWidth    = 14 * vg.Millimeter
	widthPerBar = 2.4 * vg.Centimeter
	lineWidth   = 1.5
	glyphRadius = 4
)

// palette holds colours that remain distinguishable for colour-blind readers
// (Okabe and Ito 2008), in order of use. When colours repeat, dashes
// distinguish the lines.
var palette = []color.RGBA{
	{R: 0x00, G: 0x72, B: 0xb2, A: 0xff},
	{R: 0xd5, G: 0x5e, B: 0x00, A: 0xff},
	{R: 0x00, G: 0x9e, B: 0x73, A: 0xff},
	{R: 0xcc, G: 0x79, B: 0xa7, A: 0xff},
	{R: 0xe6, G: 0x9f, B: 0x00, A: 0xff},
	{R: 0x56, G: 0xb4, B: 0xe9, A: 0xff},
	{R: 0x00, G: 0x00, B: 0x00, A: 0xff},
}

// lineStyle returns the i-th line style.
func lineStyle(i int) draw.LineStyle {
	line := draw.LineStyle{
		Color: palette[i%len(palette)],
		Width: vg.Points(lineWidth),
	}
	if round := i / len(palette); round > 0 {
		line.Dashes = []vg.Length{vg.Points(float64(5 * round)), vg.Points(3)}
	}
	return line
}

// writePlots writes the plots of a scenario to a directory.
func writePlots(dir string, s ScenarioSpec, policies []policy, runs []run) error {
	policies = s.playablePolicies(policies)
	tail := plotTail(s, policies, runs)
	if err := save(tail, plotWidth, plotHeight, dir, "tail-"+s.Name); err != nil {
		return err
	}
	for _, name := range []string{"stall", "preempts", "goodput", "p99"} {
		bars, err := plotBars(s, policies, runs, figureByName(name))
		if err != nil {
			return fmt.Errorf("plot: %w", err)
		}
		width := widthPerBar * vg.Length(len(policies)+1)
		if err := save(bars, width, plotHeight, dir, name+"-"+s.Name); err != nil {
			return err
		}
	}
	front, err := plotTradeOff(s, policies, runs)
	if err != nil {
		return fmt.Errorf("plot: %w", err)
	}
	if err := save(front, plotWidth, plotHeight, dir, "front-"+s.Name); err != nil {
		return err
	}
	return plotShares(filepath.Join(dir, "share-"+s.Name+".png"), s, policies, runs)
}

func save(p *plot.Plot, width, height vg.Length, dir, name string) error {
	if err := p.Save(width, height, filepath.Join(dir, name+".png")); err != nil {
		return fmt.Errorf("plot %s: %w", name, err)
	}
	return nil
}

// plotTail draws the complementary distribution of the gaps between tokens.
func plotTail(s ScenarioSpec, policies []policy, runs []run) *plot.Plot {
	p := plot.New()
	p.Title.Text = s.Name + ": gaps between tokens"
	p.X.Label.Text = "gap, ms"
	p.Y.Label.Text = "share of longer gaps"
	p.X.Scale, p.X.Tick.Marker = plot.LogScale{}, plot.LogTicks{Prec: -1}
	p.Y.Scale, p.Y.Tick.Marker = plot.LogScale{}, plot.LogTicks{Prec: -1}
	p.Add(plotter.NewGrid())
	p.Legend.Top = true
	for i, o := range policies {
		line, err := plotter.NewLine(tailOf(runsOf(runs, s.Name, o.name)))
		if err != nil {
			continue // a policy without tokens has no gaps
		}
		line.LineStyle = lineStyle(i)
		p.Add(line)
		p.Legend.Add(o.name, line)
	}
	p.X.Min, p.Y.Max = 5, 1
	return p
}

// minTailShare is the smallest share in a tail plot: below it a point stands
// for only a few gaps.
const minTailShare = 1e-6

// tailOf returns the complementary distribution of the gaps of runs.
func tailOf(runs []run) plotter.XYs {
	gaps := newHistogram()
	for _, r := range runs {
		gaps.Merge(r.meter.tokenGaps)
	}
	var points plotter.XYs
	total := float64(gaps.TotalCount())
	countedGaps := 0.0
	for _, bar := range gaps.Distribution() {
		countedGaps += float64(bar.Count)
		tailShare := 1 - countedGaps/total
		if bar.Count == 0 || tailShare < minTailShare {
			continue
		}
		points = append(points, plotter.XY{
			X: middle(bar),
			Y: tailShare,
		})
	}
	return points
}

// middle returns the midpoint of a histogram bar in ms.
func middle(bar hdrhistogram.Bar) float64 {
	return float64(bar.From+bar.To) / 2 * microsecond
}

// barRanges holds the medians and ranges of bars, for plotter.NewYErrorBars.
type barRanges struct {
	plotter.XYs
	plotter.YErrors
}

// plotBars draws a figure's median for each policy, with the range over the
// seeds.
func plotBars(s ScenarioSpec, policies []policy, runs []run, f figure) (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text = s.Name + ": " + f.heading + ", median and range"
	p.Y.Label.Text = f.heading
	p.Y.Min = 0
	var values plotter.Values
	var errors barRanges
	var names []string
	for i, o := range policies {
		median, minimum, maximum := medianAndRange(runsOf(runs, s.Name, o.name), f)
		values = append(values, median)
		errors.XYs = append(errors.XYs, plotter.XY{
			X: float64(i),
			Y: median,
		})
		errors.YErrors = append(errors.YErrors, struct{ Low, High float64 }{
			Low:  median - minimum,
			High: maximum - median,
		})
		names = append(names, o.name)
	}
	bars, err := plotter.NewBarChart(values, barWidth)
	if err != nil {
		return nil, err
	}
	bars.Color = palette[0]
	ranges, err := plotter.NewYErrorBars(errors)
	if err != nil {
		return nil, err
	}
	p.Add(bars, ranges)
	p.NominalX(names...)
	return p, nil
}

// minPreemptions replaces zero on the logarithmic axis of the trade-off plot.
const minPreemptions = 0.01

// legendMargin is the fraction of the trade-off plot's width reserved for the
// legend.
const legendMargin = 0.35

// edgeMargin is the fraction of the width that keeps the outermost glyph from
// being clipped.
const edgeMargin = 0.03

// plotTradeOff draws a point for each policy: the gaps of the services that
// prefer steady tokens against the preemptions of the services that prefer
// whole answers.
func plotTradeOff(s ScenarioSpec, policies []policy, runs []run) (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text = s.Name + ": steady tokens against preemptions, medians"
	p.X.Label.Text = "steady services: p99 between tokens, ms"
	p.Y.Label.Text = fmt.Sprintf("whole services: preemptions per 100, at least %g", minPreemptions)
	p.Y.Scale, p.Y.Tick.Marker = plot.LogScale{}, plot.LogTicks{Prec: -1}
	p.Add(plotter.NewGrid())
	p.Legend.Top, p.Legend.Left = true, true
	for i, o := range policies {
		own := runsOf(runs, s.Name, o.name)
		x, _, _ := medianAndRange(own, figureByName("steady99"))
		y, _, _ := medianAndRange(own, figureByName("wholepreempts"))
		point, err := plotter.NewScatter(plotter.XYs{{
			X: x,
			Y: max(y, minPreemptions),
		}})
		if err != nil {
			return nil, err
		}
		point.GlyphStyle = draw.GlyphStyle{
			Color:  palette[i%len(palette)],
			Radius: vg.Points(glyphRadius),
			Shape:  plotutil.Shape(i / len(palette)),
		}
		p.Add(point)
		p.Legend.Add(o.name, point)
	}
	width := p.X.Max - p.X.Min
	p.X.Min -= legendMargin * width
	p.X.Max += edgeMargin * width
	p.Y.Min, p.Y.Max = minPreemptions/2, max(p.Y.Max, 1)
	return p, nil
}

// plotShares draws the weight-normalized service of each account over time,
// one tile per policy, for the first seed.
func plotShares(path string, s ScenarioSpec, policies []policy, runs []run) error {
	plots := make([][]*plot.Plot, 0, len(policies))
	maxY := 0.0
	for _, o := range policies {
		p := plotShare(s, o, runsOf(runs, s.Name, o.name)[0])
		maxY = max(maxY, p.Y.Max)
		plots = append(plots, []*plot.Plot{p})
	}
	canvas := vgimg.New(plotWidth, tileHeight*vg.Length(len(plots)))
	tiles := draw.Tiles{
		Rows: len(plots),
		Cols: 1,
		PadY: vg.Points(8),
	}
	for i, row := range plot.Align(plots, tiles, draw.New(canvas)) {
		plots[i][0].Y.Max = maxY
		plots[i][0].Draw(row[0])
	}
	return writePNG(path, canvas)
}

// plotShare draws the tile of one policy. The legend names only the first
// accounts, which are the largest, since more names would cover the lines.
func plotShare(s ScenarioSpec, o policy, r run) *plot.Plot {
	p := plot.New()
	p.Title.Text = s.Name + ", " + o.name + ": service per weight"
	p.X.Label.Text = "time, s"
	p.Y.Label.Text = "tokens/s"
	p.Y.Min = 0
	p.Legend.Top = true
	for i, a := range s.Accounts {
		points := make(plotter.XYs, len(r.meter.accounts[i].shares))
		for k, tokens := range r.meter.accounts[i].shares {
			points[k] = plotter.XY{
				X: float64(k+1) * fairnessWindow / 1000,
				Y: tokens / a.Weight / (fairnessWindow / 1000),
			}
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			continue // a run shorter than a window has no points
		}
		line.LineStyle = lineStyle(i)
		p.Add(line)
		if i < len(palette) {
			p.Legend.Add(fmt.Sprintf("%s, weight %g", a.Name, a.Weight), line)
		}
	}
	p.X.Max = s.Duration * 1.3 // leaves space for the legend
	return p
}

func writePNG(path string, canvas *vgimg.Canvas) error {
	f, err := os.Create(path)
	if err != nil {
		return fmt.Errorf("plot: %w", err)
	}
	image := vgimg.PngCanvas{
		Canvas: canvas,
	}
	if _, err := image.WriteTo(f); err != nil {
		f.Close()
		return fmt.Errorf("plot: %w", err)
	}
	if err := f.Close(); err != nil {
		return fmt.Errorf("plot: %w", err)
	}
	return nil
}
