package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"
	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/lovagedyke/lovagedyke/internal/soak"
)

// soakPortsPerRun keeps the ports of runs that follow each other apart.
const soakPortsPerRun = 40

func soakCommand(_ *log.Logger) *ffcli.Command {
	flags := flag.NewFlagSet("soak", flag.ContinueOnError)
	config := soak.Config{}
	first := flags.Uint64("seed", 1, "first seed")
	seeds := flags.Uint64("seeds", 1, "number of seeds, one after the other")
	port := flags.Uint("first-port", 19000, "first of the nodes' ports")
	dir := flags.String("dir", "", "folder for settings and logs, kept when a promise is broken (default: a new one)")
	flags.DurationVar(&config.Length, "for", 20*time.Second, "how long harm is done, each seed")
	flags.IntVar(&config.Nodes, "nodes", 3, "number of nodes")
	flags.IntVar(&config.Endpoints, "endpoints", 6, "number of endpoints")
	flags.StringVar(&config.Binary, "binary", "bin/lovagedyke", "the program under test")
	return &ffcli.Command{
		Name:      "soak",
		ShortHelp: "harms nodes at random, by seed, and checks what callers and endpoints see",
		FlagSet:   flags,
		Exec: func(ctx context.Context, _ []string) error {
			broken := 0
			for seed := *first; seed < *first+*seeds; seed++ {
				config.Seed = seed
				config.FirstPort = uint16(*port) + uint16(seed-*first)%20*soakPortsPerRun
				isKept, err := soakOnce(ctx, config, *dir)
				if err != nil {
					return errors.Wrapf(err, "seed %d", seed)
				}
				if !isKept {
					broken++
				}
			}
			if broken > 0 {
				return errors.Newf("%d of %d seeds broke a promise", broken, *seeds)
			}
			return nil
		},
	}
}

// soakOnce plays a seed and prints what it has seen. It reports whether all promises
// were kept.
func soakOnce(ctx context.Context, config soak.Config, dir string) (bool, error) {
	if dir == "" {
		made, err := os.MkdirTemp("", "lovagedyke-soak-")
		if err != nil {
			return false, errors.Wrap(err, "make a folder")
		}
		dir = made
	}
	config.Dir = filepath.Join(dir, fmt.Sprintf("seed-%d", config.Seed))
	if err := os.MkdirAll(config.Dir, 0o700); err != nil {
		return false, errors.Wrap(err, "make a folder")
	}
	report, err := soak.Run(ctx, config)
	if err != nil {
		return false, err
	}
	fmt.Printf("seed %d: %d harms, %d jobs accepted, %d refused, %d unsure, %d runs, %d promises broken\n",
		config.Seed, report.Harms, report.Accepted, report.Refused, report.Unsure, report.Ran, len(report.Violations))
	if len(report.Violations) == 0 {
		return true, os.RemoveAll(config.Dir)
	}
	for _, violation := range report.Violations {
		fmt.Println("  " + violation)
	}
	fmt.Println("  logs: " + config.Dir)
	return false, nil
}
