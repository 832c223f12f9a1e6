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
	// shardInterval is the time between two looks at the shards' permits.
	shardInterval = 100 * time.Millisecond
	// workerTimeout bounds one call to a worker.
	workerTimeout = 2 * time.Second
)

// errNoQueue means that the catalogue has no such queue.
var errNoQueue = errors.New("queue is not in the catalogue")

// Platform is what tasks need of the platform besides the table.
type Platform interface {
	HostLister
	Rebooter
	runner.Objects
}

var _ Platform = (*platform.Client)(nil)

// shards runs the task controllers of all pools that have queues. A shard is a
// pool, and its queues change with the catalogue.
type shards struct {
	manager *Manager
	workers *worker.Client
	runners sync.WaitGroup

	mu     sync.Mutex
	byPool map[string]*shard
	// reserved are the permits that this process holds for each team's tasks.
	reserved map[string]int
}

// shard is one pool's runner with the queues that it was started for.
type shard struct {
	runner *runner.Runner
	queues []string
	stop   context.CancelFunc
}

// newShards returns shards that run nothing yet.
func newShards(m *Manager) *shards {
	return &shards{
		manager:  m,
		workers:  worker.New(worker.Config{Timeout: workerTimeout}),
		byPool:   make(map[string]*shard),
		reserved: make(map[string]int),
	}
}

// run follows the catalogue and the permits until the context ends.
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

// follow starts a runner for each pool with queues, and a new one when the
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

// start runs the task controller of a pool.
func (s *shards) start(ctx context.Context, pool string, queues []string) *shard {
	m := s.manager
	r := runner.New(runner.Config{
		Shard: pool, Pool: pool, Queues: queues, Holder: m.node.Self().Identity.String(),
		Store: m.node.Store(), Objects: m.config.Platform, Hosts: assignedHosts{m},
		Workers: s.workers, Log: m.config.Log, ListLag: m.config.ListLag,
	})
	ctx, stop := context.WithCancel(ctx)
	s.runners.Go(func() { _ = r.Run(ctx) }) // ends with ctx, whose error it returns
	return &shard{runner: r, queues: queues, stop: stop}
}

// of returns the runner that manages a queue.
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

// balance takes permits for the tasks that wait and run, and bounds each lane
// by the permits in hand. A permit is given back only after the lanes' bounds
// were lowered, so that no task can start under it any more.
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

// reserve takes permits up to the wanted number and returns how many of those
// in hand are no longer wanted.
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

// snapshot returns the shards' state for the dump.
func (s *shards) snapshot() map[string]runner.Dump {
	s.mu.Lock()
	defer s.mu.Unlock()
	dumps := make(map[string]runner.Dump, len(s.byPool))
	for pool, current := range s.byPool {
		dumps[pool] = current.runner.Dump()
	}
	return dumps
}

// queuesByPool returns the names of each pool's queues in order.
func queuesByPool(c catalogue.Catalogue) map[string][]string {
	queues := make(map[string][]string)
	for _, name := range c.EntryNames() {
		if entry := c.Entries[name]; entry.Kind == catalogue.KindQueue {
			queues[entry.Pool] = append(queues[entry.Pool], name)
		}
	}
	return queues
}

// wantedBy returns the permits that the lanes could use.
func wantedPermits(teamQueues []task.TeamQueueState) int {
	wanted := 0
	for _, queue := range teamQueues {
		wanted += queue.Waiting
	}
	return wanted + runningTasks(teamQueues)
}

// runningIn returns the tasks that are placed or running. A lane stands in the
// dump once for each class, each time with all that it runs.
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

// divideLanes bounds a team's lanes so that together they run at most permits:
// each keeps what it runs, and the rest goes to the lanes that wait, in turn.
func divideTeamPermits(c catalogue.Catalogue, teamQueues []task.TeamQueueState, permits int, limits map[task.TeamQueue]task.Limit) {
	bounds, waiting := make(map[task.TeamQueue]int), make(map[task.TeamQueue]int)
	for _, queue := range teamQueues {
		bounds[queue.TeamQueue] = queue.Running
		waiting[queue.TeamQueue] += queue.Waiting
	}
	spare := permits - runningTasks(teamQueues)
	keys := slices.SortedFunc(maps.Keys(bounds), func(a, b task.TeamQueue) int { return strings.Compare(a.Queue, b.Queue) })
	for granted := true; spare > 0 && granted; {
		granted = false
		for _, key := range keys {
			if spare > 0 && waiting[key] > 0 {
				waiting[key]--
				bounds[key]++
				spare--
				granted = true
			}
		}
	}
	for key, bound := range bounds {
		limits[key] = teamQueueLimit(c, key, bound)
	}
}

// laneLimit returns a lane's limit with the team's weight on the queue.
func teamQueueLimit(c catalogue.Catalogue, key task.TeamQueue, bound int) task.Limit {
	entry := c.Entries[key.Queue]
	if entry.Limit > 0 {
		bound = min(bound, entry.Limit)
	}
	return task.Limit{MaxRunning: bound, Closed: bound <= 0, Weight: float64(c.Weight(entry, key.Team))}
}

// closeUnseen lets no task start in a lane that nothing was counted for yet:
// it has no permits until the next round.
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

// teamsOf returns the teams that have lanes or permits, in order.
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

// setLeaving has the workers of these hosts get nothing new.
func (s *shards) setLeaving(hosts []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, current := range s.byPool {
		current.runner.SetLeaving(hosts)
	}
}

// drained reports whether the pool's shard has no work at the host's worker,
// under the fence that is returned. It is false where another process manages
// the shard: the host is that process's to settle.
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

// has reports whether the pool has queues, and so a shard.
func (s *shards) hasPool(pool string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.byPool[pool] != nil
}

// busy reports whether this process holds permits for tasks.
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
