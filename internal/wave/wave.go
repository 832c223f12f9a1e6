// Package wave decides which hosts of a pool to take down for maintenance.
//
// A wave takes down as many hosts at once as possible while the pool can still
// carry its load after the additional loss of its largest remaining failure
// domain. Hosts that failed, in the wave or outside it, count as down. A wave
// begins with a few canary hosts and continues with more once canaries have come
// back. It stops when several of its hosts fail within a short time, because a
// fault of the maintenance itself would take down every host in turn.
//
// # Usage
//
// Step computes the next decision from the state of the pool. A Wave does no
// input or output and is not safe for concurrent use:
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

// View is the state of the pool at the time of a step.
type View struct {
	Hosts []Host
	// Need is the number of hosts required for the pool's load.
	Need int
	// BudgetLeft is the unspent fraction of the availability budget, 0 to 1.
	BudgetLeft float64
	// OtherPools holds the results of the same maintenance in other pools.
	OtherPools Results
}

// Results counts hosts by the result of their maintenance.
type Results struct {
	Done   int `json:"done"`
	Failed int `json:"failed"`
}

// Verdict is the kind of a Decision.
type Verdict string

// Verdicts of Step.
const (
	// Proceed: take down the hosts in Start, if any.
	Proceed Verdict = "go"
	// Hold: no host may be taken down now; the wave resumes automatically.
	Hold Verdict = "hold"
	// Stopped: hosts did not come back from maintenance. The wave resumes once
	// an operator resumes it, or the hosts are repaired and the cool-down ends.
	Stopped Verdict = "stopped"
	// Finished: no host is waiting for maintenance or under maintenance.
	Finished Verdict = "finished"
)

// Reasons of Hold and Stopped.
const (
	ReasonBudget     = "budget-spent"
	ReasonCapacity   = "no-spare-capacity"
	ReasonCorrelated = "failures-correlate"
	ReasonCanaries   = "canaries-failed"
)

// Decision is the result of Step.
type Decision struct {
	Verdict Verdict  `json:"verdict"`
	Reason  string   `json:"reason,omitempty"`
	Start   []string `json:"start,omitempty"`
	// Skipped lists the hosts that a finished wave did not maintain.
	Skipped []string `json:"left,omitempty"`
}

// Defaults of Config.
const (
	DefaultBudgetReserve = 0.1
	DefaultMaxFailures   = 2
	DefaultCoolDown      = 30 * time.Minute
	DefaultFailureWindow = time.Hour
)

// Config configures a Wave. Zero values take the defaults.
type Config struct {
	// Reserve is the kind of failure domain whose loss the pool must survive.
	Reserve Domain
	// BudgetReserve is the fraction of the availability budget that waves must
	// leave unspent.
	BudgetReserve float64
	// MaxFailures is the number of failures within FailureWindow that stops the
	// wave. Failures further apart are considered unrelated.
	MaxFailures   int
	FailureWindow time.Duration
	// RollOutTime is the deployment's weight of roll-out time, relative to the
	// mean of its weights. The default is 1.
	RollOutTime float64
	// Canaries is the maximum number of hosts under maintenance until some have
	// come back, in this pool or another. The default is MaxFailures, or more if
	// RollOutTime is above 1.
	Canaries int
	// CoolDown is how long the wave stays stopped after its failed hosts are
	// repaired.
	CoolDown time.Duration
}

// Wave is one round of maintenance over a pool.
type Wave struct {
	config Config
	// acknowledged holds the failed hosts at the time of an operator's Resume.
	acknowledged map[string]bool
	// failedAt holds the times of the failures that are not acknowledged.
	failedAt map[string]time.Time
	// recent lists the hosts that failed within the failure window, as of the
	// last step.
	recent []string
	// correlated holds the hosts whose failures stopped the wave.
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
		config: config, acknowledged: make(map[string]bool),
		failedAt: make(map[string]time.Time), correlated: make(map[string]bool),
	}
}

// Resume resumes a stopped wave on behalf of an operator. Hosts that have failed
// so far no longer count towards stopping the wave.
func (w *Wave) Resume(view View) {
	for _, host := range view.Hosts {
		if host.State == StateFailed {
			w.acknowledged[host.Name] = true
		}
	}
	clear(w.correlated)
	w.stoppedAt = time.Time{}
}

// Step decides which hosts to take down now.
func (w *Wave) Step(now time.Time, view View) Decision {
	if w.stopped(now, view) {
		return Decision{Verdict: Stopped, Reason: ReasonCorrelated}
	}
	pending, down := count(view.Hosts, StatePending), count(view.Hosts, StateDown)
	if pending == 0 && down == 0 {
		return Decision{Verdict: Finished, Skipped: skipped(view.Hosts)}
	}
	if pending == 0 {
		return Decision{Verdict: Proceed}
	}
	// Negated so that a budget of NaN also holds the wave.
	if !(view.BudgetLeft > w.config.BudgetReserve) {
		return Decision{Verdict: Hold, Reason: ReasonBudget}
	}
	start := w.chooseHosts(view)
	if len(start) == 0 && down == 0 {
		return Decision{Verdict: Hold, Reason: ReasonCapacity}
	}
	start = start[:min(len(start), w.startLimit(view, down))]
	if len(start) == 0 && down == 0 {
		return Decision{Verdict: Hold, Reason: ReasonCanaries}
	}
	return Decision{Verdict: Proceed, Start: start}
}

// startLimit returns the number of hosts that may be taken down now, given the
// results of the maintenance so far: any number once enough canaries have come
// back. Failed canaries are not replaced while others are under maintenance.
func (w *Wave) startLimit(view View, down int) int {
	required := min(w.config.Canaries, w.config.MaxFailures)
	if count(view.Hosts, StateDone)+view.OtherPools.Done >= required {
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

// stopped reports whether the wave must not take down any more hosts: too many
// of its hosts failed within the failure window, and some are still failed or
// the cool-down since their repair has not passed.
func (w *Wave) stopped(now time.Time, view View) bool {
	w.recordFailures(now, view)
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

// recordFailures records the time at which each host failed, and drops the hosts
// that are no longer failed.
func (w *Wave) recordFailures(now time.Time, view View) {
	for _, host := range view.Hosts {
		if host.State != StateFailed {
			delete(w.acknowledged, host.Name)
			delete(w.failedAt, host.Name)
			delete(w.correlated, host.Name)
			continue
		}
		if w.acknowledged[host.Name] {
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

// chooseHosts returns the hosts that can be taken down at once. Evacuated hosts come
// first, since they cost no capacity. It takes each other host from the domain with
// the most serving hosts, which keeps the largest domain as small as possible and so
// allows the most hosts.
func (w *Wave) chooseHosts(view View) []string {
	return append(evacuatedPending(view.Hosts), w.chooseServing(view)...)
}

// evacuatedPending returns the sorted names of the evacuated hosts that wait for
// maintenance.
func evacuatedPending(hosts []Host) []string {
	var names []string
	for _, host := range hosts {
		if host.Evacuated && host.State == StatePending {
			names = append(names, host.Name)
		}
	}
	slices.Sort(names)
	return names
}

// chooseServing returns the serving hosts that can be taken down at once.
func (w *Wave) chooseServing(view View) []string {
	byDomain := w.groupByDomain(view.Hosts)
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
		if serving-1-w.largestServing(byDomain) < view.Need {
			return start
		}
		serving--
		start = append(start, next.pending[0])
		next.pending = next.pending[1:]
	}
}

// largestServing returns the number of serving hosts in the largest domain,
// whose loss the pool must survive.
func (w *Wave) largestServing(domains []*domain) int {
	if w.config.Reserve == NoDomain {
		return 0
	}
	largestServing := 0
	for _, d := range domains {
		largestServing = max(largestServing, d.serving)
	}
	return largestServing
}

// domain is one failure domain of the pool.
type domain struct {
	name    string
	serving int
	pending []string
}

// groupByDomain returns the pool's failure domains, sorted by name.
func (w *Wave) groupByDomain(hosts []Host) []*domain {
	byName := make(map[string]*domain)
	var domains []*domain
	for _, host := range hosts {
		name := w.config.Reserve.domainName(host)
		d, ok := byName[name]
		if !ok {
			d = &domain{name: name}
			byName[name] = d
			domains = append(domains, d)
		}
		if host.serving() {
			d.serving++
		}
		if host.State == StatePending && !host.Evacuated {
			d.pending = append(d.pending, host.Name)
		}
	}
	slices.SortFunc(domains, func(a, b *domain) int { return strings.Compare(a.name, b.name) })
	for _, d := range domains {
		slices.Sort(d.pending)
	}
	return domains
}

// largestWithPending returns the domain with the most serving hosts among those
// with pending hosts, or nil if there are none.
func largestWithPending(domains []*domain) *domain {
	var best *domain
	for _, d := range domains {
		if len(d.pending) > 0 && (best == nil || d.serving > best.serving) {
			best = d
		}
	}
	return best
}

// count returns the number of hosts in a state.
func count(hosts []Host, state State) int {
	n := 0
	for _, host := range hosts {
		if host.State == state {
			n++
		}
	}
	return n
}

// skipped returns the sorted names of the hosts that were not maintained.
func skipped(hosts []Host) []string {
	var names []string
	for _, host := range hosts {
		if host.State == StateFailed || host.State == StateLost {
			names = append(names, host.Name)
		}
	}
	slices.Sort(names)
	return names
}
