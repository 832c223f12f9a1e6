package main

import (
	"context"
	"flag"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"
	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/lovagedyke/lovagedyke/platform/standin"
)

const (
	// taskTime is how long each task of the demo takes.
	taskTime = 200 * time.Millisecond
	// fleetSteps and fleetTasks are a job's steps and the tasks of each.
	fleetSteps, fleetTasks = 2, 4
	// jobPause is the time between two jobs.
	jobPause = 60 * time.Millisecond
	// answerTime bounds a caller's patience, and jobTime waiting for a job's end.
	answerTime = 3 * time.Second
	jobTime    = time.Minute
	// portsPerNode is how many ports a node has.
	portsPerNode = 3
)

// fleetOptions are the flags of the fleet command.
type fleetOptions struct {
	dir          string
	nodes, hosts int
	jobs         int
	firstPort    uint
}

func fleetCommand(_ *log.Logger) *ffcli.Command {
	flags := flag.NewFlagSet("fleet", flag.ContinueOnError)
	var options fleetOptions
	flags.StringVar(&options.dir, "dir", ".", "folder for the nodes' settings files")
	flags.IntVar(&options.nodes, "nodes", 3, "number of nodes")
	flags.IntVar(&options.hosts, "hosts", 6, "number of hosts with an endpoint each")
	flags.IntVar(&options.jobs, "jobs", 100, "number of jobs to hand in")
	flags.UintVar(&options.firstPort, "first-port", 18800, "first of the nodes' ports")
	return &ffcli.Command{
		Name:      "fleet",
		ShortHelp: "the platform of 'lovagedyke node', with callers; ends with a check",
		FlagSet:   flags,
		Exec:      func(ctx context.Context, _ []string) error { return playFleet(ctx, options) },
	}
}

// playFleet plays the platform, hands in jobs while an endpoint crashes, and
// checks what the endpoints and the callers saw.
func playFleet(ctx context.Context, options fleetOptions) error {
	stage, err := standin.New(standin.Config{Hosts: options.hosts, TaskTime: taskTime})
	if err != nil {
		return errors.Wrap(err, "open the platform")
	}
	defer stage.Close()
	nodes, err := writeSettings(stage, options)
	if err != nil {
		return err
	}
	stage.WritePolicy(1)
	for n := range options.jobs {
		if n == options.jobs/2 {
			stage.CrashHost(1)
		}
		if err := handIn(ctx, stage, nodes, n); err != nil {
			return err
		}
		time.Sleep(jobPause)
	}
	complete := 0
	for n := range options.jobs {
		if awaitEnd(ctx, stage, nodes, n) {
			complete++
		}
	}
	return checkFleet(stage, options.jobs, complete)
}

// writeSettings writes a settings file a node, and returns the callers' addresses.
func writeSettings(stage *standin.Platform, options fleetOptions) ([]netip.AddrPort, error) {
	var callers []netip.AddrPort
	loopback := netip.MustParseAddr("127.0.0.1")
	for n := range options.nodes {
		first := uint16(options.firstPort) + uint16(n*portsPerNode)
		name := fmt.Sprintf("node-%d", n+1)
		address := func(i uint16) netip.AddrPort { return netip.AddrPortFrom(loopback, first+i) }
		text := stage.Settings(name, address(0), address(1), address(2))
		if err := os.WriteFile(filepath.Join(options.dir, name+".json"), text, 0o600); err != nil {
			return nil, errors.Wrap(err, "write a node's settings")
		}
		callers = append(callers, address(0))
	}
	return callers, nil
}

// handIn hands a job in, at another node after each failure, as callers do.
func handIn(ctx context.Context, stage *standin.Platform, nodes []netip.AddrPort, n int) error {
	end := time.Now().Add(jobTime)
	for try := n; time.Now().Before(end) && ctx.Err() == nil; try++ {
		call, cancel := context.WithTimeout(ctx, answerTime)
		status := stage.Submit(call, nodes[try%len(nodes)], fleetJob(n), fleetSteps, fleetTasks)
		cancel()
		if status == 200 {
			return nil
		}
		time.Sleep(jobPause)
	}
	return errors.Newf("job %s was not accepted", fleetJob(n))
}

// awaitEnd waits until a job is shown as complete.
func awaitEnd(ctx context.Context, stage *standin.Platform, nodes []netip.AddrPort, n int) bool {
	end := time.Now().Add(jobTime)
	for try := n; time.Now().Before(end) && ctx.Err() == nil; try++ {
		call, cancel := context.WithTimeout(ctx, answerTime)
		state := stage.State(call, nodes[try%len(nodes)], fleetJob(n))
		cancel()
		if state == "complete" {
			return true
		}
		time.Sleep(jobPause)
	}
	return false
}

func fleetJob(n int) string {
	return fmt.Sprintf("%016x", n+1)
}

// checkFleet prints what was seen; anything but whole jobs, each task once, is an error.
func checkFleet(stage *standin.Platform, jobs, complete int) error {
	done := 0
	for n := range jobs {
		done += stage.DoneTasks(fleetJob(n))
	}
	seen := stage.Report()
	want := jobs * fleetSteps * fleetTasks
	fmt.Printf("%-32s %6d of %d\n", "jobs complete", complete, jobs)
	fmt.Printf("%-32s %6d of %d\n", "tasks done", done, want)
	fmt.Printf("%-32s %6d\n", "runs", seen.Runs)
	fmt.Printf("%-32s %6d\n", "tasks started twice", len(seen.DuplicateStarts))
	if complete != jobs || done != want || len(seen.DuplicateStarts) != 0 {
		return errors.New("not all is as it has to be")
	}
	return nil
}
