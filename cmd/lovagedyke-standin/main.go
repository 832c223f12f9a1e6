// Command lovagedyke-standin runs small fakes of the systems outside
// lovagedyke: the platform, a service's endpoint, a worker, and callers.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"
	"github.com/peterbourgon/ff/v3/ffcli"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	logger := log.NewWithOptions(os.Stderr, log.Options{ReportTimestamp: true})
	root := &ffcli.Command{
		ShortUsage:  "lovagedyke-standin <subcommand> [flags]",
		Subcommands: []*ffcli.Command{platformCommand(logger), endpointCommand(logger)},
		Exec:        func(context.Context, []string) error { return errors.New("a subcommand is missing") },
	}
	if err := root.ParseAndRun(ctx, os.Args[1:]); err != nil {
		logger.Error("failed", "error", err)
		os.Exit(1)
	}
}
