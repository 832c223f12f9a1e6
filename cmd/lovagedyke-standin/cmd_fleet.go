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
	// taskDuration is the run time of each task.
	taskDuration = 200 * time.Millisecond
	// Every job has stepsPerJob steps of tasksPerStep tasks each.
	stepsPerJob, tasksPerStep = 2, 4
	// jobInterval is the time between submissions, retries and polls.
	jobInterval = 60 * time.Millisecond
	// requestTimeout bounds one request, jobTimeout submitting a job or waiting
	// for its completion.
	requestTimeout = 3 * time.Second
	jobTimeout     = time.Minute
	// portsPerNode is the number of listening ports of a node: callers,
	// readiness and peers.
	portsPerNode = 3
)

// fleetOptions are the flags of the fleet command.
type fleetOptions struct {
	dir          string
	nodes, hosts int
	jobs         int
	firstPort    uint
	dataCentres  int
	// evacuated is the data centre to evacuate, or "".
	evacuated string
}

func fleetCommand(_ *log.Logger) *ffcli.Command {
	flags := flag.NewFlagSet("fleet", flag.ContinueOnError)
	var options fleetOptions
	flags.StringVar(&options.dir, "dir", ".", "folder for the nodes' settings files")
	flags.IntVar(&options.nodes, "nodes", 3, "number of nodes")
	flags.IntVar(&options.hosts, "hosts", 6, "number of hosts with an endpoint each")
	flags.IntVar(&options.jobs, "jobs", 100, "number of jobs to hand in")
	flags.UintVar(&options.firstPort, "first-port", 18800, "first of the nodes' ports")
	flags.IntVar(&options.dataCentres, "data-centres", 1, "number of data centres (dc-1 and so on, or the nodes' own) among which the hosts are spread")
	flags.StringVar(&options.evacuated, "evacuate", "", "data centre to evacuate; requested after a quarter of the jobs, withdrawn after three quarters")
	return &ffcli.Command{
		Name:      "fleet",
		ShortHelp: "the platform of 'lovagedyke node', with callers; ends with a check",
		FlagSet:   flags,
		Exec:      func(ctx context.Context, _ []string) error { return runFleet(ctx, options) },
	}
}

// runFleet runs the stand-in platform, submits jobs, crashes an endpoint halfway
// and checks the results that endpoints and callers observed.
func runFleet(ctx context.Context, options fleetOptions) error {
	platform, err := standin.New(standin.Config{Hosts: options.hosts, TaskTime: taskDuration, DataCentres: options.dataCentreNames()})
	if err != nil {
		return errors.Wrap(err, "start the stand-in platform")
	}
	defer platform.Close()
	nodes, err := writeSettings(platform, options)
	if err != nil {
		return err
	}
	platform.WritePolicy(1)
	for n := range options.jobs {
		actAsOperator(platform, options, n)
		if err := submitJob(ctx, platform, nodes, n); err != nil {
			return err
		}
		time.Sleep(jobInterval)
	}
	complete := 0
	for n := range options.jobs {
		if waitForCompletion(ctx, platform, nodes, n) {
			complete++
		}
	}
	return checkFleet(platform, options.jobs, complete)
}

// actAsOperator crashes an endpoint halfway, and requests or withdraws the evacuation when it is
// due before a job.
func actAsOperator(platform *standin.Platform, options fleetOptions, job int) {
	if job == options.jobs/2 {
		platform.CrashHost(1)
	}
	if options.evacuated == "" {
		return
	}
	switch job {
	case options.jobs / 4:
		platform.RequestEvacuation(options.evacuated)
	case options.jobs * 3 / 4:
		platform.WithdrawEvacuation(options.evacuated)
	}
}

// dataCentreNames returns the names of the data centres, or none for the platform's own one.
func (o fleetOptions) dataCentreNames() []string {
	var names []string
	for n := 1; n <= o.dataCentres && o.dataCentres > 1; n++ {
		names = append(names, fmt.Sprint("dc-", n))
	}
	return names
}

// writeSettings writes a settings file per node and returns the addresses on
// which the nodes serve callers.
func writeSettings(platform *standin.Platform, options fleetOptions) ([]netip.AddrPort, error) {
	var callers []netip.AddrPort
	loopback := netip.MustParseAddr("127.0.0.1")
	for n := range options.nodes {
		first := uint16(options.firstPort) + uint16(n*portsPerNode)
		name := fmt.Sprintf("node-%d", n+1)
		address := func(i uint16) netip.AddrPort { return netip.AddrPortFrom(loopback, first+i) }
		text := platform.Settings(name, address(0), address(1), address(2))
		if err := os.WriteFile(filepath.Join(options.dir, name+".json"), text, 0o600); err != nil {
			return nil, errors.Wrapf(err, "write settings of %s", name)
		}
		callers = append(callers, address(0))
	}
	return callers, nil
}

// submitJob submits a job, and retries at the next node after each failure as
// callers do.
func submitJob(ctx context.Context, platform *standin.Platform, nodes []netip.AddrPort, n int) error {
	deadline := time.Now().Add(jobTimeout)
	for attempt := n; time.Now().Before(deadline) && ctx.Err() == nil; attempt++ {
		callCtx, cancel := context.WithTimeout(ctx, requestTimeout)
		status := platform.Submit(callCtx, nodes[attempt%len(nodes)], jobID(n), stepsPerJob, tasksPerStep)
		cancel()
		if status == 200 {
			return nil
		}
		time.Sleep(jobInterval)
	}
	return errors.Newf("job %s was not accepted by any node", jobID(n))
}

// waitForCompletion reports whether a job completes within jobTimeout.
func waitForCompletion(ctx context.Context, platform *standin.Platform, nodes []netip.AddrPort, n int) bool {
	deadline := time.Now().Add(jobTimeout)
	for attempt := n; time.Now().Before(deadline) && ctx.Err() == nil; attempt++ {
		callCtx, cancel := context.WithTimeout(ctx, requestTimeout)
		state := platform.State(callCtx, nodes[attempt%len(nodes)], jobID(n))
		cancel()
		if state == "complete" {
			return true
		}
		time.Sleep(jobInterval)
	}
	return false
}

func jobID(n int) string {
	return fmt.Sprintf("%016x", n+1)
}

// checkFleet prints the results. It returns an error unless every job and task
// completed and no task was started twice.
func checkFleet(platform *standin.Platform, jobs, complete int) error {
	done := 0
	for n := range jobs {
		done += platform.DoneTasks(jobID(n))
	}
	report := platform.Report()
	want := jobs * stepsPerJob * tasksPerStep
	fmt.Printf("%-32s %6d of %d\n", "jobs complete", complete, jobs)
	fmt.Printf("%-32s %6d of %d\n", "tasks done", done, want)
	fmt.Printf("%-32s %6d\n", "runs", report.Runs)
	fmt.Printf("%-32s %6d\n", "tasks started twice", len(report.DuplicateStarts))
	fmt.Printf("%-32s %6d\n", "tasks started in evacuation", len(report.LateInEvacuation))
	if complete != jobs || done != want || len(report.DuplicateStarts)+len(report.LateInEvacuation) != 0 {
		return errors.New("check failed: want every job and task complete, no task started twice, and none in an evacuated data centre")
	}
	return nil
}
