package slopes

import (
	"os"

	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgimg"
)

const (
	cellWidth  = 3.5 * vg.Inch
	cellHeight = 2.4 * vg.Inch
	cellPad    = 0.15 * vg.Inch
)

// plottedQuantities are the indexes of the plotted quantities. The others appear
// only in the table.
var plottedQuantities = []int{0, 1, 2, 3, 4}

// drawPanels returns one row of panels for each sweep.
func drawPanels(results []result) ([][]*plot.Plot, error) {
	rows := make([][]*plot.Plot, 0, len(results))
	for _, r := range results {
		var row []*plot.Plot
		for _, q := range plottedQuantities {
			p, err := newPanel(r, q)
			if err != nil {
				return nil, err
			}
			row = append(row, p)
		}
		rows = append(rows, row)
	}
	return rows, nil
}

// newPanel plots the points and the fit of one quantity.
func newPanel(r result, quantityIndex int) (*plot.Plot, error) {
	p := plot.New()
	p.X.Label.Text = r.sweep.Name
	p.Y.Label.Text = quantities[quantityIndex].name + ", " + quantities[quantityIndex].unit
	p.Y.Min = 0
	points := make(plotter.XYs, len(r.points))
	for i := range r.points {
		points[i].X, points[i].Y = r.sweep.Values[i], quantities[quantityIndex].value(r.points[i].Cost)
	}
	scatter, err := plotter.NewScatter(points)
	if err != nil {
		return nil, errors.Wrap(err, "plot points")
	}
	fit := r.fits[quantityIndex]
	fitCurve := plotter.NewFunction(func(x float64) float64 { return fit.intercept + fit.slope*x })
	fitCurve.XMin, fitCurve.XMax = r.sweep.Values[0], r.sweep.Values[len(r.sweep.Values)-1]
	p.Add(plotter.NewGrid(), fitCurve, scatter)
	p.Y.Min = min(0, p.Y.Min)
	return p, nil
}

// drawPNG writes the plot as a PNG file.
func drawPNG(path string, results []result) (err error) {
	rows, err := drawPanels(results)
	if err != nil {
		return err
	}
	img := vgimg.New(cellWidth*vg.Length(len(plottedQuantities)), cellHeight*vg.Length(len(rows)))
	tiles := draw.Tiles{
		Rows: len(rows), Cols: len(plottedQuantities), PadX: cellPad, PadY: cellPad,
		PadTop: cellPad, PadBottom: cellPad, PadLeft: cellPad, PadRight: cellPad,
	}
	canvases := plot.Align(rows, tiles, draw.New(img))
	for i, row := range rows {
		for j, p := range row {
			p.Draw(canvases[i][j])
		}
	}
	file, err := os.Create(path)
	if err != nil {
		return errors.Wrap(err, "create plot")
	}
	defer func() {
		if closeErr := file.Close(); err == nil {
			err = errors.Wrap(closeErr, "close plot")
		}
	}()
	_, err = vgimg.PngCanvas{Canvas: img}.WriteTo(file)
	return errors.Wrap(err, "write plot")
}
