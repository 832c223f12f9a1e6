// Command lovagedyke-standin runs stand-ins for the systems around lovagedyke:
// the platform, a service's endpoint, a worker and callers.
package main

import (
	"context"
	"flag"
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
		ShortUsage: "lovagedyke-standin <subcommand> [flags]",
		Subcommands: []*ffcli.Command{
			platformCommand(logger),
			fleetCommand(logger),
			endpointCommand(logger),
			workerCommand(logger),
			loadCommand(),
			reportCommand(),
		},
		Exec: func(context.Context, []string) error { return errors.New("a subcommand is missing") },
	}
	err := root.ParseAndRun(ctx, os.Args[1:])
	if err != nil && !errors.Is(err, flag.ErrHelp) {
		// err.Error() leaves out the stack trace.
		logger.Error("command failed", "error", err.Error())
		os.Exit(1)
	}
}
