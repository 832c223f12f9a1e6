package main

import (
	"context"
	"crypto/rand"
	"flag"
	"time"

	"github.com/charmbracelet/log"
	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/lovagedyke/lovagedyke/internal/standin/web"
	"github.com/lovagedyke/lovagedyke/internal/standin/worker"
)

func workerCommand(logger *log.Logger) *ffcli.Command {
	flags := flag.NewFlagSet("worker", flag.ContinueOnError)
	address := addressFlag(flags)
	cfg := worker.Config{Incarnation: rand.Text()}
	flags.StringVar(&cfg.Name, "name", "worker", "name of the worker")
	flags.Float64Var(&cfg.Capacity.CPUs, "cpus", 0, "processors; 16 if zero")
	flags.Int64Var(&cfg.Capacity.Memory, "memory", 0, "bytes of memory; 64 GiB if zero")
	flags.IntVar(&cfg.Capacity.Accelerators, "accelerators", 0, "accelerators")
	flags.DurationVar(&cfg.UsageLag, "usage-lag", time.Second, "lag of the usage report")
	return &ffcli.Command{
		Name:      "worker",
		ShortHelp: "worker that runs tasks under leases",
		FlagSet:   flags,
		Exec: func(ctx context.Context, _ []string) error {
			server := worker.New(cfg)
			return web.Serve(ctx, web.Config{Address: *address, Handler: server.Handler(), Log: logger})
		},
	}
}
