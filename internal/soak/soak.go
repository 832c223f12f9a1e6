package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lovagedyke/lovagedyke/internal/loops"
	"github.com/lovagedyke/lovagedyke/platform/standin"
)

const (
	// taskTime is the run time of a task. Each job has stepsPerJob steps of
	// tasksPerStep tasks.
	taskTime                  = 150 * time.Millisecond
	stepsPerJob, tasksPerStep = 2, 3
	// jobInterval is the time between two jobs, callTimeout the timeout of a call.
	jobInterval = 80 * time.Millisecond
	callTimeout = 3 * time.Second
	// maxAttempts is how often a job is submitted, to another node each time.
	maxAttempts = 5
	// maxPropagationDelay is the time after which all nodes have to know an accepted
	// job.
	maxPropagationDelay = 3 * time.Second
	// recoveryTimeout limits the time from the last fault until all jobs have ended.
	recoveryTimeout = 90 * time.Second
	// clockSetBack is how far a host's wall clock is set back before a restart.
	clockSetBack = time.Hour
	// orderDelay is how late late orders and renewals are carried out, answerDelay how long
	// delayed answers take. The nodes wait a little longer for answers.
	orderDelay  = 2 * time.Second
	answerDelay = 300 * time.Millisecond
	// listLag is how long the lists do not know of an unlisted restart.
	listLag = 2 * time.Second
	// stopTime is how long slow stops take.
	stopTime = time.Second
	// deadlyInterval is the share of jobs, one in so many, that are deadly while some are, and
	// deadlyAfter how long after its start their first task crashes its endpoint.
	deadlyInterval = 8
	deadlyAfter    = 10 * time.Millisecond
	// maxShrunkCPU limits the capacity of an endpoint that has shrunk, and fullCPU is that of
	// the others.
	maxShrunkCPU, fullCPU = 4000, 16000
)

// PortsPerNode is the number of ports on which a node listens.
const PortsPerNode = 3

// Config configures a soak.
type Config struct {
	Seed uint64
	// Duration is how long faults are injected and jobs submitted.
	Duration         time.Duration
	Nodes, Endpoints int
	// Kinds are the kinds of faults; nil means all.
	Kinds []Kind
	// Dir is the directory for the nodes' settings and logs, and for a log of the faults.
	Dir string
	// NewProcess returns a node with the given settings file and log file.
	NewProcess func(settings, log string) Process
	// FirstPort is the first of the nodes' ports. They have to be free.
	FirstPort uint16
}

// Process is a node that runs as a separate process.
type Process interface {
	// Supervise runs the node until ctx ends, and restarts it whenever it exits.
	Supervise(ctx context.Context)
	// Signal sends a signal to the node if it is running.
	Signal(signal syscall.Signal)
}

// Report is the result of a run.
type Report struct {
	Faults                                  int
	Accepted, Refused, OutcomeUnknown, Runs int
	// Deadly is the number of jobs with a task that crashes its endpoints.
	Deadly int
	// Violations describes the guarantees that were broken.
	Violations []string
}

// soak is the state of one run.
type soak struct {
	config          Config
	platform        *standin.Platform
	faultLog        *os.File
	group           *loops.Group
	processes       []Process
	callerAddresses []netip.AddrPort
	storeProxies    []*proxy
	endpointProxies []*proxy

	mu       sync.Mutex
	accepted map[string]time.Time
	// deadly holds the deadly jobs; some of the next jobs are until deadlyUntil.
	deadly      map[string]bool
	deadlyUntil time.Time
	report      Report
	refused     []string
}

// Run injects the faults of a seed and checks the guarantees. It returns an error only
// if the run could not be set up; violations are in the report.
func Run(ctx context.Context, config Config) (Report, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if config.Kinds == nil {
		config.Kinds = AllKinds()
	}
	faultLog, err := os.Create(filepath.Join(config.Dir, "faults.log"))
	if err != nil {
		return Report{}, errors.Wrap(err, "create the log of faults")
	}
	defer func() { _ = faultLog.Close() }()
	s := &soak{config: config, faultLog: faultLog, group: loops.New(ctx), accepted: map[string]time.Time{}, deadly: map[string]bool{}}
	standinConfig := standin.Config{Hosts: config.Endpoints, TaskTime: taskTime, Expose: s.expose}
	if slices.Contains(config.Kinds, EndpointSlowStops) {
		standinConfig.MaxStopTime = stopTime
	}
	standinConfig.Unguarded = slices.Contains(config.Kinds, EndpointShrinks) && config.Seed%2 == 0
	platform, err := standin.New(standinConfig)
	if err != nil {
		return Report{}, errors.Wrap(err, "start the simulated platform")
	}
	defer platform.Close()
	s.platform = platform
	platform.WritePolicy(1)
	if err := s.startNodes(); err != nil {
		cancel()
		s.group.Wait()
		return Report{}, err
	}
	s.run(ctx)
	cancel()
	s.group.Wait()
	return s.report, nil
}

// expose starts a proxy for an endpoint and returns the proxy's address.
func (s *soak) expose(endpoint netip.AddrPort) netip.AddrPort {
	link, err := newProxy(s.group, endpoint)
	if err != nil {
		return endpoint
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endpointProxies = append(s.endpointProxies, link)
	return link.address()
}

// startNodes starts the nodes, each with its own proxy for the store.
func (s *soak) startNodes() error {
	loopback := netip.MustParseAddr("127.0.0.1")
	for n := range s.config.Nodes {
		link, err := newProxy(s.group, s.platform.Address())
		if err != nil {
			return errors.Wrap(err, "start a proxy for the store")
		}
		s.storeProxies = append(s.storeProxies, link)
		var ports [PortsPerNode]netip.AddrPort
		for i := range ports {
			ports[i] = netip.AddrPortFrom(loopback, s.config.FirstPort+uint16(n*PortsPerNode+i))
			listener, err := net.Listen("tcp", ports[i].String())
			if err != nil {
				return errors.Wrap(err, "check that a node's port is free")
			}
			_ = listener.Close()
		}
		name := fmt.Sprintf("node-%d", n+1)
		settings := filepath.Join(s.config.Dir, name+".json")
		text := s.platform.SettingsWithStore(name, ports[0], ports[1], ports[2], link.address())
		if err := os.WriteFile(settings, text, 0o600); err != nil {
			return errors.Wrap(err, "write a node's settings")
		}
		p := s.config.NewProcess(settings, filepath.Join(s.config.Dir, name+".log"))
		s.processes = append(s.processes, p)
		s.callerAddresses = append(s.callerAddresses, ports[0])
		s.group.Go(p.Supervise)
	}
	return nil
}

// run injects the faults while callers submit jobs, then waits for the jobs to end
// and checks their runs.
func (s *soak) run(ctx context.Context) {
	plan := Plan(s.config.Seed, s.config.Duration, s.config.Nodes, s.config.Endpoints, s.config.Kinds)
	s.report.Faults = len(plan)
	calls := loops.New(ctx)
	end := time.Now().Add(s.config.Duration)
	calls.Go(func(ctx context.Context) { s.submitJobs(ctx, end) })
	calls.Go(func(ctx context.Context) { s.pollStates(ctx, end) })
	start := time.Now()
	faults := loops.New(ctx)
	for _, fault := range plan {
		faults.Go(func(ctx context.Context) {
			loops.Sleep(ctx, time.Until(start.Add(fault.At)))
			s.inject(ctx, fault)
		})
	}
	faults.Wait()
	s.clearFaults()
	calls.Wait()
	s.awaitJobs(ctx)
	s.checkRuns()
}

// inject injects a fault, and removes it after its duration.
func (s *soak) inject(ctx context.Context, fault Fault) {
	// temporarily starts an effect and stops it after the fault's duration.
	temporarily := func(start, stop func()) {
		start()
		loops.Sleep(ctx, fault.Duration)
		stop()
	}
	setLink := func(link *proxy, state linkState) {
		temporarily(func() { link.setState(state) }, func() { link.setState(linkHealthy) })
	}
	node := s.processes[fault.Target%len(s.processes)]
	store, endpoint := s.storeProxies[fault.Target%len(s.storeProxies)], s.endpointProxy(fault.Target)
	host := fault.Target%s.config.Endpoints + 1
	// A line that cannot be written is missing in the log of a failed seed only.
	_, _ = fmt.Fprintf(s.faultLog, "%s %s target %d for %s\n", time.Now().UTC().Format(time.RFC3339Nano), fault.Kind, fault.Target+1, fault.Duration)
	switch fault.Kind {
	case Kill:
		node.Signal(syscall.SIGKILL)
	case Stop:
		node.Signal(syscall.SIGTERM)
	case Pause:
		temporarily(func() { node.Signal(syscall.SIGSTOP) }, func() { node.Signal(syscall.SIGCONT) })
	case KillAll:
		for _, p := range s.processes {
			p.Signal(syscall.SIGKILL)
		}
	case StoreDelayed:
		setLink(store, linkDelayed)
	case StoreReset:
		store.reset()
	case StoreOneWay:
		setLink(store, linkOneWay)
	case StoreSilent:
		setLink(store, linkSilent)
	case StoreUnavailable:
		temporarily(func() { s.platform.SetStoreDown(true) }, func() { s.platform.SetStoreDown(false) })
	case StoreLosesAnswers:
		temporarily(func() { s.platform.SetLoseAnswers(true) }, func() { s.platform.SetLoseAnswers(false) })
	case StoreDropsHistory:
		s.platform.DropHistory()
	case EndpointDelayed:
		setLink(endpoint, linkDelayed)
	case EndpointReset:
		endpoint.reset()
	case EndpointOneWay:
		setLink(endpoint, linkOneWay)
	case EndpointSilent:
		setLink(endpoint, linkSilent)
	case EndpointCrash:
		s.platform.CrashHost(host)
	case EndpointRestart:
		s.restartHost(host, standin.Restart{Pause: fault.Duration})
	case EndpointRestartEarlier:
		s.restartHost(host, standin.Restart{Pause: fault.Duration, ClockStep: -clockSetBack})
	case EndpointRestartElsewhere:
		s.restartHost(host, standin.Restart{Pause: fault.Duration, Elsewhere: true})
	case EndpointRestartUnlisted:
		s.restartHost(host, standin.Restart{Pause: fault.Duration, ListLag: listLag})
	case EndpointRestartSlow:
		s.restartHost(host, standin.Restart{Pause: fault.Duration, SlowClock: true})
	case EndpointHang:
		temporarily(func() { s.platform.SetHung(host, true) }, func() { s.platform.SetHung(host, false) })
	case EndpointHangRestart:
		temporarily(func() { s.platform.SetHung(host, true) }, func() {
			s.restartHost(host, standin.Restart{})
			s.platform.SetHung(host, false)
		})
	case EndpointLateOrders:
		temporarily(func() { s.platform.SetOrderDelay(host, orderDelay) }, func() { s.platform.SetOrderDelay(host, 0) })
	case EndpointLateRenewals:
		temporarily(func() { s.platform.SetRenewalDelay(host, orderDelay) }, func() { s.platform.SetRenewalDelay(host, 0) })
	case EndpointSlowStops:
		temporarily(func() { s.platform.SetStopTime(host, stopTime) }, func() { s.platform.SetStopTime(host, 0) })
	case DeadlyJobs:
		s.mu.Lock()
		s.deadlyUntil = time.Now().Add(fault.Duration)
		s.mu.Unlock()
	case EndpointShrinks:
		temporarily(func() { s.platform.SetCapacity(host, int(fault.Duration.Milliseconds())%maxShrunkCPU) }, func() { s.platform.SetCapacity(host, fullCPU) })
	case EndpointDelayedAnswers:
		temporarily(func() { s.platform.SetAnswerDelay(host, answerDelay) }, func() { s.platform.SetAnswerDelay(host, 0) })
	}
}

// endpointProxy returns the proxy of the address at which an endpoint was first listed.
func (s *soak) endpointProxy(target int) *proxy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.endpointProxies[target%s.config.Endpoints]
}

func (s *soak) restartHost(host int, restart standin.Restart) {
	if err := s.platform.RestartHost(host, restart); err != nil {
		s.addViolation("fault not injected: restart of the endpoint of host %d: %v", host, err)
	}
}

// clearFaults removes all faults.
func (s *soak) clearFaults() {
	s.platform.SetStoreDown(false)
	s.platform.SetLoseAnswers(false)
	for n := range s.config.Endpoints {
		s.endpointProxy(n).setState(linkHealthy)
		s.platform.SetHung(n+1, false)
		s.platform.SetOrderDelay(n+1, 0)
		s.platform.SetRenewalDelay(n+1, 0)
		s.platform.SetStopTime(n+1, 0)
		s.platform.SetAnswerDelay(n+1, 0)
		s.platform.SetCapacity(n+1, fullCPU)
	}
	for _, link := range s.storeProxies {
		link.setState(linkHealthy)
	}
	for _, p := range s.processes {
		p.Signal(syscall.SIGCONT)
	}
}

func jobID(n int) string { return fmt.Sprintf("%016x", n+1) }

// submitJobs submits jobs until the end.
func (s *soak) submitJobs(ctx context.Context, end time.Time) {
	attempts := loops.New(ctx)
	for n := 0; time.Now().Before(end) && ctx.Err() == nil; n++ {
		s.setDeadly(n)
		attempts.Go(func(ctx context.Context) { s.submitJob(ctx, n) })
		loops.Sleep(ctx, jobInterval)
	}
	attempts.Wait()
}

// setDeadly makes one of deadlyInterval jobs deadly while some are.
func (s *soak) setDeadly(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if n%deadlyInterval == 0 && time.Now().Before(s.deadlyUntil) {
		s.deadly[jobID(n)] = true
		s.platform.SetDeadly(jobID(n), deadlyAfter)
	}
}

// finalState returns the state in which a job has to end.
func (s *soak) finalState(id string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.deadly[id] {
		return "failed"
	}
	return "complete"
}

// submitJob submits a job to one node after the other until one accepts it, at most
// maxAttempts times.
func (s *soak) submitJob(ctx context.Context, n int) {
	outcomeUnknown := false
	for attempt := range maxAttempts {
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		status := s.platform.Submit(callCtx, s.callerAddresses[(n+attempt)%len(s.callerAddresses)], jobID(n), stepsPerJob, tasksPerStep)
		cancel()
		switch status {
		case 200:
			s.mu.Lock()
			s.accepted[jobID(n)] = time.Now()
			s.mu.Unlock()
			return
		case 429, 503:
		default:
			// There was no response, or one that leaves open whether the job will run.
			outcomeUnknown = true
		}
		loops.Sleep(ctx, time.Duration(attempt+1)*jobInterval)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if outcomeUnknown {
		s.report.OutcomeUnknown++
		return
	}
	s.refused = append(s.refused, jobID(n))
}

// pollStates asks random nodes for the state of random accepted jobs until the end.
func (s *soak) pollStates(ctx context.Context, end time.Time) {
	random := rand.New(rand.NewPCG(s.config.Seed, 1))
	for time.Now().Before(end) && ctx.Err() == nil {
		loops.Sleep(ctx, jobInterval)
		s.mu.Lock()
		var due []string
		for id, at := range s.accepted {
			if time.Since(at) > maxPropagationDelay {
				due = append(due, id)
			}
		}
		s.mu.Unlock()
		if len(due) == 0 {
			continue
		}
		id, node := due[random.IntN(len(due))], s.callerAddresses[random.IntN(len(s.callerAddresses))]
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		state, notFound := s.platform.LookupState(callCtx, node, id)
		cancel()
		if notFound || state == "cancelled" || state == "failed" && s.finalState(id) != state {
			s.addViolation("accepted job %s has state %q (unknown: %v) at node %s", id, state, notFound, node)
		}
	}
}

// awaitJobs waits until all accepted jobs are complete, at most recoveryTimeout.
func (s *soak) awaitJobs(ctx context.Context) {
	end := time.Now().Add(recoveryTimeout)
	for id := range s.accepted {
		for n := 0; ; n++ {
			callCtx, cancel := context.WithTimeout(ctx, callTimeout)
			state, _ := s.platform.LookupState(callCtx, s.callerAddresses[n%len(s.callerAddresses)], id)
			cancel()
			if state == s.finalState(id) {
				break
			}
			if time.Now().After(end) || ctx.Err() != nil {
				s.addViolation("accepted job %s has state %q %s after the last fault", id, state, recoveryTimeout)
				break
			}
			loops.Sleep(ctx, jobInterval)
		}
	}
}

// checkRuns compares the runs at the endpoints with the responses to callers.
func (s *soak) checkRuns() {
	for id := range s.accepted {
		if s.deadly[id] {
			if got, want := s.platform.DeadlyCrashes(id), 2; got < want {
				s.addViolation("job %s has failed: got %d endpoints that crashed under its task, want at least %d", id, got, want)
			}
			continue
		}
		if got, want := s.platform.DoneTasks(id), stepsPerJob*tasksPerStep; got != want {
			s.addViolation("accepted job %s: got %d tasks done, want %d", id, got, want)
		}
	}
	for _, id := range s.refused {
		if got := s.platform.EverDoneTasks(id); got != 0 {
			s.addViolation("job %s was refused at every attempt, but %d of its tasks ran", id, got)
		}
	}
	report := s.platform.Report()
	for _, duplicate := range report.DuplicateStarts {
		s.addViolation("%s, and was started again", duplicate)
	}
	for _, start := range report.OverBudget {
		s.addViolation("started too often: %s", start)
	}
	for _, start := range report.OverCapacity {
		s.addViolation("started beyond the capacity: %s", start)
	}
	s.report.Deadly, s.report.Accepted, s.report.Refused, s.report.Runs = len(s.deadly), len(s.accepted), len(s.refused), report.Runs
}

func (s *soak) addViolation(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.report.Violations = append(s.report.Violations, fmt.Sprintf(format, args...))
}
