package soak

import (
	"context"
	"fmt"
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
	// taskTime is the run time of a task, and longTaskTime that of odd seeds with ListKinds:
	// longer than a leader takes from one host list to the next. Each job has stepsPerJob steps of
	// tasksPerStep tasks.
	taskTime, longTaskTime    = 150 * time.Millisecond, 600 * time.Millisecond
	stepsPerJob, tasksPerStep = 2, 3
	// One of cappedInterval jobs is of an account with a cap, and its tasks run for
	// cappedTaskTime, longer than a new leader waits before it starts new work; one of scheduledInterval runs scheduledTimes times. The job with the number manyTimesJob runs manyTimes times: with an entry
	// for each, its progress would not fit into a row.
	cappedInterval, scheduledInterval = 24, 10
	cappedTaskTime                    = 5 * time.Second
	scheduledTimes                    = 4
	manyTimesJob, manyTimes           = 3, 700
	manyTimesInterval                 = 10 * time.Millisecond
	// One of gangInterval jobs is a gang of gangSize tasks, and the jobs with the numbers of wideGangs are
	// gangs of wideGangSize tasks that fit on one endpoint.
	gangInterval, gangSize        = 12, 4
	wideGangSize, wideGangTaskCPU = 600, 20
	// refusalTime is how long all endpoints refuse starts: longer than counts of waiting jobs may lag.
	refusalTime = 7 * time.Second
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
	// takeoverCutTime is how long an endpoint is cut off beside a takeover.
	takeoverCutTime = 5500 * time.Millisecond
	// clockSetBack is how far a host's wall clock is set back before a restart.
	clockSetBack = time.Hour
	// orderDelay is how late late orders and renewals are carried out, answerDelay how long
	// delayed answers take. The nodes wait a little longer for answers.
	orderDelay  = 2 * time.Second
	answerDelay = 300 * time.Millisecond
	// listLag is how long the lists do not know of an unlisted restart.
	listLag = 2 * time.Second
	// maxRowLag limits how far a row of the host list lags.
	maxRowLag = 4 * time.Second
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
	// ColdStart begins with all at once: endpoints that have just replaced others on their
	// hosts, a host list that lags, faults and a backlog of jobs.
	ColdStart bool
	// HasMixedJobs adds jobs that run several times, and jobs of an account with a cap.
	HasMixedJobs bool
	// HasGangs adds jobs that are gangs, some of them with more members than an endpoint is sent at a time.
	HasGangs bool
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
	// ExcusedInEvacuation is the number of starts in a data centre that was to be evacuated, later
	// than the bound, for which an endpoint or a fault of the process accounts.
	ExcusedInEvacuation int
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
	// endpointProxies holds the proxies of all addresses of endpoints, of which the first ones
	// are of the hosts in order, and replacedProxies those of endpoints that have replaced others.
	endpointProxies []*proxy
	replacedProxies map[int]*proxy

	mu       sync.Mutex
	accepted map[string]time.Time
	// deadly holds the deadly jobs; some of the next jobs are until deadlyUntil.
	deadly      map[string]bool
	deadlyUntil time.Time
	// lastWave is the number of the newest wave.
	lastWave int
	report   Report
	refused  []string
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
	s := &soak{config: config, faultLog: faultLog, group: loops.New(ctx), accepted: map[string]time.Time{}, deadly: map[string]bool{}, replacedProxies: map[int]*proxy{}}
	standinConfig := standin.Config{Hosts: config.Endpoints, TaskTime: taskTime, Expose: s.expose, Conceal: s.conceal}
	if slices.Contains(config.Kinds, EndpointSlowStops) {
		standinConfig.MaxStopTime = stopTime
	}
	standinConfig.Unguarded = slices.Contains(config.Kinds, EndpointShrinks) && config.Seed%2 == 0
	if slices.Contains(config.Kinds, HostListLags) && config.Seed%2 == 1 {
		standinConfig.TaskTime = longTaskTime
	}
	if s.hasEvacuations() {
		standinConfig.DataCentres, standinConfig.EvacuationBound = dataCentres, evacuationBound
	}
	if s.hasRecuts() {
		standinConfig.DataCentres = dataCentres[:recutDataCentres]
	}
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

// conceal makes an endpoint's proxy refuse connections.
func (s *soak) conceal(endpoint netip.AddrPort) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, link := range s.endpointProxies {
		if link.target == endpoint {
			link.refuse()
		}
	}
}

// nodeName returns the name of a node, counted from 0.
func nodeName(n int) string { return fmt.Sprintf("node-%d", n+1) }

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
		name := nodeName(n)
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
	if s.config.ColdStart {
		plan = coldStart(plan, s.config.Endpoints)
	}
	s.report.Faults = len(plan)
	calls := loops.New(ctx)
	end := time.Now().Add(s.config.Duration)
	calls.Go(func(ctx context.Context) { s.submitJobs(ctx, end) })
	calls.Go(func(ctx context.Context) { s.pollStates(ctx, end) })
	counting, stopCounting := context.WithCancel(ctx)
	defer stopCounting()
	counts := loops.New(counting)
	counts.Go(s.pollWaiting)
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
	clearedAt := time.Now()
	calls.Wait()
	s.awaitJobs(ctx)
	stopCounting()
	counts.Wait()
	s.awaitNoneWaiting(ctx)
	s.checkGangs(clearedAt)
	s.checkRuns()
	s.logRuns()
}
