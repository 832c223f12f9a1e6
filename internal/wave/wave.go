// Package wave decides which hosts of a pool to take down for maintenance.
//
// A wave takes down as many hosts at once as leaves the pool able to carry its
// load even when its largest remaining failure domain is lost on top. Hosts
// that failed, in the wave or outside it, count as down. A wave begins with a
// few hosts and opens up when they came back. It stops when several of its hosts
// fail within a short time, because a fault of the maintenance itself would take
// down every host in turn.
//
// # Usage
//
// A Wave is stepped with the state of its pool; it does no input or output and
// is not safe for concurrent use:
//
//	w := wave.New(wave.Config{Reserve: wave.Rack})
//	decision := w.Step(now, wave.View{Hosts: hosts, Need: 6, BudgetLeft: 0.8})
//	for _, name := range decision.Start {
//		// drain the host, reboot it, and report it as StateDown meanwhile
//	}
package wave

import (
	"math"
	"slices"
	"strings"
	"time"
)

// View is the state of the pool at one moment.
type View struct {
	Hosts []Host
	// Need is the number of hosts that carry the pool's load.
	Need int
	// BudgetLeft is the part of the availability budget that is not spent, 0 to 1.
	BudgetLeft float64
	// Elsewhere is how the same maintenance went in other pools.
	OtherPools Results
}

// Results counts hosts by how their maintenance ended.
type Results struct {
	Done   int `json:"done"`
	Failed int `json:"failed"`
}

// Verdict says how a wave goes on.
type Verdict string

// Verdicts of Step.
const (
	// Go: take down the hosts of Start, if any.
	Proceed Verdict = "go"
	// Hold: nothing may be taken down now; the wave goes on by itself.
	Hold Verdict = "hold"
	// Stopped: hosts did not come back; an operator or the cool-down resumes.
	Stopped Verdict = "stopped"
	// Finished: no host waits for maintenance or is in it.
	Finished Verdict = "finished"
)

// Reasons of Hold and Stopped.
const (
	ReasonBudget     = "budget-spent"
	ReasonCapacity   = "no-spare-capacity"
	ReasonCorrelated = "failures-correlate"
	ReasonCanaries   = "canaries-failed"
)

// Decision is what to do now.
type Decision struct {
	Verdict Verdict  `json:"verdict"`
	Reason  string   `json:"reason,omitempty"`
	Start   []string `json:"start,omitempty"`
	// Left are the hosts that a finished wave did not maintain.
	Skipped []string `json:"left,omitempty"`
}

// Defaults of Config.
const (
	DefaultBudgetReserve = 0.1
	DefaultMaxFailures   = 2
	DefaultCoolDown      = 30 * time.Minute
	DefaultFailureWindow = time.Hour
)

// Config constructs a Wave; zero values take the defaults.
type Config struct {
	// Reserve is the failure domain whose loss the pool must survive.
	Reserve Domain
	// BudgetReserve is the part of the availability budget that waves leave.
	BudgetReserve float64
	// MaxFailures is the number of failures within FailureWindow that stops the
	// wave. Hosts that fail further apart do so by themselves.
	MaxFailures   int
	FailureWindow time.Duration
	// RollOutTime is the deployment's weight of roll-out time over the mean of
	// its weights, 1 by default.
	RollOutTime float64
	// Canaries is the number of hosts in maintenance at most until some came
	// back, here or elsewhere: MaxFailures by default, more as roll-out time
	// weighs more than the other measures.
	Canaries int
	// CoolDown is how long the wave stays stopped once its failed hosts are
	// repaired.
	CoolDown time.Duration
}

// Wave is one round of maintenance over a pool.
type Wave struct {
	config Config
	// excused holds failures that an operator has looked at.
	excused map[string]bool
	// failedAt is when the hosts that failed did so.
	failedAt map[string]time.Time
	// recent are the failures within the window, at the last step.
	recent []string
	// correlated holds the failures that stopped the wave.
	correlated map[string]bool
	stoppedAt  time.Time
}

// New returns a wave that has not begun.
func New(config Config) *Wave {
	if config.Reserve == "" {
		config.Reserve = Rack
	}
	if config.BudgetReserve == 0 {
		config.BudgetReserve = DefaultBudgetReserve
	}
	if config.MaxFailures == 0 {
		config.MaxFailures = DefaultMaxFailures
	}
	if config.CoolDown == 0 {
		config.CoolDown = DefaultCoolDown
	}
	if config.FailureWindow == 0 {
		config.FailureWindow = DefaultFailureWindow
	}
	if config.Canaries == 0 {
		config.Canaries = int(math.Ceil(float64(config.MaxFailures) * max(1, config.RollOutTime)))
	}
	return &Wave{
		config: config, excused: make(map[string]bool),
		failedAt: make(map[string]time.Time), correlated: make(map[string]bool),
	}
}

// Resume lets a stopped wave go on, at an operator's word: the hosts that
// failed so far no longer count towards stopping.
func (w *Wave) Resume(view View) {
	for _, host := range view.Hosts {
		if host.State == StateFailed {
			w.excused[host.Name] = true
		}
	}
	clear(w.correlated)
	w.stoppedAt = time.Time{}
}

// Step decides what to do now.
func (w *Wave) Step(now time.Time, view View) Decision {
	if w.stopped(now, view) {
		return Decision{Verdict: Stopped, Reason: ReasonCorrelated}
	}
	pending, down := count(view.Hosts, StatePending), count(view.Hosts, StateDown)
	if pending == 0 && down == 0 {
		return Decision{Verdict: Finished, Skipped: left(view.Hosts)}
	}
	if pending == 0 {
		return Decision{Verdict: Proceed}
	}
	// The negation holds too when the budget is not a number.
	if !(view.BudgetLeft > w.config.BudgetReserve) {
		return Decision{Verdict: Hold, Reason: ReasonBudget}
	}
	start := w.choose(view)
	if len(start) == 0 && down == 0 {
		return Decision{Verdict: Hold, Reason: ReasonCapacity}
	}
	start = start[:min(len(start), w.allowed(view, down))]
	if len(start) == 0 && down == 0 {
		return Decision{Verdict: Hold, Reason: ReasonCanaries}
	}
	return Decision{Verdict: Proceed, Start: start}
}

// allowed is the number of hosts that may be taken down by what earlier ones
// have proven. Failed canaries are not replaced while others are under way.
func (w *Wave) allowed(view View, down int) int {
	proof := min(w.config.Canaries, w.config.MaxFailures)
	if count(view.Hosts, StateDone)+view.OtherPools.Done >= proof {
		return len(view.Hosts)
	}
	failed := len(w.recent)
	if failed+view.OtherPools.Failed >= w.config.MaxFailures {
		return 0
	}
	if down == 0 {
		return max(1, w.config.Canaries-failed)
	}
	return max(0, w.config.Canaries-down-failed)
}

// stopped reports whether the wave must not take down any more: too many of
// its hosts failed within a short time, and still do or did so less than the
// cool-down ago.
func (w *Wave) stopped(now time.Time, view View) bool {
	w.takeFailures(now, view)
	w.recent = w.recent[:0]
	for name, at := range w.failedAt {
		if now.Sub(at) <= w.config.FailureWindow {
			w.recent = append(w.recent, name)
		}
	}
	if len(w.recent) >= w.config.MaxFailures {
		for _, name := range w.recent {
			w.correlated[name] = true
		}
	}
	if len(w.correlated) > 0 {
		w.stoppedAt = now
	}
	return !w.stoppedAt.IsZero() && now.Sub(w.stoppedAt) < w.config.CoolDown
}

// takeFailures notes which hosts failed when, and forgets those that serve again.
func (w *Wave) takeFailures(now time.Time, view View) {
	for _, host := range view.Hosts {
		if host.State != StateFailed {
			delete(w.excused, host.Name)
			delete(w.failedAt, host.Name)
			delete(w.correlated, host.Name)
			continue
		}
		if w.excused[host.Name] {
			delete(w.failedAt, host.Name)
			continue
		}
		if _, known := w.failedAt[host.Name]; known {
			continue
		}
		w.failedAt[host.Name] = host.Since
		if host.Since.IsZero() {
			w.failedAt[host.Name] = now
		}
	}
}

// choose returns the hosts to take down: each time one of the domain with the
// most serving hosts, which leaves the smallest largest domain and so lets the
// most hosts go at once.
func (w *Wave) choose(view View) []string {
	byDomain := w.group(view.Hosts)
	serving := 0
	for _, d := range byDomain {
		serving += d.serving
	}
	var start []string
	for {
		next := largestWithPending(byDomain)
		if next == nil {
			return start
		}
		next.serving--
		if serving-1-w.largest(byDomain) < view.Need {
			return start
		}
		serving--
		start = append(start, next.pending[0])
		next.pending = next.pending[1:]
	}
}

// largest returns the serving hosts of the largest domain, whose loss the pool
// must survive.
func (w *Wave) largest(domains []*domain) int {
	if w.config.Reserve == NoDomain {
		return 0
	}
	largest := 0
	for _, d := range domains {
		largest = max(largest, d.serving)
	}
	return largest
}

// domain is one failure domain of the pool.
type domain struct {
	name    string
	serving int
	pending []string
}

// group returns the pool's domains in order of name.
func (w *Wave) group(hosts []Host) []*domain {
	byName := make(map[string]*domain)
	var domains []*domain
	for _, host := range hosts {
		name := w.config.Reserve.of(host)
		d, ok := byName[name]
		if !ok {
			d = &domain{name: name}
			byName[name] = d
			domains = append(domains, d)
		}
		if host.State.serving() {
			d.serving++
		}
		if host.State == StatePending {
			d.pending = append(d.pending, host.Name)
		}
	}
	slices.SortFunc(domains, func(a, b *domain) int { return strings.Compare(a.name, b.name) })
	for _, d := range domains {
		slices.Sort(d.pending)
	}
	return domains
}

// largestWithPending returns the domain with the most serving hosts among
// those with hosts that wait, nil when none waits.
func largestWithPending(domains []*domain) *domain {
	var best *domain
	for _, d := range domains {
		if len(d.pending) > 0 && (best == nil || d.serving > best.serving) {
			best = d
		}
	}
	return best
}

// count returns the hosts in a state.
func count(hosts []Host, state State) int {
	n := 0
	for _, host := range hosts {
		if host.State == state {
			n++
		}
	}
	return n
}

// left returns the hosts that were not maintained.
func left(hosts []Host) []string {
	var names []string
	for _, host := range hosts {
		if host.State == StateFailed || host.State == StateLost {
			names = append(names, host.Name)
		}
	}
	slices.Sort(names)
	return names
}
