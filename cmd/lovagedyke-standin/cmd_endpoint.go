package main

import (
	"context"
	"flag"

	"github.com/charmbracelet/log"
	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/lovagedyke/lovagedyke/internal/standin/endpoint"
	"github.com/lovagedyke/lovagedyke/internal/standin/web"
)

func endpointCommand(logger *log.Logger) *ffcli.Command {
	flags := flag.NewFlagSet("endpoint", flag.ContinueOnError)
	address := addressFlag(flags)
	var cfg endpoint.Config
	flags.StringVar(&cfg.Name, "name", "endpoint", "name of the endpoint")
	flags.StringVar(&cfg.Service, "service", "", "service that it runs")
	flags.IntVar(&cfg.Slots, "slots", 0, "requests at a time; 8 if zero")
	flags.IntVar(&cfg.Connections, "connections", 0, "connections at a time; 64 if zero")
	flags.DurationVar(&cfg.RunTime, "run-time", 0, "time that a request takes")
	return &ffcli.Command{
		Name:      "endpoint",
		ShortHelp: "endpoint of one service",
		FlagSet:   flags,
		Exec: func(ctx context.Context, _ []string) error {
			server := endpoint.New(cfg)
			return web.Serve(ctx, web.Config{
				Address:   *address,
				Handler:   server.Handler(),
				Log:       logger,
				ConnState: server.ConnState,
			})
		},
	}
}
