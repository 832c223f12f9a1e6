package main

import (
	"context"
	"flag"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lovagedyke/lovagedyke/internal/explain"
)

// explainProgressInterval is the time between two lines about the progress of a long read.
const explainProgressInterval = 2 * time.Second

var cmdExplain = &Cmd{
	Name: "explain",
	Args: "[-endpoints] <id> <log or directory> ...",
	Desc: "show a job's timeline from the processes' logs",
	Setup: func(flags *flag.FlagSet, env *Env) Action {
		withEndpoints := flags.Bool("endpoints", false, "add what was logged about the endpoints that ran the job")
		return func(ctx context.Context, _ *Env, args []string) error {
			return explainJob(ctx, env, args, *withEndpoints)
		}
	},
}

func explainJob(ctx context.Context, env *Env, args []string, withEndpoints bool) error {
	if len(args) < 2 {
		return usageError{errors.New("arguments are missing, want a job ID and at least one log, directory or -")}
	}
	logs, err := explain.Logs(args[1:], env.Stdin)
	if err != nil {
		return err
	}
	collector := explain.NewCollector(explain.CollectorConfig{ID: args[0], WithEndpoints: withEndpoints})
	shownAt := time.Now()
	for n, log := range logs {
		if err := ctx.Err(); err != nil {
			return err
		}
		if time.Since(shownAt) >= explainProgressInterval {
			shownAt = time.Now()
			fmt.Fprintf(env.Stderr, "%s: %d of %d logs read\n", programName, n, len(logs))
		}
		if err := log.AddTo(collector); err != nil {
			return err
		}
	}
	timeline, err := collector.Timeline()
	if err != nil {
		return err
	}
	for _, line := range timeline.Lines {
		if _, err := fmt.Fprintln(env.Stdout, line); err != nil {
			return errors.Wrap(err, "print timeline")
		}
	}
	return nil
}
