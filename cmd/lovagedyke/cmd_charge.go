package main

import (
	"context"
	"flag"
	"time"

	"github.com/lovagedyke/lovagedyke/pkg/api"
	"github.com/lovagedyke/lovagedyke/pkg/client"
)

var cmdCharge = &Cmd{
	Name:        "charge",
	Args:        "trace|unproven",
	Desc:        "show the runs behind charges",
	Subcommands: []*Cmd{cmdChargeTrace, cmdChargeUnproven},
}

var runHeader = []string{"RUN", "ENTRY", "TEAM", "ENDPOINT", "PROCESS", "STARTED", "ENDED", "EVIDENCE"}

var cmdChargeTrace = &Cmd{
	Name:  "trace",
	Args:  "[flags] <id>",
	Desc:  "show the run behind a charge",
	Setup: setupChargeTrace,
}

func setupChargeTrace(flags *flag.FlagSet, env *Env) Action {
	var conn connectionFlags
	var out outputFlags
	conn.register(flags, env)
	out.register(flags)
	return func(ctx context.Context, env *Env, args []string) error {
		id, err := oneArgument(args, "the id of a charge")
		if err != nil {
			return err
		}
		managerClient, err := conn.client()
		if err != nil {
			return err
		}
		charge, err := managerClient.Charge(ctx, id)
		if err != nil {
			return err
		}
		row := append([]string{charge.ID}, runRow(charge.Run)...)
		return out.render(env.Stdout, charge, append([]string{"CHARGE"}, runHeader...), [][]string{row})
	}
}

var cmdChargeUnproven = &Cmd{
	Name: "unproven",
	Args: "[flags]",
	Desc: "list runs that lack evidence and are not charged",
	Setup: listCommand[[]api.Run]{
		header: runHeader,
		fetch:  (*client.Client).Unproven,
		rows:   runRows,
	}.setup,
}

func runRows(runs []api.Run) [][]string {
	var rows [][]string
	for _, run := range runs {
		rows = append(rows, runRow(run))
	}
	return rows
}

func runRow(run api.Run) []string {
	return []string{
		run.Run, run.Entry, run.Team, run.Endpoint, run.Process,
		formatTime(run.Started), formatTime(run.Ended), run.Evidence,
	}
}

func formatTime(t time.Time) string {
	if t.IsZero() {
		return "-"
	}
	return t.UTC().Format(time.RFC3339)
}
