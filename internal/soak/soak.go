package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lovagedyke/lovagedyke/internal/loops"
	"github.com/lovagedyke/lovagedyke/platform/standin"
)

const (
	// taskTime is how long a task takes; steps and tasks are those of each job.
	taskTime     = 150 * time.Millisecond
	steps, tasks = 2, 3
	// jobEvery is the time between two jobs, callTime a caller's patience.
	jobEvery = 80 * time.Millisecond
	callTime = 3 * time.Second
	// triesMost is how often a job is handed in, at another node each time.
	triesMost = 5
	// knownAfter is how long after its acceptance a job has to be known everywhere.
	knownAfter = 3 * time.Second
	// mendTime bounds the time until all jobs have ended once the harm is over.
	mendTime = 90 * time.Second
	// portsPerNode is how many ports a node has.
	portsPerNode = 3
)

// Config configures a soak.
type Config struct {
	Seed uint64
	// Length is how long harm is done.
	Duration         time.Duration
	Nodes, Endpoints int
	// Dir is a folder for settings and logs.
	Dir string
	// NewProcess returns a node that runs with a settings file and logs to another.
	NewProcess func(settings, log string) Process
	// FirstPort is the first of the nodes' ports, which have to be free.
	FirstPort uint16
}

// Process is a node in a process of its own.
type Process interface {
	// Keep runs the node until ctx ends, and starts it again whenever it ends.
	Supervise(ctx context.Context)
	// Signal sends the node a signal, if it runs.
	Signal(signal syscall.Signal)
}

// Report is what a soak has seen.
type Report struct {
	Faults                             int
	Accepted, Refused, Uncertain, Runs int
	// Violations are promises that were broken.
	Violations []string
}

// soak is one run.
type soak struct {
	config    Config
	stage     *standin.Platform
	group     *loops.Group
	processes []Process
	callers   []netip.AddrPort
	stores    []*proxy
	endpoints []*proxy

	mu       sync.Mutex
	accepted map[string]time.Time
	report   Report
	refused  []string
}

// Run plays a seed's plan and checks what is seen. Its error is one of the soak
// itself; broken promises are in the report.
func Run(ctx context.Context, config Config) (Report, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s := &soak{config: config, group: loops.New(ctx), accepted: map[string]time.Time{}}
	stage, err := standin.New(standin.Config{Hosts: config.Endpoints, TaskTime: taskTime, Expose: s.expose})
	if err != nil {
		return Report{}, errors.Wrap(err, "open the platform")
	}
	defer stage.Close()
	s.stage = stage
	stage.WritePolicy(1)
	if err := s.startNodes(); err != nil {
		cancel()
		s.group.Wait()
		return Report{}, err
	}
	s.play(ctx)
	cancel()
	s.group.Wait()
	return s.report, nil
}

// expose puts a proxy before an endpoint.
func (s *soak) expose(endpoint netip.AddrPort) netip.AddrPort {
	door, err := newProxy(s.group, endpoint)
	if err != nil {
		return endpoint
	}
	s.endpoints = append(s.endpoints, door)
	return door.address()
}

// startNodes starts each node with a proxy of its own before the store.
func (s *soak) startNodes() error {
	loopback := netip.MustParseAddr("127.0.0.1")
	for n := range s.config.Nodes {
		door, err := newProxy(s.group, s.stage.Address())
		if err != nil {
			return errors.Wrap(err, "open a proxy before the store")
		}
		s.stores = append(s.stores, door)
		var ports [portsPerNode]netip.AddrPort
		for i := range ports {
			ports[i] = netip.AddrPortFrom(loopback, s.config.FirstPort+uint16(n*portsPerNode+i))
			socket, err := net.Listen("tcp", ports[i].String())
			if err != nil {
				return errors.Wrap(err, "a node's port is taken")
			}
			_ = socket.Close()
		}
		name := fmt.Sprintf("node-%d", n+1)
		settings := filepath.Join(s.config.Dir, name+".json")
		text := s.stage.SettingsWithStore(name, ports[0], ports[1], ports[2], door.address())
		if err := os.WriteFile(settings, text, 0o600); err != nil {
			return errors.Wrap(err, "write a node's settings")
		}
		p := s.config.NewProcess(settings, filepath.Join(s.config.Dir, name+".log"))
		s.processes = append(s.processes, p)
		s.callers = append(s.callers, ports[0])
		s.group.Go(p.Supervise)
	}
	return nil
}

// play harms the system while callers hand jobs in, and then waits for their ends.
func (s *soak) play(ctx context.Context) {
	plan := Plan(s.config.Seed, s.config.Duration, s.config.Nodes, s.config.Endpoints)
	s.report.Faults = len(plan)
	calls := loops.New(ctx)
	end := time.Now().Add(s.config.Duration)
	calls.Go(func(ctx context.Context) { s.handInJobs(ctx, end) })
	calls.Go(func(ctx context.Context) { s.askStates(ctx, end) })
	begun := time.Now()
	harms := loops.New(ctx)
	for _, harm := range plan {
		harms.Go(func(ctx context.Context) {
			sleep(ctx, time.Until(begun.Add(harm.At)))
			s.do(ctx, harm)
		})
	}
	harms.Wait()
	s.restore()
	calls.Wait()
	s.await(ctx)
	s.check()
}

// do does one harm and takes it back after its time.
func (s *soak) do(ctx context.Context, harm Fault) {
	during := func(begin, end func()) {
		begin()
		sleep(ctx, harm.Duration)
		end()
	}
	link := func(door *proxy, state linkState) {
		during(func() { door.set(state) }, func() { door.set(linkWell) })
	}
	node := s.processes[harm.Target%len(s.processes)]
	store, endpoint := s.stores[harm.Target%len(s.stores)], s.endpoints[harm.Target%len(s.endpoints)]
	switch harm.Kind {
	case Kill:
		node.Signal(syscall.SIGKILL)
	case Stop:
		node.Signal(syscall.SIGTERM)
	case Pause:
		during(func() { node.Signal(syscall.SIGSTOP) }, func() { node.Signal(syscall.SIGCONT) })
	case KillAll:
		for _, p := range s.processes {
			p.Signal(syscall.SIGKILL)
		}
	case StoreDelayed:
		link(store, linkDelayed)
	case StoreReset:
		store.reset()
	case StoreOneWay:
		link(store, linkOneWay)
	case StoreSilent:
		link(store, linkSilent)
	case StoreUnavailable:
		during(func() { s.stage.SetStoreDown(true) }, func() { s.stage.SetStoreDown(false) })
	case StoreLosesAnswers:
		during(func() { s.stage.SetLoseAnswers(true) }, func() { s.stage.SetLoseAnswers(false) })
	case StoreForgetsHistory:
		s.stage.DropHistory()
	case EndpointDelayed:
		link(endpoint, linkDelayed)
	case EndpointReset:
		endpoint.reset()
	case EndpointOneWay:
		link(endpoint, linkOneWay)
	case EndpointSilent:
		link(endpoint, linkSilent)
	case EndpointCrash:
		s.stage.CrashHost(harm.Target + 1)
	}
}

// restore ends all harm.
func (s *soak) restore() {
	s.stage.SetStoreDown(false)
	s.stage.SetLoseAnswers(false)
	for _, door := range append(s.stores, s.endpoints...) {
		door.set(linkWell)
	}
	for _, p := range s.processes {
		p.Signal(syscall.SIGCONT)
	}
}

func jobID(n int) string { return fmt.Sprintf("%016x", n+1) }

// handInJobs hands jobs in until the end, each at one node after the other until
// it is accepted.
func (s *soak) handInJobs(ctx context.Context, end time.Time) {
	attempts := loops.New(ctx)
	for n := 0; time.Now().Before(end) && ctx.Err() == nil; n++ {
		attempts.Go(func(ctx context.Context) { s.handIn(ctx, n) })
		sleep(ctx, jobEvery)
	}
	attempts.Wait()
}

func (s *soak) handIn(ctx context.Context, n int) {
	isUnsure := false
	for try := range triesMost {
		call, cancel := context.WithTimeout(ctx, callTime)
		status := s.stage.Submit(call, s.callers[(n+try)%len(s.callers)], jobID(n), steps, tasks)
		cancel()
		switch status {
		case 200:
			s.mu.Lock()
			s.accepted[jobID(n)] = time.Now()
			s.mu.Unlock()
			return
		case 429, 503:
		default:
			// No answer, or one that does not say that it will never run.
			isUnsure = true
		}
		sleep(ctx, time.Duration(try+1)*jobEvery)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if isUnsure {
		s.report.Uncertain++
		return
	}
	s.refused = append(s.refused, jobID(n))
}

// askStates asks for accepted jobs at any node until the end.
func (s *soak) askStates(ctx context.Context, end time.Time) {
	random := rand.New(rand.NewPCG(s.config.Seed, 1))
	for time.Now().Before(end) && ctx.Err() == nil {
		sleep(ctx, jobEvery)
		s.mu.Lock()
		var known []string
		for id, at := range s.accepted {
			if time.Since(at) > knownAfter {
				known = append(known, id)
			}
		}
		s.mu.Unlock()
		if len(known) == 0 {
			continue
		}
		id, node := known[random.IntN(len(known))], s.callers[random.IntN(len(s.callers))]
		call, cancel := context.WithTimeout(ctx, callTime)
		state, isUnknown := s.stage.LookupState(call, node, id)
		cancel()
		if isUnknown || state == "failed" || state == "cancelled" {
			s.violated("job %s, accepted, is shown as %q (unknown: %v) by %s", id, state, isUnknown, node)
		}
	}
}

// await waits until each accepted job has ended, or for mendTime.
func (s *soak) await(ctx context.Context) {
	end := time.Now().Add(mendTime)
	for id := range s.accepted {
		for n := 0; ; n++ {
			call, cancel := context.WithTimeout(ctx, callTime)
			state, _ := s.stage.LookupState(call, s.callers[n%len(s.callers)], id)
			cancel()
			if state == "complete" {
				break
			}
			if time.Now().After(end) || ctx.Err() != nil {
				s.violated("job %s, accepted, is shown as %q %s after the harm", id, state, mendTime)
				break
			}
			sleep(ctx, jobEvery)
		}
	}
}

// check compares what the endpoints have run with what callers were told.
func (s *soak) check() {
	for id := range s.accepted {
		if got, want := s.stage.EverDoneTasks(id), steps*tasks; got != want {
			s.violated("job %s: %d tasks done, want %d", id, got, want)
		}
	}
	for _, id := range s.refused {
		if got := s.stage.EverDoneTasks(id); got != 0 {
			s.violated("job %s was refused at each try, and %d of its tasks ran", id, got)
		}
	}
	seen := s.stage.Report()
	for _, double := range seen.DuplicateStarts {
		s.violated("%s, and was started again", double)
	}
	s.report.Accepted, s.report.Refused, s.report.Runs = len(s.accepted), len(s.refused), seen.Runs
}

func (s *soak) violated(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.report.Violations = append(s.report.Violations, fmt.Sprintf(format, args...))
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
