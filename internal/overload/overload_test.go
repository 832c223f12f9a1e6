package overload_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/lovagedyke/lovagedyke/internal/overload"
)

var start = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

// job returns work of a job that has to start after some seconds.
func job(seconds, hostSeconds, value float64) overload.Work {
	deadline := start.Add(time.Duration(seconds * float64(time.Second)))
	return overload.Work{Deadline: deadline, HostSeconds: hostSeconds, Remaining: hostSeconds, Value: value}
}

// protected returns the same work, protected.
func protected(work overload.Work) overload.Work {
	work.Protected = true
	return work
}

// Guards against one wide job that holds up a dozen small ones, and against deferring work that
// could be in time.
func TestDefer(t *testing.T) {
	small := job(2, 1, 1)
	tests := map[string]struct {
		works []overload.Work
		hosts float64
		ahead float64
		want  []bool
	}{
		"all fit":                         {works: []overload.Work{small, job(4, 10, 2)}, hosts: 5, want: []bool{false, false}},
		"a wide job beside small ones":    {works: []overload.Work{job(1, 16, 4), small, small, small}, hosts: 2, want: []bool{true, false, false, false}},
		"the wide job arrives last":       {works: []overload.Work{small, small, small, job(2.5, 16, 4)}, hosts: 2, want: []bool{false, false, false, true}},
		"a wide job of great value":       {works: []overload.Work{job(2, 4, 40), small, small}, hosts: 2, want: []bool{false, true, true}},
		"no more than needed":             {works: []overload.Work{job(2, 2, 1), job(2, 2, 1.5), job(2, 2, 2)}, hosts: 2, want: []bool{true, false, false}},
		"protected work stays":            {works: []overload.Work{protected(job(1, 16, 4)), small}, hosts: 2, want: []bool{false, true}},
		"what runs leaves no capacity":    {works: []overload.Work{small, small}, hosts: 1, ahead: 5, want: []bool{true, true}},
		"no hosts":                        {works: []overload.Work{small}, want: []bool{true}},
		"no work":                         {hosts: 2, want: []bool{}},
		"work that needs nothing":         {works: []overload.Work{job(2, 0, 1), small}, hosts: 1, want: []bool{false, false}},
		"a job that cannot be in time":    {works: []overload.Work{job(-1, 1, 9), small}, hosts: 1, want: []bool{true, false}},
		"it does not free its capacity":   {works: []overload.Work{protected(job(-1, 1, 9)), job(1, 1, 1)}, hosts: 1, want: []bool{false, true}},
		"deferred work is not ahead":      {works: []overload.Work{job(1, 100, 1), job(2, 1, 1), job(3, 1, 1)}, hosts: 1, want: []bool{true, false, false}},
		"earlier small work is not freed": {works: []overload.Work{job(1, 1, 1), job(1.5, 8, 2)}, hosts: 1, want: []bool{false, true}},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			got, _ := overload.Defer(c.works, overload.Backlog{Hosts: c.hosts, HostSeconds: c.ahead}, start)
			if !slices.Equal(got, c.want) {
				t.Errorf("deferred: got %v, want %v", got, c.want)
			}
		})
	}
}

// Guards against a plan in which work that is not deferred misses its deadline although none of it
// is protected, and against deferring anything without a shortage.
func TestDeferKeepsWhatFits(t *testing.T) {
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 7))
		var works []overload.Work
		for range 1 + random.IntN(60) {
			size := 4 * random.ExpFloat64()
			works = append(works, job(5*random.Float64(), size, 0.5+size/8))
		}
		slices.SortFunc(works, func(a, b overload.Work) int { return a.Deadline.Compare(b.Deadline) })
		backlog := overload.Backlog{Hosts: 1 + 40*random.Float64()}
		deferred, kept := overload.Defer(works, backlog, start)
		sum, fitsAll, all := 0.0, true, 0.0
		for i, work := range works {
			all += work.HostSeconds
			fitsAll = fitsAll && !start.Add(time.Duration(all/backlog.Hosts*float64(time.Second))).After(work.Deadline)
			if deferred[i] {
				continue
			}
			sum += work.HostSeconds
			if startsBy := start.Add(time.Duration(sum / backlog.Hosts * float64(time.Second))); startsBy.Sub(work.Deadline) > time.Millisecond {
				t.Fatalf("seed %d: kept work starts: got %v after its deadline, want none", seed, startsBy.Sub(work.Deadline))
			}
		}
		if got := slices.Contains(deferred, true); got && fitsAll {
			t.Fatalf("seed %d: work deferred without a shortage: got %v, want false", seed, got)
		}
		if got := kept.HostSeconds; got < sum-1e-6 || got > sum+1e-6 {
			t.Fatalf("seed %d: backlog that is kept: got %v, want %v", seed, got, sum)
		}
	}
}

// Pattern: far-too-much-work. Three times as much work arrives as the pool can do; what starts in
// time is compared with the order of deadlines, in which the first that can still be in time goes.
// Guards against an order under which fewer callers are served in time, and under which the
// largest tenth starts in time less than half as often as all.
func TestFarTooMuchWork(t *testing.T) {
	for seed := range uint64(20) {
		byDeadline := runOverload(seed, false)
		byCost := runOverload(seed, true)
		if got, want := byCost.inTime, byDeadline.inTime; got < want {
			t.Errorf("seed %d: jobs in time: got %d, want at least the %d of the order of deadlines", seed, got, want)
		}
		if got, want := byCost.rate(overload.Largest), 0.5*float64(byCost.inTime)/float64(byCost.jobs); got < want {
			t.Errorf("seed %d: share of the largest tenth in time: got %.2f, want at least %.2f", seed, got, want)
		}
	}
}

// overloadResult counts jobs, and those that started in time.
type overloadResult struct {
	jobs, inTime  int
	decided, good map[overload.Class]int
}

// rate returns the share of a class that started in time.
func (r overloadResult) rate(class overload.Class) float64 {
	return float64(r.good[class]) / float64(max(1, r.decided[class]))
}

// waitingJob is a job that has not started.
type waitingJob struct {
	work  overload.Work
	class overload.Class
}

// Hosts of the overloaded pool, the time between two steps, and the jobs that arrive in a second.
const (
	overloadedHosts = 10.0
	overloadStep    = 50 * time.Millisecond
	overloadRate    = 30.0
)

// overloadedPool steps the decision for a pool whose hosts start work as soon as they are free.
type overloadedPool struct {
	random  *rand.Rand
	sizes   *overload.Sizes
	waiting []waitingJob
	// busy is what the hosts have started and not done, in host-seconds.
	busy   float64
	result overloadResult
}

// runOverload steps a pool for 20 seconds.
func runOverload(seed uint64, byCost bool) overloadResult {
	p := overloadedPool{
		random: rand.New(rand.NewPCG(seed, 11)), sizes: overload.New(overload.Config{}),
		result: overloadResult{decided: map[overload.Class]int{}, good: map[overload.Class]int{}},
	}
	for now := start; now.Before(start.Add(20 * time.Second)); now = now.Add(overloadStep) {
		for range poisson(p.random, overloadRate*overloadStep.Seconds()) {
			p.submit(now)
		}
		p.dropLate(now)
		p.start(p.deferred(byCost, now))
	}
	return p.result
}

// submit adds a job of random size and slack.
func (p *overloadedPool) submit(now time.Time) {
	size := 0.6 * min(12, max(0.1, p.random.ExpFloat64()*p.random.ExpFloat64()*1.6))
	slack := time.Duration((0.8 + p.random.Float64()) * float64(time.Second))
	class := p.sizes.Observe(size)
	p.waiting = append(p.waiting, waitingJob{class: class, work: overload.Work{
		Deadline: now.Add(slack), HostSeconds: size, Remaining: size, Value: p.sizes.Value(size),
	}})
}

// dropLate removes jobs that can no longer be in time.
func (p *overloadedPool) dropLate(now time.Time) {
	p.waiting = slices.DeleteFunc(p.waiting, func(j waitingJob) bool {
		isLate := j.work.Deadline.Before(now)
		if isLate {
			p.count(j, false)
		}
		return isLate
	})
	slices.SortFunc(p.waiting, func(a, b waitingJob) int { return a.work.Deadline.Compare(b.work.Deadline) })
}

// deferred returns which waiting jobs are deferred.
func (p *overloadedPool) deferred(byCost bool, now time.Time) []bool {
	if !byCost {
		return make([]bool, len(p.waiting))
	}
	works := make([]overload.Work, len(p.waiting))
	for i, j := range p.waiting {
		works[i] = j.work
		works[i].Protected = p.sizes.IsFavoured(j.class)
	}
	deferred, _ := overload.Defer(works, overload.Backlog{Hosts: overloadedHosts, HostSeconds: p.busy}, now)
	return deferred
}

// start starts waiting jobs, the deferred ones last, while the hosts have less than half a second of
// work.
func (p *overloadedPool) start(deferred []bool) {
	p.busy = max(0, p.busy-overloadedHosts*overloadStep.Seconds())
	var rest []waitingJob
	for _, wanted := range []bool{false, true} {
		for i, j := range p.waiting {
			switch {
			case deferred[i] != wanted:
			case p.busy > 0.5*overloadedHosts:
				rest = append(rest, j)
			default:
				p.busy += j.work.HostSeconds
				p.count(j, true)
			}
		}
	}
	p.waiting = rest
}

// count counts a job that started in time, or no longer can.
func (p *overloadedPool) count(j waitingJob, inTime bool) {
	p.sizes.Count(j.class, inTime)
	p.result.jobs++
	p.result.decided[j.class]++
	if inTime {
		p.result.inTime++
		p.result.good[j.class]++
	}
}

// poisson returns a random count with the given mean, which must be small.
func poisson(random *rand.Rand, mean float64) int {
	count := 0
	for sum := random.ExpFloat64(); sum < mean; sum += random.ExpFloat64() {
		count++
	}
	return count
}
