package test

import (
	"context"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"testing"
	"time"

	"github.com/lovagedyke/lovagedyke/internal/soak"
)

// Flags of TestSoakByHand, which "make soak" runs.
var (
	soakSeed      = flag.Uint64("soak-seed", 1, "first seed of TestSoakByHand")
	soakSeeds     = flag.Uint64("soak-seeds", 0, "number of seeds, 0 for none")
	soakDuration  = flag.Duration("soak-for", 15*time.Second, "how long faults are injected per seed")
	soakNodes     = flag.Int("soak-nodes", 3, "number of nodes")
	soakEndpoints = flag.Int("soak-endpoints", 6, "number of endpoints")
	soakPort      = flag.Uint("soak-port", 14700, "first of the nodes' ports, below those of other tests")
	soakParallel  = flag.Int("soak-parallel", 1, "number of seeds at a time")
	soakKinds     = flag.String("soak-kinds", "all", "kinds of faults: without-restarts, with-restarts, with-lags, with-budgets, lists, evacuations, takeovers, starts, recuts, regular-recuts, recuts-without-kill or all")
	soakCold      = flag.Bool("soak-cold", false, "begin with a cold start")
	soakMix       = flag.Bool("soak-mix", true, "add jobs that run several times, and jobs of an account with a cap")
	soakGangs     = flag.Bool("soak-gangs", true, "add jobs that are gangs, some of them wide")
	soakKeep      = flag.Bool("soak-keep", false, "keep the logs of seeds that passed, too")
	soakDir       = flag.String("soak-dir", os.TempDir(), "folder for the logs of seeds that failed")
)

// TestSoak runs seeds that have failed before, for a short time each.
func TestSoak(t *testing.T) {
	tests := map[string]struct {
		seed      uint64
		duration  time.Duration
		kinds     []soak.Kind
		coldStart bool
		hasMix    bool
		hasGangs  bool
	}{
		// An endpoint crashed after it had reported completions and before they were
		// acknowledged: the check counted that work as not done.
		"endpoint crashes with unacknowledged completions": {seed: 31, duration: 8 * time.Second, kinds: soak.KindsWithoutRestarts()},
		// A restarted endpoint accepted a start before the leader knew of the restart: the
		// leader took the run for lost with those before, and started the task elsewhere.
		"new incarnation accepts a start unnoticed": {seed: 4, duration: 12 * time.Second, kinds: soak.KindsWithRestarts()},
		// An endpoint restarted with an earlier start time: the leader took what it said
		// for words of an earlier incarnation, and did not see that its runs were lost.
		"new incarnation has an earlier start time": {seed: 6, duration: 12 * time.Second, kinds: soak.KindsWithRestarts()},
		// The host list did not have an endpoint that was restarting while a start was on
		// its way: the leader took the start for lost, and the new incarnation accepted it.
		"host list lacks an endpoint with a start on its way": {seed: 16, duration: 12 * time.Second, kinds: soak.KindsWithRestarts()},
		// An endpoint restarted while its answers were delayed: ends of the earlier
		// incarnation were acknowledged, and the new one forgot its own unread.
		"acknowledgement to a new incarnation while answers are delayed": {
			seed: 236, duration: 12 * time.Second, kinds: append(soak.KindsWithRestarts(), soak.LagKinds()...),
		},
		// An endpoint restarted three times in a second, and twice had the same task on trial:
		// the leader took it for the cause, and the job failed.
		"task on trial on an endpoint that restarts again and again": {seed: 403, duration: 12 * time.Second, kinds: soak.KindsWithBudgets()},
		// Two jobs had tasks that crash endpoints: each time one was found out, the other was
		// cleared with its count.
		"two tasks that crash endpoints beside each other": {seed: 405, duration: 12 * time.Second, kinds: soak.KindsWithBudgets()},
		// Endpoints had just replaced others on their hosts, reported and accepted tasks; a host
		// list that lagged showed the hosts as they were before: the leader took the runs for lost
		// and started the tasks elsewhere, while the endpoints went on.
		"host list lags behind endpoints that answer": {seed: 527, duration: 4 * time.Second, kinds: soak.KindsAroundLists(), coldStart: true},
		// The same with some of the endpoints cut off, so that two lists without them, and their
		// silence, passed for their end.
		"host list lags behind endpoints that are cut off": {seed: 517, duration: 4 * time.Second, kinds: soak.KindsAroundLists(), coldStart: true},
		// The operator requested the evacuation of a data centre: leaders went on starting tasks
		// there. A trial without the comparison of versions in evacuation.Holder fails here, too.
		"evacuations while leaders change": {seed: 611, duration: 10 * time.Second, kinds: soak.KindsAroundEvacuations()},
		// A job's row, or a transaction, outgrew what the store takes, and the leader wrote nothing
		// more; a new leader exceeded a cap beside runs on endpoints that it had not reached.
		"many occurrences and a cap while leaders change": {seed: 701, duration: 12 * time.Second, kinds: soak.KindsAroundTakeovers(), hasMix: true},
		// Endpoints refused starts: jobs that had not begun were not counted as waiting. Gangs with more
		// members than the queue of an endpoint took were never complete.
		"wide gangs while starts are refused": {seed: 811, duration: 12 * time.Second, kinds: soak.KindsAroundStarts(), hasGangs: true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			runSeed(t, soak.Config{
				Seed: tc.seed, Duration: tc.duration, Nodes: 3, Endpoints: 6, Kinds: tc.kinds, ColdStart: tc.coldStart, HasMixedJobs: tc.hasMix, HasGangs: tc.hasGangs,
				Dir: t.TempDir(), FirstPort: uint16(*soakPort),
			})
		})
	}
}

// kindsByName returns the kinds of faults that a flag can name.
func kindsByName() map[string][]soak.Kind {
	return map[string][]soak.Kind{
		"without-restarts": soak.KindsWithoutRestarts(), "with-restarts": soak.KindsWithRestarts(),
		"with-lags": append(soak.KindsWithRestarts(), soak.LagKinds()...), "with-budgets": soak.KindsWithBudgets(),
		"lists": soak.KindsAroundLists(), "evacuations": soak.KindsAroundEvacuations(), "takeovers": soak.KindsAroundTakeovers(), "starts": soak.KindsAroundStarts(),
		"recuts": soak.KindsAroundRecuts(), "regular-recuts": soak.KindsOfRecuts(), "recuts-without-kill": soak.KindsOfRecutsWithoutKill(), "all": soak.AllKinds(),
	}
}

// TestSoakByHand runs the seeds that the flags select.
func TestSoakByHand(t *testing.T) {
	kinds, ok := kindsByName()[*soakKinds]
	if !ok {
		t.Fatalf("unknown kinds of faults %q", *soakKinds)
	}
	ports := make(chan uint16, *soakParallel)
	for n := range *soakParallel {
		ports <- uint16(*soakPort) + uint16(n*soak.PortsPerNode**soakNodes)
	}
	for seed := *soakSeed; seed < *soakSeed+*soakSeeds; seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			if *soakParallel > 1 {
				t.Parallel()
			}
			port := <-ports
			defer func() { ports <- port }()
			dir := filepath.Join(*soakDir, fmt.Sprintf("lovagedyke-soak-%d", seed))
			if err := os.MkdirAll(dir, 0o700); err != nil {
				t.Fatal(err)
			}
			runSeed(t, soak.Config{
				Seed: seed, Duration: *soakDuration, Nodes: *soakNodes, Endpoints: *soakEndpoints, Kinds: kinds, ColdStart: *soakCold, HasMixedJobs: *soakMix, HasGangs: *soakGangs,
				Dir: dir, FirstPort: port,
			})
			if t.Failed() || *soakKeep {
				t.Logf("logs: %s", dir)
				return
			}
			if err := os.RemoveAll(dir); err != nil {
				t.Error(err)
			}
		})
	}
}

// runSeed runs a soak with the binary under test and reports every violation.
func runSeed(t *testing.T, config soak.Config) {
	t.Helper()
	delay := restartDelay
	if slices.Contains(config.Kinds, soak.DataCentreCut) {
		delay = longRestartDelay
	}
	config.NewProcess = func(settings, log string) soak.Process {
		return &soakProcess{binary: binary, settings: settings, log: log, restartDelay: delay}
	}
	report, err := soak.Run(context.Background(), config)
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("%d faults, %d deadly jobs, %d jobs accepted, %d refused, %d with unknown outcome, %d runs, %d excused in evacuations", report.Faults, report.Deadly, report.Accepted, report.Refused, report.OutcomeUnknown, report.Runs, report.ExcusedInEvacuation)
	for _, violation := range report.Violations {
		t.Error(violation)
	}
	if report.Accepted == 0 || report.Faults == 0 {
		t.Errorf("soak: got %d jobs accepted and %d faults, want some of both", report.Accepted, report.Faults)
	}
}
