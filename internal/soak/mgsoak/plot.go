package mgsoak

import (
	"fmt"
	"image/color"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"

	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

// Size of the plot.
const (
	plotWidth  = 26 * vg.Centimeter
	plotHeight = 13 * vg.Centimeter
)

// Colours that colour-blind readers can distinguish (Okabe and Ito 2008).
var (
	gapColour    = color.RGBA{R: 0xd5, G: 0x5e, B: 0x00, A: 0xff}
	answerColour = color.RGBA{R: 0x00, G: 0x72, B: 0xb2, A: 0xff}
	faultColour  = color.RGBA{R: 0xb0, G: 0xb0, B: 0xb0, A: 0xff}
)

// plot draws the long gaps between tokens, the number of whole answers in each second,
// which shows recoveries, and the faults over the time of the run.
func (r *run) plot(path string) error {
	p := plot.New()
	p.Title.Text = fmt.Sprintf("seed %d: gaps between tokens and whole answers", r.seed)
	p.X.Label.Text = "s from the start"
	p.Y.Label.Text = "gap, s; answers a second"
	p.Legend.Top = true
	for _, s := range r.faultIntervals {
		line, err := plotter.NewLine(plotter.XYs{{X: seconds(s.start)}, {X: seconds(s.end)}})
		if err != nil {
			return fmt.Errorf("plot: %w", err)
		}
		line.Color = faultColour
		line.Width = vg.Points(4)
		p.Add(line)
	}
	if err := r.addGaps(p); err != nil {
		return fmt.Errorf("plot: %w", err)
	}
	answers, err := plotter.NewLine(r.answers())
	if err != nil {
		return fmt.Errorf("plot: %w", err)
	}
	answers.Color = answerColour
	p.Add(answers)
	p.Legend.Add("answers a second", answers)
	if err := p.Save(plotWidth, plotHeight, path); err != nil {
		return fmt.Errorf("plot: %w", err)
	}
	return nil
}

func (r *run) addGaps(p *plot.Plot) error {
	if len(r.gaps) == 0 {
		return nil
	}
	var points plotter.XYs
	for _, g := range r.gaps {
		points = append(points, plotter.XY{
			X: seconds(g.at),
			Y: seconds(g.duration),
		})
	}
	marks, err := plotter.NewScatter(points)
	if err != nil {
		return err
	}
	marks.Color = gapColour
	p.Add(marks)
	p.Legend.Add("gaps", marks)
	return nil
}

// answers returns the number of whole answers that ended in each second.
func (r *run) answers() plotter.XYs {
	counts := make(plotter.XYs, int(seconds(r.length))+1)
	for i := range counts {
		counts[i].X = float64(i)
	}
	for _, a := range r.evidence.answers {
		if i := int(seconds(a.ended)); a.err == nil && i < len(counts) {
			counts[i].Y++
		}
	}
	return counts
}

func seconds(duration mgclock.Millis) float64 { return float64(duration) / float64(mgclock.Second) }
