// Package chart draws the figures of the benchmarks by policy.
//
// # Usage
//
//	err := chart.Draw("attainment.svg", "Placement", []chart.Panel{{
//		XLabel: "time (h)", YLabel: "attainment", Curves: []chart.Curve{{Name: "greedy", Points: points}},
//	}})
package chart

import (
	"image/color"
	"math"
	"os"
	"path/filepath"
	"strconv"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/font"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
)

// Sizes of a chart.
const (
	chartWidth  = 26 * vg.Centimeter
	panelHeight = 7 * vg.Centimeter
	margin      = 3 * vg.Millimeter
	// legendWidth is the width of the legend to the right of the panels.
	legendWidth = 3.5 * vg.Centimeter
	lineWidth   = 1.4 * vg.Length(1)
	// groupWidth is the total width of the bars of a group.
	groupWidth = 28 * vg.Length(1)
	// markSize is the font size of the texts of marks.
	markSize = font.Length(8)
	// headRoom is the free space above the highest value, as a share of the vertical
	// range.
	headRoom = 0.12
	// minTicksX and minTicksY are about the smallest numbers of ticks of the horizontal
	// and the vertical axis.
	minTicksX = 8
	minTicksY = 4
)

// Panel is one of the plots of a chart, which are arranged vertically. A panel has
// either curves or groups of bars.
type Panel struct {
	// XLabel and YLabel are the labels of the axes with their units.
	XLabel, YLabel string
	Curves         []Curve
	// Marks are vertical lines with a text to the right of each line.
	Marks []Mark
	// Groups are the names of the groups of bars.
	Groups []string
	// Bars holds the bars of each policy, with one value for each group.
	Bars []Bars
	// The vertical range always includes MinY and MaxY.
	MinY, MaxY float64
}

// Curve holds a figure of a policy over time.
type Curve struct {
	Name   string
	Points plotter.XYs
}

// Bars holds a figure of a policy for each group.
type Bars struct {
	Name   string
	Values plotter.Values
}

// Mark is a time on the horizontal axis with a text.
type Mark struct {
	X    float64
	Text string
}

// Draw writes the panels as one chart to a file. The extension of the file selects the
// format, such as svg or png. Draw returns an error if a value is NaN or infinite, or if
// the file can't be written.
func Draw(file, title string, panels []Panel) error {
	plots := make([][]*plot.Plot, len(panels))
	legend := plot.NewLegend()
	legend.Top, legend.Left = true, true
	for i, p := range panels {
		var panelLegend *plot.Legend
		if i == 0 {
			panelLegend = &legend
		}
		q, err := p.plot(panelLegend)
		if err != nil {
			return err
		}
		plots[i] = []*plot.Plot{q}
	}
	plots[0][0].Title.Text = title
	format := strings.TrimPrefix(filepath.Ext(file), ".")
	canvas, err := draw.NewFormattedCanvas(chartWidth, panelHeight*vg.Length(len(panels)), format)
	if err != nil {
		return err
	}
	tiles := draw.Tiles{
		Rows: len(panels), Cols: 1, PadY: margin,
		PadTop: margin, PadBottom: margin, PadLeft: margin, PadRight: margin,
	}
	whole := draw.New(canvas)
	for i, c := range plot.Align(plots, tiles, draw.Crop(whole, 0, -legendWidth, 0, 0)) {
		plots[i][0].Draw(c[0])
	}
	legend.Draw(draw.Crop(whole, chartWidth-legendWidth, 0, 0, -3*margin))
	f, err := os.Create(file)
	if err != nil {
		return err
	}
	if _, err := canvas.WriteTo(f); err != nil {
		_ = f.Close()
		return err
	}
	return f.Close()
}

// plot returns the plot of a panel, and adds the names of its curves or bars to the
// legend unless legend is nil.
func (p Panel) plot(legend *plot.Legend) (*plot.Plot, error) {
	q := plot.New()
	q.X.Tick.Marker, q.Y.Tick.Marker = ticks{minTicksX}, ticks{minTicksY}
	q.X.Label.Text, q.Y.Label.Text = p.XLabel, p.YLabel
	grid := plotter.NewGrid()
	grid.Vertical.Color = nil
	q.Add(grid)
	if err := p.addCurves(q, legend); err != nil {
		return nil, err
	}
	if err := p.addBars(q, legend); err != nil {
		return nil, err
	}
	q.Y.Min, q.Y.Max = min(q.Y.Min, p.MinY), max(q.Y.Max, p.MaxY)
	q.Y.Max += headRoom * (q.Y.Max - q.Y.Min)
	return q, p.addMarks(q)
}

// addCurves adds a line for each curve.
func (p Panel) addCurves(q *plot.Plot, legend *plot.Legend) error {
	for i, c := range p.Curves {
		line, err := plotter.NewLine(c.Points)
		if err != nil {
			return err
		}
		line.Color, line.Width, line.Dashes = plotutil.Color(i), lineWidth, plotutil.Dashes(i)
		q.Add(line)
		if legend != nil {
			legend.Add(c.Name, line)
		}
	}
	return nil
}

// addBars adds the bars, with one group at each integer of the horizontal axis.
func (p Panel) addBars(q *plot.Plot, legend *plot.Legend) error {
	for i, b := range p.Bars {
		width := groupWidth / vg.Length(len(p.Bars))
		bars, err := plotter.NewBarChart(b.Values, width)
		if err != nil {
			return err
		}
		bars.Color, bars.LineStyle.Width = plotutil.Color(i), 0
		bars.Offset = width * vg.Length(2*i-len(p.Bars)+1) / 2
		q.Add(bars)
		if legend != nil {
			legend.Add(b.Name, bars)
		}
	}
	if len(p.Groups) > 0 {
		q.NominalX(p.Groups...)
	}
	return nil
}

// addMarks adds a vertical line over the whole range for each mark, and its text.
func (p Panel) addMarks(q *plot.Plot) error {
	if len(p.Marks) == 0 {
		return nil
	}
	texts := plotter.XYLabels{}
	for _, m := range p.Marks {
		line, err := plotter.NewLine(plotter.XYs{{X: m.X, Y: q.Y.Min}, {X: m.X, Y: q.Y.Max}})
		if err != nil {
			return err
		}
		line.Color = color.Gray{Y: 160}
		q.Add(line)
		texts.XYs = append(texts.XYs, plotter.XY{X: m.X, Y: q.Y.Max})
		texts.Labels = append(texts.Labels, m.Text)
	}
	labels, err := plotter.NewLabels(texts)
	if err != nil {
		return err
	}
	for i := range labels.TextStyle {
		labels.TextStyle[i].Font.Size = markSize
		labels.TextStyle[i].YAlign = draw.YTop
	}
	labels.Offset = vg.Point{X: 2, Y: -2}
	q.Add(labels)
	return nil
}

// ticks places labelled ticks at the multiples of 1, 2 or 5 times a power of ten. The
// range has between count and 2.5 times count intervals between ticks.
type ticks struct{ count float64 }

var _ plot.Ticker = ticks{}

// Ticks implements plot.Ticker.
func (t ticks) Ticks(low, high float64) []plot.Tick {
	maxInterval := (high - low) / t.count
	interval := math.Pow(10, math.Floor(math.Log10(maxInterval)))
	for _, n := range []float64{5, 2} {
		if n*interval <= maxInterval {
			interval *= n
			break
		}
	}
	var list []plot.Tick
	for n := math.Ceil(low / interval); n*interval <= high; n++ {
		list = append(list, plot.Tick{Value: n * interval, Label: strconv.FormatFloat(n*interval, 'g', 6, 64)})
	}
	return list
}
