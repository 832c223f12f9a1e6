package manager

import (
	"context"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lovagedyke/lovagedyke/internal/catalogue"
	"github.com/lovagedyke/lovagedyke/internal/platform"
	"github.com/lovagedyke/lovagedyke/internal/table"
	"github.com/lovagedyke/lovagedyke/internal/task"
	"github.com/lovagedyke/lovagedyke/internal/task/runner"
	"github.com/lovagedyke/lovagedyke/internal/worker"
)

const (
	// shardInterval is the time between two rounds of the shards' loop.
	shardInterval = 100 * time.Millisecond
	// workerTimeout bounds one call to a worker.
	workerTimeout = 2 * time.Second
)

// errNoQueue is returned for a queue that is not in the catalogue, or whose
// runner has not been started yet.
var errNoQueue = errors.New("queue is not in the catalogue")

// Platform is the part of the platform's API that a manager uses, apart from the
// table.
type Platform interface {
	HostLister
	Rebooter
	runner.Objects
}

var _ Platform = (*platform.Client)(nil)

// shards runs one task controller for each pool that has queues. The queues of a
// pool form a shard; they change with the catalogue.
type shards struct {
	manager *Manager
	workers *worker.Client
	runners sync.WaitGroup

	mu     sync.Mutex
	byPool map[string]*shard
	// reserved counts the permits that this process has acquired for the tasks
	// of each team.
	reserved map[string]int
}

// shard is the runner of one pool and the queues that it was started with.
type shard struct {
	runner *runner.Runner
	queues []string
	stop   context.CancelFunc
}

// newShards returns shards without runners.
func newShards(m *Manager) *shards {
	return &shards{
		manager:  m,
		workers:  worker.New(worker.Config{Timeout: workerTimeout}),
		byPool:   make(map[string]*shard),
		reserved: make(map[string]int),
	}
}

// run starts and stops runners and allocates permits to their queues until ctx
// is cancelled.
func (s *shards) run(ctx context.Context) {
	defer s.workers.Close()
	defer s.runners.Wait()
	ticker := time.NewTicker(shardInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		c := s.manager.node.Configuration().View().State.Catalogue
		s.reconcile(ctx, c)
		s.allocatePermits(c)
	}
}

// reconcile starts a runner for each pool with queues, and replaces it when the
// pool's queues have changed.
func (s *shards) reconcile(ctx context.Context, c catalogue.Catalogue) {
	wanted := queuesByPool(c)
	s.mu.Lock()
	defer s.mu.Unlock()
	for pool, current := range s.byPool {
		if !slices.Equal(current.queues, wanted[pool]) {
			current.stop()
			delete(s.byPool, pool)
		}
	}
	for pool, queues := range wanted {
		if s.byPool[pool] == nil {
			s.byPool[pool] = s.start(ctx, pool, queues)
		}
	}
}

// start starts the runner of a pool.
func (s *shards) start(ctx context.Context, pool string, queues []string) *shard {
	m := s.manager
	r := runner.New(runner.Config{
		Shard: pool, Pool: pool, Queues: queues, Holder: m.node.Self().Identity.String(),
		Store: m.node.Store(), Objects: m.config.Platform, Hosts: assignedHosts{m},
		Workers: s.workers, Log: m.config.Log, ListLag: m.config.ListLag,
		Evacuated: func() []string { return m.currentState().EvacuatedDataCentres() },
	})
	ctx, stop := context.WithCancel(ctx)
	s.runners.Go(func() { _ = r.Run(ctx) }) // returns only the context's error
	return &shard{runner: r, queues: queues, stop: stop}
}

// forQueue returns the runner of the pool that the queue belongs to.
func (s *shards) forQueue(queue string) (*runner.Runner, error) {
	entry, ok := s.manager.node.Configuration().View().State.Catalogue.Entries[queue]
	if !ok || entry.Kind != catalogue.KindQueue {
		return nil, errNoQueue
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	current := s.byPool[entry.Pool]
	if current == nil {
		return nil, errNoQueue
	}
	return current.runner, nil
}

// allocatePermits acquires permits for the waiting and running tasks of each team,
// and limits each team queue to its part of them. Excess permits are released
// only after the limits were lowered, so that no task can start under a released
// permit.
func (s *shards) allocatePermits(c catalogue.Catalogue) {
	s.mu.Lock()
	defer s.mu.Unlock()
	byTeam := make(map[string][]task.TeamQueueState)
	for _, current := range s.byPool {
		for _, queue := range current.runner.Dump().TeamQueues {
			byTeam[queue.Team] = append(byTeam[queue.Team], queue)
		}
	}
	limits := make(map[task.TeamQueue]task.Limit)
	excess := make(map[string]int)
	for _, team := range teamNames(byTeam, s.reserved) {
		teamQueues := byTeam[team]
		excess[team] = s.reserve(team, wantedPermits(teamQueues))
		divideTeamPermits(c, teamQueues, s.reserved[team]-excess[team], limits)
	}
	closeUnobserved(c, limits)
	for _, current := range s.byPool {
		current.runner.SetLimits(limits)
	}
	for team, n := range excess {
		for range n {
			s.manager.node.Ledger().Release(team)
			s.reserved[team]--
		}
	}
}

// reserve acquires permits up to the wanted number and returns how many reserved
// permits are in excess of it.
func (s *shards) reserve(team string, wanted int) (excess int) {
	ledger := s.manager.node.Ledger()
	if shortage := wanted - s.reserved[team]; shortage > 0 {
		ledger.RecordWaiting(team, shortage)
	}
	for s.reserved[team] < wanted {
		status := ledger.Status(team)
		if status.Draining || status.InUse >= status.Holding || !ledger.Acquire(team) {
			s.manager.node.RequestPermits(team)
			break
		}
		s.reserved[team]++
	}
	return max(0, s.reserved[team]-wanted)
}

// snapshot returns the dumps of the runners, keyed by pool.
func (s *shards) snapshot() map[string]runner.Dump {
	s.mu.Lock()
	defer s.mu.Unlock()
	dumps := make(map[string]runner.Dump, len(s.byPool))
	for pool, current := range s.byPool {
		dumps[pool] = current.runner.Dump()
	}
	return dumps
}

// queuesByPool returns the sorted names of each pool's queues.
func queuesByPool(c catalogue.Catalogue) map[string][]string {
	queues := make(map[string][]string)
	for _, name := range c.EntryNames() {
		if entry := c.Entries[name]; entry.Kind == catalogue.KindQueue {
			queues[entry.Pool] = append(queues[entry.Pool], name)
		}
	}
	return queues
}

// wantedPermits returns the number of permits that the team queues could use: one
// for each waiting or running task.
func wantedPermits(teamQueues []task.TeamQueueState) int {
	wanted := 0
	for _, queue := range teamQueues {
		wanted += queue.Waiting
	}
	return wanted + runningTasks(teamQueues)
}

// runningTasks returns the number of tasks that are placed or running. The dump
// lists a team queue once for each class, each time with the total of its running
// tasks.
func runningTasks(teamQueues []task.TeamQueueState) int {
	running := make(map[task.TeamQueue]int)
	for _, queue := range teamQueues {
		running[queue.TeamQueue] = queue.Running
	}
	sum := 0
	for _, n := range running {
		sum += n
	}
	return sum
}

// divideTeamPermits sets the limits of a team's queues so that together they run
// at most the given number of tasks. Each queue keeps its running tasks; the
// remaining permits go to the queues with waiting tasks, round-robin.
func divideTeamPermits(c catalogue.Catalogue, teamQueues []task.TeamQueueState, permits int, limits map[task.TeamQueue]task.Limit) {
	bounds, waiting := make(map[task.TeamQueue]int), make(map[task.TeamQueue]int)
	for _, queue := range teamQueues {
		bounds[queue.TeamQueue] = queue.Running
		waiting[queue.TeamQueue] += queue.Waiting
	}
	remaining := permits - runningTasks(teamQueues)
	keys := slices.SortedFunc(maps.Keys(bounds), func(a, b task.TeamQueue) int { return strings.Compare(a.Queue, b.Queue) })
	for granted := true; remaining > 0 && granted; {
		granted = false
		for _, key := range keys {
			if remaining > 0 && waiting[key] > 0 {
				waiting[key]--
				bounds[key]++
				remaining--
				granted = true
			}
		}
	}
	for key, bound := range bounds {
		limits[key] = teamQueueLimit(c, key, bound)
	}
}

// teamQueueLimit returns a team queue's limit with the team's weight on the queue.
func teamQueueLimit(c catalogue.Catalogue, key task.TeamQueue, bound int) task.Limit {
	entry := c.Entries[key.Queue]
	if entry.Limit > 0 {
		bound = min(bound, entry.Limit)
	}
	return task.Limit{MaxRunning: bound, Closed: bound <= 0, Weight: float64(c.Weight(entry, key.Team))}
}

// closeUnobserved closes the team queues that no dump lists yet. They get permits
// in the next round.
func closeUnobserved(c catalogue.Catalogue, limits map[task.TeamQueue]task.Limit) {
	for name, entry := range c.Entries {
		if entry.Kind != catalogue.KindQueue {
			continue
		}
		for team := range c.Teams {
			key := task.TeamQueue{Queue: name, Team: team}
			if _, observed := limits[key]; !observed {
				limits[key] = task.Limit{Closed: true}
			}
		}
	}
}

// teamNames returns the sorted names of the teams that have team queues or
// reserved permits.
func teamNames(teamQueues map[string][]task.TeamQueueState, reserved map[string]int) []string {
	teams := make(map[string]bool)
	for team := range teamQueues {
		teams[team] = true
	}
	for team := range reserved {
		teams[team] = true
	}
	return slices.Sorted(maps.Keys(teams))
}

// setLeaving replaces the hosts whose workers must not receive new tasks.
func (s *shards) setLeaving(hosts []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, current := range s.byPool {
		current.runner.SetLeaving(hosts)
	}
}

// countTasks returns the number of tasks that may be running on the host's worker,
// of the shards that this process manages.
func (s *shards) countTasks(host string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	count := 0
	for _, current := range s.byPool {
		count += current.runner.ActiveAttempts(host)
	}
	return count
}

// isDrained reports whether the pool's shard has no tasks on the host's worker.
// The result holds as long as the returned fence does. It is false if another
// process manages the shard, which then completes the host's drain itself.
func (s *shards) isDrained(pool, host string) (fence table.Condition, drained bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	current := s.byPool[pool]
	if current == nil {
		return fence, false
	}
	fence, drained, err := current.runner.Drained(host)
	return fence, drained && err == nil
}

// hasPool reports whether the pool has a runner, that is, whether it has queues.
func (s *shards) hasPool(pool string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.byPool[pool] != nil
}

// holdsPermits reports whether any permits are reserved for tasks.
func (s *shards) holdsPermits() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, n := range s.reserved {
		if n > 0 {
			return true
		}
	}
	return false
}
