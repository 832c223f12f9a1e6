package fleet_test

import (
	"fmt"
	"maps"
	"net/netip"
	"testing"
	"time"

	"github.com/lovagedyke/lovagedyke/internal/fleet"
	"github.com/lovagedyke/lovagedyke/internal/job"
	"github.com/lovagedyke/lovagedyke/internal/policy"
)

const (
	poolName  = "orders"
	otherPool = "bookings"
	spareName = "off"
	queueName = "restock"
)

// simulation is a leader with simulated endpoints in virtual time.
type simulation struct {
	t         *testing.T
	leader    *fleet.Leader
	now       time.Time
	startedAt time.Time
	orders    fleet.Orders
	// running and ended are what each endpoint reports.
	running map[fleet.EndpointID][]fleet.RunningTask
	ended   map[fleet.EndpointID][]fleet.Completion
	// lives holds the incarnation of each endpoint that has restarted.
	lives     map[fleet.EndpointID]life
	unchecked bool
	// rows are the jobs' rows that were written.
	rows map[job.ID][]byte
}

// life is an incarnation of a simulated endpoint.
type life struct {
	// startedAt is the start by the endpoint's own wall clock, began by the simulation's.
	startedAt, began time.Time
}

type simulationConfig struct {
	token    uint64
	policy   policy.Config
	jobs     []fleet.StoredJob
	unloaded bool
	// unchecked is set by benchmarks: the check of the counts takes longer than a step.
	unchecked bool
	journal   fleet.Journal
	// deadlineOrder is passed to the leader.
	deadlineOrder bool
}

func newSimulation(t *testing.T, config simulationConfig) *simulation {
	t.Helper()
	now := time.Date(2026, 12, 1, 6, 0, 0, 0, time.UTC)
	if config.token == 0 {
		config.token = 1
	}
	s := &simulation{
		t: t, unchecked: config.unchecked, now: now, startedAt: now,
		running: map[fleet.EndpointID][]fleet.RunningTask{}, ended: map[fleet.EndpointID][]fleet.Completion{},
		lives: map[fleet.EndpointID]life{}, rows: map[job.ID][]byte{},
	}
	s.leader = fleet.New(fleet.Config{Token: config.token, Now: now, DeadlineOrder: config.deadlineOrder, Journal: config.journal, Bounds: fleet.Bounds{
		MaxLease: 10 * time.Second, StatusRetention: 120 * time.Second, Move: 1500 * time.Millisecond,
		Maintenance: 2 * time.Second, HostChangeExclusion: 3 * time.Second, Stop: 200 * time.Millisecond,
	}})
	if config.policy.Queues == nil {
		config.policy = defaultPolicy()
	}
	s.leader.SetPolicy(policy.New(config.policy))
	if !config.unloaded {
		s.leader.Load(config.jobs, now, now)
	}
	return s
}

func defaultPolicy() policy.Config {
	return policy.Config{
		Queues: []policy.Queue{{Name: queueName, Pool: poolName, MaxAttempts: 2, Stretch: 1.6, Target: time.Second}},
		Pools:  []policy.Pool{{Name: poolName, Guarded: true}, {Name: otherPool, Guarded: true}, {Name: spareName, Spare: true}},
	}
}

var endpointSize = policy.Resources{CPU: 16000, Memory: 65536}

func endpointRow(id fleet.EndpointID) fleet.EndpointRow {
	return fleet.EndpointRow{
		ID: id, Host: hostOf(id), Pool: poolName, Capacity: endpointSize, Labels: []string{"a", "r1-1"},
		StartedAt: time.UnixMilli(1000), Address: netip.MustParseAddrPort("127.0.0.1:1"),
	}
}

// addEndpoint lists an endpoint and renews its lease for the first time.
func (s *simulation) addEndpoint(id fleet.EndpointID) {
	s.leader.UpdateEndpoint(endpointRow(id), s.now)
	s.advance(time.Millisecond)
	s.renewLease(id)
}

// advance moves the clock; the store keeps confirming the leader.
func (s *simulation) advance(d time.Duration) {
	s.now = s.now.Add(d)
	s.leader.ConfirmLeadership(s.now)
}

// renewLease delivers an endpoint's report if a lease renewal is due.
func (s *simulation) renewLease(id fleet.EndpointID) {
	s.t.Helper()
	renewal, due := s.leader.NextRenewal(id, s.now)
	if !due {
		return
	}
	s.leader.HandleReport(id, renewal, s.now, s.reportOf(id), s.now.Add(time.Millisecond))
	s.advance(2 * time.Millisecond)
}

// reportOf returns what an endpoint reports now.
func (s *simulation) reportOf(id fleet.EndpointID) fleet.Report {
	current := s.lifeOf(id)
	return fleet.Report{
		Clock: s.now.Sub(current.began), StartedAt: current.startedAt, Running: s.running[id], Completions: s.ended[id],
	}
}

// lifeOf returns an endpoint's incarnation.
func (s *simulation) lifeOf(id fleet.EndpointID) life {
	if restarted, ok := s.lives[id]; ok {
		return restarted
	}
	return life{startedAt: time.UnixMilli(1000), began: s.startedAt}
}

// step runs one step of the leader.
func (s *simulation) step() fleet.Orders {
	s.orders = s.leader.Step(s.now, s.now)
	if s.unchecked {
		return s.orders
	}
	if err := s.leader.CheckTallies(); err != nil {
		s.t.Error(err)
	}
	return s.orders
}

// acceptStarts accepts all starts of the last step.
func (s *simulation) acceptStarts() {
	for _, start := range s.orders.Starts {
		s.leader.HandleStartReply(start, fleet.Reply{Outcome: fleet.OrderAccepted}, s.now)
		s.running[start.Endpoint] = append(s.running[start.Endpoint], fleet.RunningTask{Task: start.Task, Run: start.Run, SpeedPercent: 100})
	}
	s.advance(time.Millisecond)
}

// endRun moves a run from an endpoint's active runs to its completions.
func (s *simulation) endRun(start fleet.Start, kind fleet.CompletionKind) {
	kept := s.running[start.Endpoint][:0]
	for _, running := range s.running[start.Endpoint] {
		if running.Task != start.Task || running.Run != start.Run {
			kept = append(kept, running)
		}
	}
	s.running[start.Endpoint] = kept
	s.ended[start.Endpoint] = append(s.ended[start.Endpoint], fleet.Completion{
		Number: int64(len(s.ended[start.Endpoint]) + 1), Task: start.Task, Run: start.Run, Kind: kind,
	})
}

// writeBatches writes all pending batches.
func (s *simulation) writeBatches() {
	for {
		batch, ok := s.leader.NextBatch()
		if !ok {
			return
		}
		maps.Copy(s.rows, batch.Rows)
		s.leader.MarkBatchWritten(batch, s.now)
	}
}

// startsOnceStored returns the starts that are sent until all that is decided now is stored: those
// of suspected tasks are stored first.
func (s *simulation) startsOnceStored() []fleet.Start {
	starts := s.step().Starts
	s.writeBatches()
	return append(starts, s.step().Starts...)
}

func (s *simulation) submit(submission *job.Submission) {
	s.leader.AddJob(submission, s.now, s.now)
}

func jobID(n int) job.ID {
	return job.ID(fmt.Sprintf("%016x", n))
}

func submission(n int, steps ...job.Step) *job.Submission {
	return &job.Submission{
		ID: jobID(n), Queue: queueName, Pool: poolName, MaxAttempts: 2, Stretch: 1.6, Target: time.Second,
		Steps: steps, Accepted: time.Date(2026, 12, 1, 6, 0, 0, 0, time.UTC),
	}
}

func tasks(count int) job.Step {
	return job.Step{Count: count, Resources: policy.Resources{CPU: 1000, Memory: 100}, Estimate: time.Second}
}

func persistentTasks(count, maxUnavailable int) job.Step {
	step := tasks(count)
	step.Persistent = true
	step.MaxUnavailable = maxUnavailable
	return step
}

func TestStepsStartInOrder(t *testing.T) {
	s := newSimulation(t, simulationConfig{})
	s.addEndpoint("a")
	second := tasks(1)
	second.After = []int{0}
	s.submit(submission(1, tasks(2), second))
	first := s.step().Starts
	if got, want := len(first), 2; got != want {
		t.Fatalf("starts: got %d, want %d", got, want)
	}
	s.acceptStarts()
	s.endRun(first[0], fleet.CompletionDone)
	s.renewLease("a")
	if got := len(s.step().Starts); got != 0 {
		t.Errorf("starts with one of two done: got %d, want 0", got)
	}
	s.writeBatches()
	s.endRun(first[1], fleet.CompletionDone)
	s.renewLease("a")
	starts := s.step().Starts
	if len(starts) != 1 || starts[0].Task.Step != 1 {
		t.Fatalf("starts with all done: got %v, want the second step's", starts)
	}
	s.acceptStarts()
	s.writeBatches()
	s.endRun(starts[0], fleet.CompletionDone)
	s.renewLease("a")
	if got, _ := s.leader.StateOf(jobID(1)); got == job.Complete {
		t.Error("state before its row is written: got complete, want not")
	}
	s.writeBatches()
	if got, _ := s.leader.StateOf(jobID(1)); got != job.Complete {
		t.Errorf("state: got %s, want complete", got)
	}
}

func TestCompletionsAreAcknowledgedOncePersisted(t *testing.T) {
	s := newSimulation(t, simulationConfig{})
	s.addEndpoint("a")
	s.submit(submission(1, tasks(2)))
	starts := s.step().Starts
	s.acceptStarts()
	s.endRun(starts[0], fleet.CompletionDone)
	s.renewLease("a")
	s.advance(2 * time.Second)
	renewal, _ := s.leader.NextRenewal("a", s.now)
	if renewal.AckedUpTo != 0 {
		t.Errorf("acknowledged before the row is written: got %d, want 0", renewal.AckedUpTo)
	}
	s.writeBatches()
	renewal, due := s.leader.NextRenewal("a", s.now)
	if !due || renewal.AckedUpTo != 1 {
		t.Errorf("acknowledged after: got %d (due %t), want 1", renewal.AckedUpTo, due)
	}
	s.renewLease("a")
	s.advance(2 * time.Second)
	if renewal, _ = s.leader.NextRenewal("a", s.now); renewal.AckedUpTo != 0 {
		t.Errorf("acknowledged again: got %d, want 0", renewal.AckedUpTo)
	}
}

// Pattern: turns-beyond-the-pool. After each batch only endpoints whose completions it
// held are looked at: looking at a thousand of them takes a part of the leader's
// processor. An endpoint that is left out would not be acknowledged.
func TestBatchNamesEndpointsToAcknowledge(t *testing.T) {
	s := newSimulation(t, simulationConfig{})
	for _, id := range []fleet.EndpointID{"a", "b", "c"} {
		s.addEndpoint(id)
	}
	s.submit(submission(1, tasks(12)))
	starts := s.step().Starts
	s.acceptStarts()
	want := map[fleet.EndpointID]bool{}
	for _, start := range starts {
		if start.Endpoint != "c" {
			s.endRun(start, fleet.CompletionDone)
			want[start.Endpoint] = true
		}
	}
	for id := range want {
		s.renewLease(id)
	}
	got := map[fleet.EndpointID]bool{}
	for {
		batch, ok := s.leader.NextBatch()
		if !ok {
			break
		}
		for _, id := range s.leader.MarkBatchWritten(batch, s.now) {
			got[id] = true
		}
	}
	if len(want) == 0 || !maps.Equal(got, want) {
		t.Errorf("endpoints to acknowledge: got %v, want %v", got, want)
	}
}

// The lease of an idle endpoint is rarely renewed, and it must still accept work.
func TestIdleEndpointAcceptsWorkAfterLongTime(t *testing.T) {
	s := newSimulation(t, simulationConfig{})
	s.addEndpoint("a")
	s.advance(15 * time.Second)
	s.submit(submission(1, tasks(1)))
	if got := len(s.step().Starts); got != 1 {
		t.Errorf("starts: got %d, want 1", got)
	}
}

// Pattern: rack-lost-at-the-peak.
func TestRunsOfUnresponsiveEndpoint(t *testing.T) {
	answers := map[string]struct {
		after time.Duration
		want  int
	}{
		"lease not expired": {4 * time.Second, 0},
		"lease expired":     {6 * time.Second, 1},
	}
	for name, c := range answers {
		t.Run(name, func(t *testing.T) {
			s := newSimulation(t, simulationConfig{})
			s.addEndpoint("a")
			s.submit(submission(1, tasks(1)))
			s.step()
			s.acceptStarts()
			s.renewLease("a")
			s.addEndpoint("b")
			for passed := time.Duration(0); passed < c.after; passed += 100 * time.Millisecond {
				s.advance(100 * time.Millisecond)
				if _, due := s.leader.NextRenewal("a", s.now); due {
					s.leader.RenewalFailed("a", fleet.Reply{Outcome: fleet.OrderUnknown}, s.now)
				}
			}
			starts := s.step().Starts
			if got := len(starts); got != c.want {
				t.Fatalf("starts after %s: got %d, want %d", c.after, got, c.want)
			}
			if c.want == 1 && (starts[0].Endpoint != "b" || starts[0].Run != 2) {
				t.Errorf("start: got run %d on %s, want run 2 on b", starts[0].Run, starts[0].Endpoint)
			}
		})
	}
}

func TestHostListShowsCrash(t *testing.T) {
	// A second pool might be given the only host that is left.
	onePool := defaultPolicy()
	onePool.Pools = onePool.Pools[:1]
	s := newSimulation(t, simulationConfig{policy: onePool})
	s.addEndpoint("a")
	s.addEndpoint("b")
	s.outlastListLag()
	s.submit(submission(1, tasks(1)))
	crashed := s.step().Starts[0].Endpoint
	s.acceptStarts()
	s.renewLease(crashed)
	survivor := map[fleet.EndpointID]fleet.EndpointID{"a": "b", "b": "a"}[crashed]
	s.advance(100 * time.Millisecond)
	s.leader.RenewalFailed(crashed, fleet.Reply{Outcome: fleet.OrderUnknown}, s.now)
	s.leader.UpdateHosts([]fleet.Host{newHost(poolName, survivor), downHost(crashed)}, s.now, s.now)
	s.writeBatches()
	s.wantOrders("before the endpoint was asked after the list", 0, 0)
	s.failRenewal(crashed, fleet.OrderUnknown)
	s.wantOrders("before the crash is stored", 0, 0)
	s.writeBatches()
	starts := s.step().Starts
	if len(starts) != 1 || starts[0].Endpoint != survivor {
		t.Errorf("starts: got %v, want one on %s", starts, survivor)
	}
}

func TestOutdatedHostListIsIgnored(t *testing.T) {
	s := newSimulation(t, simulationConfig{})
	before := s.now
	s.addEndpoint("a")
	s.submit(submission(1, tasks(1)))
	s.step()
	s.acceptStarts()
	s.leader.UpdateHosts([]fleet.Host{{ID: "m-a", Pool: poolName, State: fleet.HostUp, Endpoint: "old", Capacity: endpointSize}}, before, s.now)
	if got := len(s.step().Starts); got != 0 {
		t.Errorf("starts: got %d, want 0", got)
	}
}

// Pattern: late-orders-at-the-peak.
func TestUnansweredStart(t *testing.T) {
	s := newSimulation(t, simulationConfig{})
	s.addEndpoint("a")
	s.addEndpoint("b")
	s.submit(submission(1, tasks(1)))
	start := s.step().Starts[0]
	s.leader.HandleStartReply(start, fleet.Reply{Outcome: fleet.OrderUnknown}, s.now)
	s.advance(10 * time.Millisecond)
	s.renewLease(start.Endpoint)
	orders := s.step()
	if len(orders.Stops) != 1 || len(orders.Starts) != 0 {
		t.Fatalf("orders after a report without the run: got %d stops and %d starts, want 1 and 0", len(orders.Stops), len(orders.Starts))
	}
	s.renewLease(start.Endpoint)
	if got := len(s.step().Starts); got != 0 {
		t.Fatalf("starts before the stop is answered: got %d, want 0", got)
	}
	s.leader.HandleStopReply(orders.Stops[0], fleet.Reply{Outcome: fleet.OrderAccepted}, s.now)
	s.advance(10 * time.Millisecond)
	s.renewLease(start.Endpoint)
	starts := s.step().Starts
	if len(starts) != 1 || starts[0].Run <= start.Run {
		t.Errorf("starts after the stop: got %v, want one with a higher run", starts)
	}
}

// Pattern: late-orders-at-the-peak. The report resolves the outcome of an unanswered
// start, so that the endpoint must not delay it to wait for a completion.
func TestReportWaitIsShortWhileStartIsUnresolved(t *testing.T) {
	s := newSimulation(t, simulationConfig{})
	s.addEndpoint("a")
	s.submit(submission(1, tasks(2)))
	starts := s.step().Starts
	s.leader.HandleStartReply(starts[0], fleet.Reply{Outcome: fleet.OrderAccepted}, s.now)
	s.running["a"] = []fleet.RunningTask{{Task: starts[0].Task, Run: starts[0].Run, SpeedPercent: 100}}
	const short = 200 * time.Millisecond
	wait := func() time.Duration {
		s.advance(time.Millisecond)
		renewal, _ := s.leader.NextRenewal("a", s.now)
		return renewal.Wait
	}
	if got := wait(); got <= short {
		t.Errorf("wait while a start is on its way: got %v, want more than %v", got, short)
	}
	s.leader.HandleStartReply(starts[1], fleet.Reply{Outcome: fleet.OrderUnknown}, s.now)
	if got := wait(); got > short {
		t.Errorf("wait after a start without an answer: got %v, want at most %v", got, short)
	}
	s.renewLease("a")
	stop := s.step().Stops[0]
	s.leader.HandleStopReply(stop, fleet.Reply{Outcome: fleet.OrderAccepted}, s.now)
	if got := wait(); got > short {
		t.Errorf("wait after its stop: got %v, want at most %v", got, short)
	}
	s.renewLease("a")
	if got := wait(); got <= short {
		t.Errorf("wait once it is resolved: got %v, want more than %v", got, short)
	}
}

func TestUnansweredStartThatRuns(t *testing.T) {
	s := newSimulation(t, simulationConfig{})
	s.addEndpoint("a")
	s.submit(submission(1, tasks(1)))
	start := s.step().Starts[0]
	s.leader.HandleStartReply(start, fleet.Reply{Outcome: fleet.OrderUnknown}, s.now)
	s.running["a"] = []fleet.RunningTask{{Task: start.Task, Run: start.Run, SpeedPercent: 100}}
	s.advance(10 * time.Millisecond)
	s.renewLease("a")
	if orders := s.step(); len(orders.Stops)+len(orders.Starts) != 0 {
		t.Errorf("orders: got %d stops and %d starts, want none", len(orders.Stops), len(orders.Starts))
	}
}

func TestStartOutcomes(t *testing.T) {
	cases := map[string]struct {
		outcome fleet.OrderOutcome
		// retries is how many starts follow within a second, with a second endpoint available.
		retries int
		lost    bool
	}{
		"accepted":    {fleet.OrderAccepted, 0, false},
		"stale run":   {fleet.OrderStaleRun, 1, false},
		"expired":     {fleet.OrderLeaseExpired, 1, false},
		"no capacity": {fleet.OrderNoCapacity, 1, false},
		"unhealthy":   {fleet.OrderUnhealthy, 1, false},
		"not sent":    {fleet.OrderNotSent, 1, false},
		"malformed":   {fleet.OrderMalformed, 1, false},
		"restarted":   {fleet.OrderOtherIncarnation, 1, false},
		"fenced":      {fleet.OrderFenced, 0, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := newSimulation(t, simulationConfig{})
			s.addEndpoint("a")
			s.submit(submission(1, tasks(1)))
			start := s.step().Starts[0]
			s.addEndpoint("b")
			isLeader := s.leader.HandleStartReply(start, fleet.Reply{Outcome: c.outcome}, s.now)
			if got, want := isLeader, !c.lost; got != want {
				t.Errorf("still leading: got %t, want %t", got, want)
			}
			s.advance(1100 * time.Millisecond)
			// The task of a stale run waits for the report that says whether it ended.
			if c.outcome == fleet.OrderAccepted {
				s.run(start)
			}
			s.renewLease("a")
			starts := s.step().Starts
			if len(starts) != c.retries {
				t.Fatalf("starts: got %d, want %d", len(starts), c.retries)
			}
			if c.retries == 1 && starts[0].Run <= start.Run {
				t.Errorf("run: got %d, want above %d", starts[0].Run, start.Run)
			}
		})
	}
}

func TestUnconfirmedLeaderStartsNothing(t *testing.T) {
	s := newSimulation(t, simulationConfig{})
	s.addEndpoint("a")
	s.submit(submission(1, tasks(1)))
	s.now = s.now.Add(2 * time.Second)
	if got := len(s.step().Starts); got != 0 {
		t.Errorf("starts 2 s after the last confirmation: got %d, want 0", got)
	}
	s.leader.ConfirmLeadership(s.now)
	if got := len(s.step().Starts); got != 1 {
		t.Errorf("starts after a confirmation: got %d, want 1", got)
	}
}

// Pattern: restart-at-the-peak.
func TestInheritedJobsWaitForEachEndpoint(t *testing.T) {
	stored := fleet.StoredJob{Submission: submission(1, tasks(1))}
	setups := map[string]struct {
		prepare func(s *simulation)
		want    int
	}{
		"one endpoint not reached": {func(s *simulation) { s.leader.UpdateEndpoint(endpointRow("b"), s.now) }, 0},
		"all endpoints reached": {func(s *simulation) {
			s.addEndpoint("b")
			s.listHostsOf("a", "b")
		}, 1},
		"hosts not listed yet": {func(s *simulation) { s.addEndpoint("b") }, 0},
		// The endpoint's entry lapsed while the store was unavailable.
		"an endpoint is not listed": {func(s *simulation) { s.listHostsOf("a", "b") }, 0},
		"the other endpoint is gone": {func(s *simulation) {
			s.leader.UpdateEndpoint(endpointRow("b"), s.now)
			s.advance(time.Millisecond)
			s.failRenewal("b", fleet.OrderRefused)
			s.listed(newHost(poolName, "a"), downHost("b"))
			s.failRenewal("b", fleet.OrderRefused)
		}, 1},
		"the other endpoint is silent, its host is down": {func(s *simulation) {
			s.leader.UpdateEndpoint(endpointRow("b"), s.now)
			s.advance(time.Millisecond)
			s.listed(newHost(poolName, "a"), downHost("b"))
			s.failRenewal("b", fleet.OrderUnknown)
		}, 0},
		"the other endpoint's host is down, it was not asked": {func(s *simulation) {
			s.leader.UpdateEndpoint(endpointRow("b"), s.now)
			s.advance(time.Millisecond)
			s.listed(newHost(poolName, "a"), downHost("b"))
		}, 0},
		"the other endpoint's host is missing once": {func(s *simulation) {
			s.leader.UpdateEndpoint(endpointRow("b"), s.now)
			s.advance(time.Millisecond)
			s.listHostsOf("a")
		}, 0},
		"the other endpoint's host is missing twice": {func(s *simulation) {
			s.leader.UpdateEndpoint(endpointRow("b"), s.now)
			for range 2 {
				s.advance(time.Millisecond)
				s.listHostsOf("a")
				s.failRenewal("b", fleet.OrderRefused)
			}
			s.listHostsOf("a")
			s.failRenewal("b", fleet.OrderRefused)
		}, 1},
		"inherited leases expired": {func(s *simulation) {
			s.leader.UpdateEndpoint(endpointRow("b"), s.now)
			s.advance(8 * time.Second)
			s.leader.ConfirmEndpoints(s.now)
		}, 1},
	}
	for name, setup := range setups {
		t.Run(name, func(t *testing.T) {
			s := newSimulation(t, simulationConfig{token: 2, jobs: []fleet.StoredJob{stored}})
			s.addEndpoint("a")
			setup.prepare(s)
			starts := s.step().Starts
			if got := len(starts); got != setup.want {
				t.Fatalf("starts: got %d, want %d", got, setup.want)
			}
			if len(starts) == 1 && starts[0].Run <= 1 {
				t.Errorf("run of the second leader: got %d, want one above all of the first's", starts[0].Run)
			}
		})
	}
}

// listHostsOf lists a host for each endpoint.
func (s *simulation) listHostsOf(ids ...fleet.EndpointID) {
	var list []fleet.Host
	for _, id := range ids {
		list = append(list, newHost(poolName, id))
	}
	s.leader.UpdateHosts(list, s.now, s.now)
}

// The former leader may start a job that is accepted right after the takeover.
func TestFirstJobsWaitForUnreachedEndpoints(t *testing.T) {
	s := newSimulation(t, simulationConfig{token: 2})
	s.addEndpoint("a")
	s.leader.UpdateEndpoint(endpointRow("b"), s.now)
	s.submit(submission(1, tasks(1)))
	if got := len(s.step().Starts); got != 0 {
		t.Fatalf("starts: got %d, want 0", got)
	}
	s.addEndpoint("b")
	s.listHostsOf("a", "b")
	if got := len(s.step().Starts); got != 1 {
		t.Errorf("starts once all are reached: got %d, want 1", got)
	}
}

func TestNewJobsDoNotWaitForUnreachedEndpoints(t *testing.T) {
	s := newSimulation(t, simulationConfig{token: 2})
	s.advance(3 * time.Second)
	s.addEndpoint("a")
	s.leader.UpdateEndpoint(endpointRow("b"), s.now)
	fresh := submission(1, tasks(1))
	fresh.Accepted = s.now.Round(0)
	s.submit(fresh)
	if got := len(s.step().Starts); got != 1 {
		t.Errorf("starts: got %d, want 1", got)
	}
}

// The former leader may have started a job that was accepted in its time and of which the new one
// learns later.
func TestLateJobsWaitForUnreachedEndpoints(t *testing.T) {
	s := newSimulation(t, simulationConfig{token: 2})
	accepted := s.now.Round(0)
	s.advance(3 * time.Second)
	s.addEndpoint("a")
	s.leader.UpdateEndpoint(endpointRow("b"), s.now)
	late := submission(1, tasks(1))
	late.Accepted = accepted
	s.submit(late)
	if got := len(s.step().Starts); got != 0 {
		t.Errorf("starts: got %d, want 0", got)
	}
	s.addEndpoint("b")
	s.listHostsOf("a", "b")
	if got := len(s.step().Starts); got != 1 {
		t.Errorf("starts once all are reached: got %d, want 1", got)
	}
}

func TestRunsOfFormerLeaderAreAdopted(t *testing.T) {
	s := newSimulation(t, simulationConfig{token: 2, jobs: []fleet.StoredJob{{Submission: submission(1, tasks(2))}}})
	s.running["a"] = []fleet.RunningTask{{Task: job.Task{Job: jobID(1), Index: 0}, Run: 1, SpeedPercent: 100}}
	s.addEndpoint("a")
	s.listHostsOf("a")
	starts := s.step().Starts
	if len(starts) != 1 || starts[0].Task.Index != 1 {
		t.Errorf("starts: got %v, want only the other task's", starts)
	}
}

// The job was stored after the new leader read the rows, and the former leader started it.
func TestCompletionOfUnknownJobIsNotAcknowledged(t *testing.T) {
	s := newSimulation(t, simulationConfig{token: 2})
	task := job.Task{Job: jobID(7)}
	s.ended["a"] = []fleet.Completion{{Number: 1, Task: task, Run: 1, Kind: fleet.CompletionDone}}
	s.addEndpoint("a")
	orders := s.step()
	if len(orders.Lookups) != 1 || orders.Lookups[0] != jobID(7) {
		t.Fatalf("lookups: got %v, want %s", orders.Lookups, jobID(7))
	}
	s.writeBatches()
	s.advance(time.Second)
	if renewal, _ := s.leader.NextRenewal("a", s.now); renewal.AckedUpTo != 0 {
		t.Fatalf("acknowledged: got %d, want 0", renewal.AckedUpTo)
	}
	s.leader.HandleLookup(jobID(7), &fleet.StoredJob{Submission: submission(7, tasks(1))}, s.now, s.now)
	s.renewLease("a")
	if got := len(s.step().Starts); got != 0 {
		t.Errorf("starts of a done task: got %d, want 0", got)
	}
	s.writeBatches()
	if got, _ := s.leader.StateOf(jobID(7)); got != job.Complete {
		t.Errorf("state: got %s, want complete", got)
	}
}

// The former leader started the job. Once its rows are read, its run must be adopted
// before any of its tasks starts elsewhere.
func TestLookedUpJobIsAdoptedFirst(t *testing.T) {
	s := newSimulation(t, simulationConfig{token: 2})
	s.running["a"] = []fleet.RunningTask{{Task: job.Task{Job: jobID(7)}, Run: 1, SpeedPercent: 100}}
	s.addEndpoint("a")
	s.addEndpoint("b")
	s.listHostsOf("a", "b")
	s.step()
	s.leader.HandleLookup(jobID(7), &fleet.StoredJob{Submission: submission(7, tasks(2))}, s.now, s.now)
	if got := len(s.step().Starts); got != 0 {
		t.Fatalf("starts before the run is adopted: got %d, want 0", got)
	}
	s.advance(200 * time.Millisecond)
	s.renewLease("a")
	starts := s.step().Starts
	if len(starts) != 1 || starts[0].Task.Index != 1 {
		t.Errorf("starts: got %v, want that of the other task", starts)
	}
}

func TestRunOfMissingJobIsStopped(t *testing.T) {
	s := newSimulation(t, simulationConfig{token: 2})
	s.running["a"] = []fleet.RunningTask{{Task: job.Task{Job: jobID(7)}, Run: 1}}
	s.addEndpoint("a")
	if got := len(s.step().Stops); got != 0 {
		t.Fatalf("stops before the store was asked: got %d, want 0", got)
	}
	s.leader.HandleLookup(jobID(7), nil, s.now, s.now)
	s.advance(25 * time.Second)
	s.renewLease("a")
	if got := len(s.step().Stops); got != 1 {
		t.Errorf("stops: got %d, want 1", got)
	}
}

func TestNewIncarnationOfEndpoint(t *testing.T) {
	s := newSimulation(t, simulationConfig{})
	s.addEndpoint("a")
	s.submit(submission(1, tasks(1)))
	s.step()
	s.acceptStarts()
	s.renewLease("a")
	restarted := endpointRow("a")
	restarted.StartedAt = time.UnixMilli(5000)
	s.leader.UpdateEndpoint(restarted, s.now)
	if got := len(s.step().Starts); got != 0 {
		t.Fatalf("starts before the new incarnation has reported: got %d, want 0", got)
	}
	renewal, due := s.leader.NextRenewal("a", s.now)
	if !due || renewal.AckedUpTo != 0 || renewal.Lease != 0 {
		t.Errorf("first renewal: got %+v (due %t), want one without lease and acknowledgement", renewal, due)
	}
	s.leader.HandleReport("a", renewal, s.now, fleet.Report{Clock: time.Millisecond, StartedAt: time.UnixMilli(5000)}, s.now)
	s.wantOrders("before the crash is stored", 0, 0)
	s.writeBatches()
	starts := s.step().Starts
	if len(starts) != 1 || starts[0].Run != 2 {
		t.Errorf("starts: got %v, want run 2", starts)
	}
}

func TestFailures(t *testing.T) {
	s := newSimulation(t, simulationConfig{})
	s.addEndpoint("a")
	s.addEndpoint("b")
	s.submit(submission(1, tasks(1)))
	first := s.step().Starts[0]
	s.acceptStarts()
	s.endRun(first, fleet.CompletionFailed)
	s.renewLease(first.Endpoint)
	second := s.step().Starts
	if len(second) != 1 || second[0].Endpoint == first.Endpoint {
		t.Fatalf("second attempt: got %v, want one on the other endpoint", second)
	}
	s.acceptStarts()
	s.writeBatches()
	if got, _ := s.leader.StateOf(jobID(1)); got != job.Running {
		t.Errorf("state after one failure: got %s, want running", got)
	}
	s.endRun(second[0], fleet.CompletionFailed)
	s.renewLease(second[0].Endpoint)
	s.writeBatches()
	if got, _ := s.leader.StateOf(jobID(1)); got != job.Failed {
		t.Errorf("state after two failures: got %s, want failed", got)
	}
	if got := len(s.step().Starts); got != 0 {
		t.Errorf("starts after the last attempt: got %d, want 0", got)
	}
}

// A new leader reads the failure's row and gets a report of the same completion.
func TestFailureIsCountedOnce(t *testing.T) {
	task := job.Task{Job: jobID(1)}
	progress := job.NewProgress()
	progress.MarkFailed(task, 1)
	s := newSimulation(t, simulationConfig{token: 2, jobs: []fleet.StoredJob{{Submission: submission(1, tasks(1)), Progress: progress}}})
	s.ended["a"] = []fleet.Completion{{Number: 1, Task: task, Run: 1, Kind: fleet.CompletionFailed}}
	s.addEndpoint("a")
	s.listHostsOf("a")
	if got := len(s.step().Starts); got != 1 {
		t.Errorf("starts: got %d, want 1", got)
	}
}

func TestCancel(t *testing.T) {
	s := newSimulation(t, simulationConfig{})
	s.addEndpoint("a")
	s.submit(submission(1, tasks(1)))
	s.step()
	s.acceptStarts()
	s.leader.CancelJob(jobID(1), s.now)
	orders := s.step()
	if len(orders.Stops) != 1 || len(orders.Starts) != 0 {
		t.Errorf("orders: got %d stops and %d starts, want 1 and 0", len(orders.Stops), len(orders.Starts))
	}
	s.leader.CancelJob(jobID(2), s.now)
	s.submit(submission(2, tasks(1)))
	if got := len(s.step().Starts); got != 0 {
		t.Errorf("starts of a job that was cancelled before it was added: got %d, want 0", got)
	}
	s.writeBatches()
	if got, _ := s.leader.StateOf(jobID(2)); got != job.Cancelled {
		t.Errorf("state: got %s, want cancelled", got)
	}
}

// Pattern: one-account-floods.
func TestClientAccountCap(t *testing.T) {
	config := defaultPolicy()
	config.Accounts = []policy.Account{{Name: "small", Cap: policy.Resources{CPU: 2500}}}
	s := newSimulation(t, simulationConfig{policy: config})
	s.addEndpoint("a")
	flood := submission(1, tasks(10))
	flood.Account = "small"
	s.submit(flood)
	other := submission(2, tasks(3))
	s.submit(other)
	counts := map[job.ID]int{}
	for _, start := range s.step().Starts {
		counts[start.Task.Job]++
	}
	if counts[jobID(1)] != 2 || counts[jobID(2)] != 3 {
		t.Errorf("starts: got %v, want 2 of the capped account and 3 of the other", counts)
	}
}

// Pattern: one-account-floods. The flooding account submits first; the other account's
// job takes precedence once the flood exceeds its share.
func TestClientAccountShare(t *testing.T) {
	config := defaultPolicy()
	config.Accounts = []policy.Account{{Name: "hot", Weight: 2}, {Name: "calm", Weight: 2}}
	s := newSimulation(t, simulationConfig{policy: config})
	for n := range 10 {
		flood := submission(n+1, tasks(8))
		flood.Account = "hot"
		s.submit(flood)
	}
	calm := submission(20, tasks(8))
	calm.Account = "calm"
	calm.Accepted = calm.Accepted.Add(100 * time.Millisecond)
	s.submit(calm)
	s.addEndpoint("a")
	s.addEndpoint("b")
	counts := map[job.ID]int{}
	for _, start := range s.step().Starts {
		counts[start.Task.Job]++
	}
	if got := counts[jobID(20)]; got != 8 {
		t.Errorf("starts of the other account: got %d, want 8", got)
	}
	if len(counts) != 4 {
		t.Errorf("jobs started: got %d, want 4: three of the flood within its share, and the other account's", len(counts))
	}
}

func TestPlacementBounds(t *testing.T) {
	limited, labelled, huge, bestEffort := tasks(6), tasks(2), tasks(1), tasks(1)
	limited.MaxPerEndpoint = 2
	labelled.Requires = "b"
	huge.Resources.Memory = 70000
	bestEffort.BestEffort = true
	bestEffort.Resources.CPU = 20000
	cases := map[string]struct {
		step job.Step
		want int
	}{
		"two an endpoint":        {limited, 4},
		"no endpoint with label": {labelled, 0},
		"too large":              {huge, 0},
		"best effort":            {bestEffort, 1},
		"more than fits":         {tasks(50), 32},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := newSimulation(t, simulationConfig{})
			s.addEndpoint("a")
			s.addEndpoint("b")
			s.submit(submission(1, c.step))
			if got := len(s.step().Starts); got != c.want {
				t.Errorf("starts: got %d, want %d", got, c.want)
			}
		})
	}
}

func TestDrainingEndpointGetsNoWork(t *testing.T) {
	s := newSimulation(t, simulationConfig{})
	s.addEndpoint("a")
	draining := endpointRow("a")
	draining.Draining = true
	s.leader.UpdateEndpoint(draining, s.now)
	s.submit(submission(1, tasks(1)))
	if got := len(s.step().Starts); got != 0 {
		t.Errorf("starts: got %d, want 0", got)
	}
}

func TestGang(t *testing.T) {
	gang := tasks(4)
	gang.Gang = true
	gang.Resources.CPU = 10000
	s := newSimulation(t, simulationConfig{})
	s.addEndpoint("a")
	s.addEndpoint("b")
	s.addEndpoint("c")
	s.submit(submission(1, gang))
	if got := len(s.step().Starts); got != 0 {
		t.Fatalf("starts without capacity for all: got %d, want 0", got)
	}
	s.addEndpoint("d")
	starts := s.step().Starts
	if got := len(starts); got != 4 {
		t.Fatalf("starts with capacity for all: got %d, want 4", got)
	}
	for _, start := range starts {
		if start.Run != starts[0].Run {
			t.Errorf("run: got %d and %d, want one for all", start.Run, starts[0].Run)
		}
	}
	s.acceptStarts()
	s.endRun(starts[0], fleet.CompletionDone)
	s.renewLease(starts[0].Endpoint)
	s.writeBatches()
	if got, _ := s.leader.StateOf(jobID(1)); got != job.Complete {
		t.Errorf("state after one member's end: got %s, want complete", got)
	}
}

func TestOccurrencesStartWhenDue(t *testing.T) {
	s := newSimulation(t, simulationConfig{})
	s.addEndpoint("a")
	scheduled := submission(1, tasks(1))
	scheduled.Times, scheduled.Start, scheduled.Interval = 2, s.now.Add(time.Second), 500*time.Millisecond
	s.submit(scheduled)
	if got := len(s.step().Starts); got != 0 {
		t.Errorf("starts before the due time: got %d, want 0", got)
	}
	s.advance(time.Second)
	s.renewLease("a")
	if got := len(s.step().Starts); got != 1 {
		t.Errorf("starts at the due time: got %d, want 1", got)
	}
	s.acceptStarts()
	s.advance(600 * time.Millisecond)
	s.renewLease("a")
	starts := s.step().Starts
	if len(starts) != 1 || starts[0].Task.Occurrence != 1 {
		t.Errorf("starts: got %v, want the second occurrence beside the first", starts)
	}
}

func TestAdvice(t *testing.T) {
	config := defaultPolicy()
	config.Queues[0].Advice = &policy.Advice{TicketLifetime: 3 * time.Second}
	s := newSimulation(t, simulationConfig{policy: config})
	s.addEndpoint("a")
	s.addEndpoint("b")
	s.submit(submission(1, tasks(2)))
	orders := s.step()
	if len(orders.Starts) != 0 || len(orders.AdviceRequests) != 1 || len(orders.AdviceRequests[0].Endpoints) != 2 {
		t.Fatalf("orders: got %+v, want one advice request for two endpoints", orders)
	}
	s.leader.HandleAdvice(orders.AdviceRequests[0], fleet.AdviceGrant{Tickets: map[fleet.EndpointID]string{"b": "t1"}, TicketLifetime: 3 * time.Second}, true, s.now)
	starts := s.step().Starts
	if len(starts) != 2 {
		t.Fatalf("starts: got %d, want 2", len(starts))
	}
	for _, start := range starts {
		if start.Endpoint != "b" || start.Ticket != "t1" {
			t.Errorf("start: got %s with %q, want b with its ticket", start.Endpoint, start.Ticket)
		}
	}
	s.leader.HandleStartReply(starts[0], fleet.Reply{Outcome: fleet.OrderInvalidTicket}, s.now)
	s.advance(100 * time.Millisecond)
	if got := len(s.step().AdviceRequests); got != 1 {
		t.Errorf("advice requests after a rejected ticket: got %d, want 1", got)
	}
}

func TestExpiredJobs(t *testing.T) {
	s := newSimulation(t, simulationConfig{})
	s.submit(submission(1, tasks(1)))
	s.leader.CancelJob(jobID(1), s.now)
	s.writeBatches()
	s.advance(130 * time.Second)
	if got := s.leader.ExpiredJobs(s.now, 10); len(got) != 0 {
		t.Errorf("expired jobs within twice the retention: got %v, want none", got)
	}
	s.advance(130 * time.Second)
	got := s.leader.ExpiredJobs(s.now, 10)
	if len(got) != 1 {
		t.Fatalf("expired jobs after that: got %v, want the job", got)
	}
	s.leader.ForgetJobs(got)
	if _, known := s.leader.StateOf(jobID(1)); known {
		t.Error("state: got known, want forgotten")
	}
}

func TestWritesAreSplitIntoBatches(t *testing.T) {
	s := newSimulation(t, simulationConfig{})
	for n := range 200 {
		s.submit(submission(n+1, tasks(1)))
		s.leader.CancelJob(jobID(n+1), s.now)
	}
	sizes := []int{}
	for {
		batch, ok := s.leader.NextBatch()
		if !ok {
			break
		}
		sizes = append(sizes, len(batch.Rows))
		s.leader.MarkBatchWritten(batch, s.now)
	}
	if len(sizes) != 3 || sizes[0] != 90 || sizes[2] != 20 {
		t.Errorf("batches: got %v, want 90, 90 and 20", sizes)
	}
}
