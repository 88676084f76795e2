// Package chart draws the figures of the benches by policy.
//
// # Usage
//
//	err := chart.Draw("attainment.svg", "Placement", []chart.Panel{{
//		X: "time (h)", Y: "attainment", Curves: []chart.Curve{{Name: "greedy", Points: points}},
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

// Sizes of the charts.
const (
	chartWidth  = 26 * vg.Centimeter
	panelHeight = 7 * vg.Centimeter
	margin      = 3 * vg.Millimeter
	// legendWidth is kept free to the right of the panels.
	legendWidth = 3.5 * vg.Centimeter
	lineWidth   = 1.4 * vg.Length(1)
	// groupWidth is the width of the bars of a group.
	groupWidth = 28 * vg.Length(1)
	markSize   = font.Length(8)
	// headRoom is the part of the vertical axis above the highest figure.
	headRoom = 0.12
	// ticksAcross and ticksUp are about the numbers of ticks of the axes.
	ticksAcross = 8
	ticksUp     = 4
)

// Panel is one of the plots of a chart, which stand above each other. It has
// either curves or groups of bars.
type Panel struct {
	// X and Y are the names of the axes with their units.
	X, Y   string
	Curves []Curve
	// Marks are vertical lines with a text to the right of them.
	Marks []Mark
	// Groups are the names of groups of bars.
	Groups []string
	Bars   []Bars
	// Floor and Ceiling are in the vertical range in any case.
	Floor, Ceiling float64
}

// Curve is a policy's figure over time.
type Curve struct {
	Name   string
	Points plotter.XYs
}

// Bars are a policy's figures in each group.
type Bars struct {
	Name   string
	Values plotter.Values
}

// Mark is a time with a text.
type Mark struct {
	X    float64
	Text string
}

// Draw writes the panels as one chart to a file, of the type that its ending
// names: svg or png. An error is one of the file or of a figure that is no
// number.
func Draw(file, title string, panels []Panel) error {
	plots := make([][]*plot.Plot, len(panels))
	legend := plot.NewLegend()
	legend.Top, legend.Left = true, true
	for i, p := range panels {
		var names *plot.Legend
		if i == 0 {
			names = &legend
		}
		q, err := p.plot(names)
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

// plot returns the plot of a panel, and adds the names of its curves or bars to
// the legend, if there is one.
func (p Panel) plot(legend *plot.Legend) (*plot.Plot, error) {
	q := plot.New()
	q.X.Tick.Marker, q.Y.Tick.Marker = ticks{ticksAcross}, ticks{ticksUp}
	q.X.Label.Text, q.Y.Label.Text = p.X, p.Y
	grid := plotter.NewGrid()
	grid.Vertical.Color = nil
	q.Add(grid)
	if err := p.addCurves(q, legend); err != nil {
		return nil, err
	}
	if err := p.addBars(q, legend); err != nil {
		return nil, err
	}
	q.Y.Min, q.Y.Max = min(q.Y.Min, p.Floor), max(q.Y.Max, p.Ceiling)
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

// addBars adds the bars, a group at each whole number.
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

// addMarks adds the vertical lines, over the whole range, and their texts.
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

// ticks puts a labelled tick at each multiple of 1, 2 or 5 times a power of ten,
// between count and two and a half times as many.
type ticks struct{ count float64 }

var _ plot.Ticker = ticks{}

// Ticks implements plot.Ticker.
func (t ticks) Ticks(least, most float64) []plot.Tick {
	rough := (most - least) / t.count
	width := math.Pow(10, math.Floor(math.Log10(rough)))
	for _, n := range []float64{5, 2} {
		if n*width <= rough {
			width *= n
			break
		}
	}
	var list []plot.Tick
	for n := math.Ceil(least / width); n*width <= most; n++ {
		list = append(list, plot.Tick{Value: n * width, Label: strconv.FormatFloat(n*width, 'g', 6, 64)})
	}
	return list
}
