package experiment

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/cockroachdb/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 18 * vg.Centimeter
	plotHeight = 10 * vg.Centimeter
)

// WritePlots writes a PNG for each share curve, and two for each deployment whose
// pools were measured. A share curve shows each flow's slots in use relative to its
// max-min allocation, second by second, in the first seed's run.
func (r Report) WritePlots(dir string) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return errors.Wrapf(err, "create the directory %q", dir)
	}
	if err := r.writeMovePlots(dir); err != nil {
		return err
	}
	for _, curve := range r.Curves {
		if err := curve.write(dir); err != nil {
			return err
		}
	}
	return nil
}

func (c Curve) write(dir string) error {
	p := plot.New()
	p.Title.Text = fmt.Sprintf("%s, %s: %s", c.Deployment, c.Scenario, c.Policy)
	p.X.Label.Text = "second"
	p.Y.Label.Text = "use / max-min division"
	p.Y.Min, p.Y.Max = 0, 2
	p.Legend.Top = true
	p.Add(plotter.NewGrid())
	var lines []any
	for flow := range c.Ratios[0] {
		points := make(plotter.XYs, len(c.Ratios))
		for second := range c.Ratios {
			points[second] = plotter.XY{X: float64(second), Y: c.Ratios[second][flow]}
		}
		lines = append(lines, fmt.Sprintf("flow %d", flow), points)
	}
	if err := plotutil.AddLines(p, lines...); err != nil {
		return errors.Wrap(err, "plot the share curve")
	}
	name := strings.NewReplacer(" ", "-", ",", "", ".", "-").Replace(
		fmt.Sprintf("share-%s-%s-%s", c.Deployment, c.Scenario, c.Policy))
	path := filepath.Join(dir, name+".png")
	return errors.Wrapf(p.Save(plotWidth, plotHeight, path), "write %q", path)
}
