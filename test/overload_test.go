package test

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/lovagedyke/lovagedyke/internal/loops"
	"github.com/lovagedyke/lovagedyke/platform/standin"
)

const (
	// overloadPort is the first of the nodes' ports, below those of other tests.
	overloadPort = 14960
	// overloadTaskTime and overloadTasks make a job of 6.4 core-seconds, of which the only
	// host of 16 cores does 2.5 in a second.
	overloadTaskTime, overloadTasks = 400 * time.Millisecond, 32
	// overloadInterval is the time between two jobs: three times what the host can do.
	overloadInterval, overloadDuration = 133 * time.Millisecond, 12 * time.Second
)

// overloadFleet is a stand-in platform with one host and three nodes.
type overloadFleet struct {
	platform *standin.Platform
	callers  []netip.AddrPort
	logs     []string
}

func newOverloadFleet(t *testing.T) *overloadFleet {
	t.Helper()
	platform, err := standin.New(standin.Config{Hosts: 1, TaskTime: overloadTaskTime})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(platform.Close)
	f := &overloadFleet{platform: platform}
	dir := t.TempDir()
	ctx, cancel := context.WithCancel(context.Background())
	group := loops.New(ctx)
	t.Cleanup(func() {
		cancel()
		group.Wait()
	})
	for n := range 3 {
		name := fmt.Sprintf("node-%d", n+1)
		address := func(i int) netip.AddrPort {
			return netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(overloadPort+3*n+i))
		}
		settings, log := filepath.Join(dir, name+".json"), filepath.Join(dir, name+".log")
		if err := os.WriteFile(settings, platform.Settings(name, address(0), address(1), address(2)), 0o600); err != nil {
			t.Fatal(err)
		}
		f.callers, f.logs = append(f.callers, address(0)), append(f.logs, log)
		node := &soakProcess{binary: binary, settings: settings, log: log, restartDelay: restartDelay}
		group.Go(node.Supervise)
	}
	platform.WritePolicy(1)
	return f
}

// submit submits a job to a node.
func (f *overloadFleet) submit(n, node int) int {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	return f.platform.Submit(ctx, f.callers[node%len(f.callers)], overloadID(n), 1, overloadTasks)
}

func overloadID(n int) string { return fmt.Sprintf("%016x", n+1) }

// awaitAccepted submits jobs until each node has accepted one.
func (f *overloadFleet) awaitAccepted(t *testing.T) {
	t.Helper()
	deadline := time.Now().Add(conditionTimeout)
	for node := range f.callers {
		for f.submit(1000+node, node) != http.StatusOK {
			if time.Now().After(deadline) {
				t.Fatalf("node %d accepts no job", node+1)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
}

// awaitComplete waits until jobs are complete.
func (f *overloadFleet) awaitComplete(t *testing.T, jobs []int) {
	t.Helper()
	deadline := time.Now().Add(2 * conditionTimeout)
	for _, n := range jobs {
		for {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			state := f.platform.State(ctx, f.callers[n%len(f.callers)], overloadID(n))
			cancel()
			if state == "complete" {
				break
			}
			if time.Now().After(deadline) {
				t.Errorf("state of accepted job %s: got %q, want complete", overloadID(n), state)
				return
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
}

// Guards against refusals that never come, as the leader's outlook does not reach the
// nodes, against refused jobs that run, and against jobs that are refused for ever.
func TestOverload(t *testing.T) {
	f := newOverloadFleet(t)
	f.awaitAccepted(t)
	var accepted, refused []int
	n := 0
	for end := time.Now().Add(overloadDuration); time.Now().Before(end); n++ {
		switch status := f.submit(n, n); status {
		case http.StatusOK:
			accepted = append(accepted, n)
		case http.StatusServiceUnavailable:
			refused = append(refused, n)
		default:
			t.Errorf("status of job %s: got %d, want 200 or 503", overloadID(n), status)
		}
		time.Sleep(overloadInterval)
	}
	t.Logf("%d jobs, %d accepted, %d refused", n, len(accepted), len(refused))
	// The host can do a third of the jobs.
	if len(refused) == 0 || len(accepted) < n/3 {
		t.Fatalf("jobs accepted and refused: got %d and %d of %d, want at least a third accepted, and some refused", len(accepted), len(refused), n)
	}
	f.awaitComplete(t, accepted)
	returning := refused[:len(refused)/2]
	for i, n := range returning {
		if got := f.submit(n, i); got != http.StatusOK {
			t.Errorf("status of the refused job %s when it returns: got %d, want 200", overloadID(n), got)
		}
	}
	f.awaitComplete(t, returning)
	for _, n := range refused[len(returning):] {
		if got := f.platform.EverDoneTasks(overloadID(n)); got != 0 {
			t.Errorf("tasks done of the refused job %s: got %d, want 0", overloadID(n), got)
		}
	}
	if got := f.platform.Report().DuplicateStarts; len(got) != 0 {
		t.Errorf("tasks started twice: got %v, want none", got)
	}
	f.wantLines(t, len(refused))
}

// wantLines fails the test unless the logs have a line for each refusal, and each node has
// refused jobs.
func (f *overloadFleet) wantLines(t *testing.T, refused int) {
	t.Helper()
	got := 0
	for _, log := range f.logs {
		text, err := os.ReadFile(log)
		if err != nil {
			t.Fatal(err)
		}
		lines := strings.Count(string(text), `"request refused for load"`)
		if lines == 0 {
			t.Errorf("lines of refusals in %s: got 0, want some", filepath.Base(log))
		}
		got += lines
	}
	if got != refused {
		t.Errorf("lines of refusals: got %d, want %d", got, refused)
	}
}
