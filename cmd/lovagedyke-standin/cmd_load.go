package main

import (
	"context"
	"encoding/json"
	"flag"
	"net/netip"
	"os"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/lovagedyke/lovagedyke/internal/standin/load"
)

func loadCommand() *ffcli.Command {
	flags := flag.NewFlagSet("load", flag.ContinueOnError)
	var cfg load.Config
	flags.Func("target", "address of an entry; repeatable", func(text string) error {
		target, err := netip.ParseAddrPort(text)
		cfg.Targets = append(cfg.Targets, target)
		return err
	})
	flags.Func("probe", "operations address of the target before it, to pass over it while it is not ready", func(text string) error {
		address, err := netip.ParseAddrPort(text)
		cfg.ReadinessAddresses = append(cfg.ReadinessAddresses, address)
		return err
	})
	flags.StringVar(&cfg.Service, "service", "", "service to call")
	flags.StringVar(&cfg.Key, "key", os.Getenv("LOVAGEDYKE_KEY"), "team key; LOVAGEDYKE_KEY by default")
	flags.StringVar(&cfg.Method, "method", "POST", "HTTP method")
	flags.Float64Var(&cfg.Rate, "rate", 0, "requests a second; unpaced if zero")
	flags.DurationVar(&cfg.Duration, "duration", 10*time.Second, "length of the run")
	flags.IntVar(&cfg.Requests, "requests", 0, "most requests to send; unbounded if zero")
	flags.IntVar(&cfg.Concurrency, "concurrency", 0, "requests at a time; 16 if zero")
	flags.IntVar(&cfg.BodyBytes, "body", 0, "bytes of each request's body")
	flags.BoolVar(&cfg.IdempotencyKeys, "marked", false, "give each request an idempotency key")
	flags.IntVar(&cfg.Copies, "copies", 1, "targets that get each request at the same time")
	flags.DurationVar(&cfg.Deadline, "deadline", 0, "deadline header; none if zero")
	flags.DurationVar(&cfg.Timeout, "timeout", 0, "longest wait for an answer; 30s if zero")
	flags.StringVar(&cfg.Behaviour, "behaviour", "", "behaviour asked of the endpoint")
	flags.DurationVar(&cfg.RunTime, "run-time", 0, "run time asked of the endpoint")
	// Entries identify the team by its key; the flag only labels the report.
	team := flags.String("team", "", "label of the report")
	return &ffcli.Command{
		Name:      "load",
		ShortHelp: "send requests through entries and check the answers",
		FlagSet:   flags,
		Exec: func(ctx context.Context, _ []string) error {
			report, err := load.Run(ctx, cfg)
			if err != nil {
				return err
			}
			labelled := struct {
				Team string `json:"team,omitempty"`
				load.Report
			}{*team, report}
			encoder := json.NewEncoder(os.Stdout)
			encoder.SetIndent("", "  ")
			return encoder.Encode(labelled)
		},
	}
}
