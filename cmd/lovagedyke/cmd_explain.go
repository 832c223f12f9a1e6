package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"os"

	"github.com/cockroachdb/errors"

	"github.com/lovagedyke/lovagedyke/internal/explain"
)

var cmdExplain = &Cmd{
	Name:   "explain",
	Args:   "<id> <log> ...",
	Desc:   "show a job's timeline from the processes' logs",
	Action: explainJob,
}

func explainJob(_ context.Context, env *Env, args []string) error {
	if len(args) < 2 {
		return usageError{errors.New("arguments are missing, want a job ID and at least one log file")}
	}
	var logs []io.Reader
	for _, path := range args[1:] {
		text, err := os.ReadFile(path)
		if err != nil {
			return errors.Wrap(err, "read log file")
		}
		logs = append(logs, bytes.NewReader(text))
	}
	timeline, err := explain.Read(args[0], logs...)
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
