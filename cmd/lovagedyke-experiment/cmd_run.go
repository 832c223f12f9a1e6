package main

import (
	"context"
	"flag"
	"fmt"
	"io"

	"github.com/cockroachdb/errors"
	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/lovagedyke/lovagedyke/internal/experiment"
)

// defaultSeeds is the number of runs of each policy in each scenario.
const defaultSeeds = 5

// options holds the flags that every subcommand takes.
type options struct {
	seeds      int
	deployment string
	output     string
	plots      string
}

func newRootCommand(out io.Writer) *ffcli.Command {
	root := &ffcli.Command{
		Name:       "lovagedyke-experiment",
		ShortUsage: "lovagedyke-experiment <share|route|retry|pools|waves|all> [flags]",
		ShortHelp:  "measure the policies beside their baselines in virtual time",
		Exec:       func(context.Context, []string) error { return flag.ErrHelp },
	}
	for _, part := range experiment.Parts {
		root.Subcommands = append(root.Subcommands, newPartCommand(out, string(part), []experiment.Part{part}))
	}
	root.Subcommands = append(root.Subcommands, newPartCommand(out, "all", experiment.Parts))
	return root
}

func newPartCommand(out io.Writer, name string, parts []experiment.Part) *ffcli.Command {
	var opts options
	flags := flag.NewFlagSet(name, flag.ContinueOnError)
	flags.IntVar(&opts.seeds, "seeds", defaultSeeds, "runs of each policy in each scenario")
	flags.StringVar(&opts.deployment, "deployment", "both", "tanoa, ripustus or both")
	flags.StringVar(&opts.output, "output", "table", "table or json")
	flags.StringVar(&opts.plots, "plots", "", "directory for the share curves as PNG, none if empty")
	return &ffcli.Command{
		Name:       name,
		ShortUsage: fmt.Sprintf("lovagedyke-experiment %s [flags]", name),
		ShortHelp:  fmt.Sprintf("measure %v", parts),
		FlagSet:    flags,
		Exec:       func(context.Context, []string) error { return opts.run(out, parts) },
	}
}

func (o options) run(out io.Writer, parts []experiment.Part) error {
	if o.seeds < 1 {
		return errors.Newf("--seeds is %d, want at least 1", o.seeds)
	}
	if o.output != "table" && o.output != "json" {
		return errors.Newf("--output is %q, want table or json", o.output)
	}
	deployments, err := chooseDeployments(o.deployment)
	if err != nil {
		return err
	}
	report := experiment.Run(experiment.Config{Deployments: deployments, Parts: parts, Seeds: o.seeds})
	if o.plots != "" {
		if err := report.WritePlots(o.plots); err != nil {
			return err
		}
	}
	if o.output == "json" {
		return report.WriteJSON(out)
	}
	return report.WriteTable(out)
}

func chooseDeployments(name string) ([]experiment.Deployment, error) {
	if name == "both" {
		return experiment.Deployments, nil
	}
	for _, d := range experiment.Deployments {
		if d.Name == name {
			return []experiment.Deployment{d}, nil
		}
	}
	return nil, errors.Newf("--deployment is %q, want tanoa, ripustus or both", name)
}
