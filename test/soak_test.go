package test

import (
	"context"
	"flag"
	"fmt"
	"os"
	"path/filepath"
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
	soakDir       = flag.String("soak-dir", os.TempDir(), "folder for the logs of seeds that failed")
)

// TestSoak runs seeds that have failed before, for a short time each.
func TestSoak(t *testing.T) {
	seeds := map[string]uint64{
		// An endpoint crashed after it had reported completions and before they were
		// acknowledged: the check counted that work as not done.
		"endpoint crashes with unacknowledged completions": 31,
	}
	for name, seed := range seeds {
		t.Run(name, func(t *testing.T) {
			runSeed(t, soak.Config{Seed: seed, Duration: 8 * time.Second, Nodes: 3, Endpoints: 6, Kinds: soak.KindsWithoutRestarts(), Dir: t.TempDir(), FirstPort: uint16(*soakPort)})
		})
	}
}

// TestSoakByHand runs the seeds that the flags select.
func TestSoakByHand(t *testing.T) {
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
			runSeed(t, soak.Config{Seed: seed, Duration: *soakDuration, Nodes: *soakNodes, Endpoints: *soakEndpoints, Dir: dir, FirstPort: port})
			if t.Failed() {
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
	config.NewProcess = func(settings, log string) soak.Process {
		return &soakProcess{binary: binary, settings: settings, log: log}
	}
	report, err := soak.Run(context.Background(), config)
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("%d faults, %d jobs accepted, %d refused, %d with unknown outcome, %d runs", report.Faults, report.Accepted, report.Refused, report.OutcomeUnknown, report.Runs)
	for _, violation := range report.Violations {
		t.Error(violation)
	}
	if report.Accepted == 0 || report.Faults == 0 {
		t.Errorf("soak: got %d jobs accepted and %d faults, want some of both", report.Accepted, report.Faults)
	}
}
