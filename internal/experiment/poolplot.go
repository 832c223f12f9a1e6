package experiment

import (
	"path/filepath"

	"github.com/cockroachdb/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
)

// plottedTurns is the number of turns that the plot of hosts shows.
const plottedTurns = 20

// writeMovePlots writes two PNGs for each deployment whose pools were measured, of
// the first seed's run with turns in order: the hosts of each pool over time, and
// the moves in each turn of the planner and of a threshold policy.
func (r Report) writeMovePlots(dir string) error {
	done := make(map[string]bool)
	for _, row := range r.Rows {
		if row.Part != Pools || done[row.Deployment] {
			continue
		}
		done[row.Deployment] = true
		planner := runPools(poolScenarios[0], 1, newPlannerPolicy(deploymentWeights[row.Deployment]))
		threshold := runPools(poolScenarios[0], 1, newThreshold(0.7, true))
		if err := plotHosts(planner, row.Deployment, dir); err != nil {
			return err
		}
		if err := plotMoves(planner, threshold, row.Deployment, dir); err != nil {
			return err
		}
	}
	return nil
}

func plotHosts(m *poolMeasure, deployment, dir string) error {
	p := plot.New()
	p.Title.Text = deployment + ": hosts by pool, planner"
	p.X.Label.Text = "second"
	p.Y.Label.Text = "hosts"
	p.Legend.Top = true
	p.Add(plotter.NewGrid())
	shown := min(len(m.hostsByStep), plottedTurns*int(turnLength/poolStep))
	var lines []any
	for i := range m.hostsByStep[0] {
		points := make(plotter.XYs, shown)
		for step := range shown {
			points[step] = plotter.XY{X: float64(step) * poolStep.Seconds(), Y: m.hostsByStep[step][i]}
		}
		lines = append(lines, plotName(i), points)
	}
	if err := plotutil.AddLines(p, lines...); err != nil {
		return errors.Wrap(err, "plot the hosts")
	}
	path := filepath.Join(dir, "pools-"+deployment+"-hosts.png")
	return errors.Wrapf(p.Save(plotWidth, plotHeight, path), "write %q", path)
}

func plotName(i int) string {
	switch i {
	case len(queueHosts):
		return "spare"
	case len(queueHosts) + 1:
		return "moving"
	}
	return queueName(i)
}

func plotMoves(planner, threshold *poolMeasure, deployment, dir string) error {
	p := plot.New()
	p.Title.Text = deployment + ": moves of each turn"
	p.X.Label.Text = "turn"
	p.Y.Label.Text = "moves"
	p.Y.Min = 0
	p.Legend.Top = true
	p.Add(plotter.NewGrid())
	err := plotutil.AddLines(p,
		"planner", series(planner.movesByTurn), "threshold 0.7", series(threshold.movesByTurn))
	if err != nil {
		return errors.Wrap(err, "plot the moves")
	}
	path := filepath.Join(dir, "pools-"+deployment+"-moves.png")
	return errors.Wrapf(p.Save(plotWidth, plotHeight, path), "write %q", path)
}

func series(values []float64) plotter.XYs {
	points := make(plotter.XYs, len(values))
	for i, v := range values {
		points[i] = plotter.XY{X: float64(i + 1), Y: v}
	}
	return points
}
