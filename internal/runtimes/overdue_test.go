package runtimes

import (
	"math/rand/v2"
	"testing"
	"time"
)

const (
	// checkInterval is the time between two decisions, reportInterval that between reports.
	checkInterval  = 200 * time.Millisecond
	reportInterval = 600 * time.Millisecond
)

// testRun is a run in a slot of a test endpoint.
type testRun struct {
	estimate, whole, done time.Duration
	isLong                bool
	startedAt             time.Time
	usual, limit          time.Duration
	activity              Activity
}

// signs says which of the reported figures tell whether a run works.
type signs struct {
	// speed is true if the reported speed is the run's, and not always full speed.
	speed bool
	// cpu is true if the CPU usage is the run's, and not always that of a run that works.
	cpu bool
	// noCPU is true if the CPU usage is not reported.
	noCPU bool
}

// testEndpoint executes runs at a fraction of full speed.
type testEndpoint struct {
	speed       float64
	signs       signs
	slots       []*testRun
	slowness    Slowness
	workedAt    time.Time
	endedAt     time.Time
	reportedAt  time.Time
	reportsWork bool
	// stopped counts the runs that were stopped since endedAt.
	stopped int
}

// report lets the endpoint report on its runs.
func (e *testEndpoint) report(now time.Time) {
	e.reportedAt = now
	for _, r := range e.slots {
		percent, used := 100, int64(1000)
		if e.signs.speed {
			percent = int(100 * e.speed)
		}
		if e.signs.cpu {
			used = int64(1000 * e.speed)
		}
		if e.signs.noCPU {
			used = 0
		}
		r.activity.Report(now, percent, used, false)
		e.reportsWork = e.reportsWork || used > 0
		if r.activity.WorkedAt().Equal(now) {
			e.workedAt = now
		}
	}
}

// known returns what the leader knows of a run.
func (e *testEndpoint) known(r *testRun, now time.Time) Run {
	idleSince := func(at time.Time) time.Duration {
		if at.Before(r.startedAt) {
			at = r.startedAt
		}
		return max(0, e.reportedAt.Sub(at))
	}
	overdue := 0
	for _, other := range e.slots {
		if other != r && now.Sub(other.startedAt) > other.limit {
			overdue++
		}
	}
	return Run{
		Age: now.Sub(r.startedAt), Usual: r.usual, Limit: r.limit, Slowness: e.slowness.Factor(),
		Idle: idleSince(r.activity.WorkedAt()), EndpointIdle: min(idleSince(e.workedAt), idleSince(e.endedAt)), SinceEnd: idleSince(e.endedAt),
		ReportsWork: e.reportsWork, OverdueBeside: e.stopped + overdue,
	}
}

// overdueOutcome counts runs by what became of them, on sound, slow and standing endpoints.
type overdueOutcome struct {
	// long counts long tasks that ended on sound endpoints.
	ended, long                            int
	soundStopped, soundLongStopped         int
	slowStopped, standingStopped, standing int
	// longestStanding is the largest age of a run on a standing endpoint, as a multiple of
	// its limit.
	longestStanding float64
}

// overdueDay runs random tasks on 20 endpoints with some slots each, of which the first stands
// still and the second runs at a quarter of the speed.
type overdueDay struct {
	noise float64
	signs signs
	slots int
	model *Model
	tasks mixture
	// knowsSiblings is true if other tasks of each step have completed.
	knowsSiblings bool
	// maxStanding is the age to which a run may stand still, as a multiple of its limit, on an
	// endpoint whose reports show that as work, or 0 if none may exceed its limit.
	maxStanding float64
	outcome     overdueOutcome
}

// start returns a new run.
func (d *overdueDay) start(now time.Time) *testRun {
	estimate, whole, isLong := d.tasks.draw()
	r := &testRun{estimate: estimate, whole: whole, isLong: isLong, startedAt: now}
	var siblings []time.Duration
	if d.knowsSiblings {
		usual := whole
		if isLong {
			usual /= longFactor
		}
		siblings = []time.Duration{usual, usual, usual}
	}
	r.usual, r.limit = Expectation(d.model.Median(estimate), siblings)
	return r
}

// run runs the endpoints for a time.
func (d *overdueDay) run(length time.Duration) {
	now := time.Unix(1000, 0)
	var endpoints []*testEndpoint
	for i := range 20 {
		e := &testEndpoint{speed: 1, signs: d.signs}
		if i < 2 {
			e.speed = 0.25 * float64(i)
		}
		for range d.slots {
			e.slots = append(e.slots, d.start(now))
		}
		endpoints = append(endpoints, e)
	}
	for passed := time.Duration(0); passed < length; passed += checkInterval {
		now = now.Add(checkInterval)
		for _, e := range endpoints {
			d.advance(e, now)
			if passed%reportInterval == 0 {
				e.report(now)
			}
			d.decide(e, now)
		}
	}
}

// advance lets the runs of an endpoint work for an interval.
func (d *overdueDay) advance(e *testEndpoint, now time.Time) {
	for slot, r := range e.slots {
		r.done += scale(checkInterval, e.speed)
		if r.done < r.whole {
			continue
		}
		took := now.Sub(r.startedAt)
		e.slowness.Observe(d.model.ObserveRatio(r.estimate, took))
		d.model.Observe(r.estimate, took)
		e.endedAt, e.stopped = now, 0
		d.outcome.ended++
		if r.isLong && e.speed == 1 {
			d.outcome.long++
		}
		e.slots[slot] = d.start(now)
	}
}

// decide stops the runs of an endpoint that are to be stopped.
func (d *overdueDay) decide(e *testEndpoint, now time.Time) {
	for slot, r := range e.slots {
		known := e.known(r, now)
		isStopped := d.model.Decide(known).Action == Stop
		if e.speed == 0 {
			d.outcome.longestStanding = max(d.outcome.longestStanding, known.Age.Seconds()/known.Limit.Seconds())
		}
		if !isStopped {
			if e.speed == 0 && known.Age > known.Limit {
				d.outcome.standing++
			}
			continue
		}
		d.count(e, r)
		e.stopped++
		e.slots[slot] = d.start(now)
	}
}

// count counts a run that is stopped.
func (d *overdueDay) count(e *testEndpoint, r *testRun) {
	switch {
	case e.speed == 0:
		d.outcome.standingStopped++
	case e.speed < 1:
		d.outcome.slowStopped++
	case r.isLong:
		d.outcome.soundLongStopped++
	default:
		d.outcome.soundStopped++
	}
}

// Guards against runs that are discarded since their task is long by itself, and against
// runs that stay on an endpoint that stands still for longer than a fixed limit allows.
func TestLongTasksAreKept(t *testing.T) {
	const busy, few = 6, 3
	truthful, fullSpeed, noCPU := signs{speed: true, cpu: true}, signs{cpu: true}, signs{noCPU: true}
	tests := map[string]overdueDay{
		"accurate estimates":               {noise: 0.2, slots: busy, signs: truthful},
		"inaccurate estimates":             {noise: 0.9, slots: busy, signs: truthful},
		"accurate estimates, siblings":     {noise: 0.2, slots: busy, signs: truthful, knowsSiblings: true},
		"inaccurate estimates, siblings":   {noise: 0.9, slots: busy, signs: truthful, knowsSiblings: true},
		"three runs, siblings":             {noise: 0.2, slots: few, signs: truthful, knowsSiblings: true},
		"three runs, inaccurate, siblings": {noise: 0.9, slots: few, signs: truthful, knowsSiblings: true},
		"one run":                          {noise: 0.2, slots: 1, signs: truthful},
		"one run, inaccurate, siblings":    {noise: 0.9, slots: 1, signs: truthful, knowsSiblings: true},
		"full speed reported":              {noise: 0.2, slots: busy, signs: fullSpeed},
		"full speed, inaccurate, siblings": {noise: 0.9, slots: busy, signs: fullSpeed, knowsSiblings: true},
		"CPU usage not reported":           {noise: 0.2, slots: busy, signs: noCPU},
		"no CPU usage, inaccurate":         {noise: 0.9, slots: busy, signs: noCPU},
		"work reported, accurate":          {noise: 0.2, slots: busy, maxStanding: 4},
		"work reported, inaccurate":        {noise: 0.9, slots: busy, maxStanding: 4, knowsSiblings: true},
		"work reported, three runs":        {noise: 0.2, slots: few, maxStanding: 4, knowsSiblings: true},
	}
	for name, day := range tests {
		t.Run(name, func(t *testing.T) {
			day.model = New(Config{})
			day.tasks = mixture{random: rand.New(rand.NewPCG(7, 8)), noise: day.noise}
			day.run(15 * time.Minute / time.Duration(day.slots))
			got := day.outcome
			t.Logf("%+v", got)
			if got.long < 300 {
				t.Errorf("long tasks on sound endpoints: got %d, want at least 300", got.long)
			}
			if got.soundStopped != 0 || got.soundLongStopped != 0 {
				t.Errorf("runs stopped on sound endpoints: got %d long and %d others, want none", got.soundLongStopped, got.soundStopped)
			}
			if got.standingStopped == 0 || got.standing != 0 && day.maxStanding == 0 || day.maxStanding > 0 && got.longestStanding > day.maxStanding {
				t.Errorf("runs on the endpoint that stands still: got %d stopped, and %d times one left beyond the limit, for at most %.1f times that; want all stopped", got.standingStopped, got.standing, got.longestStanding)
			}
		})
	}
}

// Guards against runs that are stopped without evidence against their endpoint, or shortly
// before their end, and against evidence that is overlooked.
func TestDecide(t *testing.T) {
	sound := Run{Age: 4 * time.Second, Usual: time.Second, Limit: 3 * time.Second, Slowness: 1, ReportsWork: true}
	with := func(change func(r *Run)) Run {
		r := sound
		change(&r)
		return r
	}
	tests := map[string]struct {
		run  Run
		want Action
	}{
		"long by itself":        {run: sound, want: Keep},
		"slow, starts":          {run: with(func(r *Run) { r.Slowness = 8 }), want: Stop},
		"slow, not worth it":    {run: with(func(r *Run) { r.Slowness = 1.6 }), want: Keep},
		"slow, not overdue":     {run: with(func(r *Run) { r.Slowness, r.Age = 8, time.Second }), want: Keep},
		"endpoint stands still": {run: with(func(r *Run) { r.EndpointIdle = 2 * time.Second }), want: Stop},
		"waits for a moment":    {run: with(func(r *Run) { r.EndpointIdle = time.Second }), want: Keep},
		"not overdue yet":       {run: with(func(r *Run) { r.EndpointIdle, r.Age = 2*time.Second, 2*time.Second }), want: Keep},
		"run stands still":      {run: with(func(r *Run) { r.Idle = 3 * time.Second }), want: Stop},
		"work is not reported":  {run: with(func(r *Run) { r.Idle, r.ReportsWork = 3*time.Second, false }), want: Keep},
		"none ends":             {run: with(func(r *Run) { r.SinceEnd, r.OverdueBeside = 20*time.Second, 2 }), want: Stop},
		"two long ones":         {run: with(func(r *Run) { r.SinceEnd, r.OverdueBeside = 20*time.Second, 1 }), want: Keep},
		"stands still unseen":   {run: with(func(r *Run) { r.Age = 5 * time.Minute }), want: Stop},
		"copy beyond the limit": {run: with(func(r *Run) { r.IsSpeculative = true }), want: Copy},
		"copy of a slow run":    {run: with(func(r *Run) { r.IsSpeculative, r.Age, r.Slowness = true, 2*time.Second, 5 }), want: Copy},
		"no copy of a long run": {run: with(func(r *Run) { r.IsSpeculative, r.Age = true, 2*time.Second }), want: Keep},
		"copy about to end":     {run: with(func(r *Run) { r.IsSpeculative, r.Age = true, 8*time.Second }), want: Keep},
		"copy not due":          {run: with(func(r *Run) { r.IsSpeculative, r.Age = true, time.Second }), want: Keep},
		"copy of a still run":   {run: with(func(r *Run) { r.IsSpeculative, r.Age, r.EndpointIdle = true, 8*time.Second, 8*time.Second }), want: Copy},
	}
	model, _ := observedMixture(0.2, 4000)
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			if got := model.Decide(c.run); got.Action != c.want {
				t.Errorf("decision: got %+v, want %s", got, c.want)
			}
		})
	}
}
