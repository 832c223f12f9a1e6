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
	var s options
	flags := flag.NewFlagSet(name, flag.ContinueOnError)
	flags.IntVar(&s.seeds, "seeds", defaultSeeds, "runs of each policy in each scenario")
	flags.StringVar(&s.deployment, "deployment", "both", "tanoa, ripustus or both")
	flags.StringVar(&s.output, "output", "table", "table or json")
	flags.StringVar(&s.plots, "plots", "", "directory for the share curves as PNG, none if empty")
	return &ffcli.Command{
		Name:       name,
		ShortUsage: fmt.Sprintf("lovagedyke-experiment %s [flags]", name),
		ShortHelp:  fmt.Sprintf("measure %v", parts),
		FlagSet:    flags,
		Exec:       func(context.Context, []string) error { return s.run(out, parts) },
	}
}

func (s options) run(out io.Writer, parts []experiment.Part) error {
	if s.seeds < 1 {
		return errors.Newf("--seeds is %d, want at least 1", s.seeds)
	}
	if s.output != "table" && s.output != "json" {
		return errors.Newf("--output is %q, want table or json", s.output)
	}
	deployments, err := chooseDeployments(s.deployment)
	if err != nil {
		return err
	}
	report := experiment.Run(experiment.Config{Deployments: deployments, Parts: parts, Seeds: s.seeds})
	if s.plots != "" {
		if err := report.WritePlots(s.plots); err != nil {
			return err
		}
	}
	if s.output == "json" {
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
