package control

import (
	"fmt"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/lovagedyke/lovagedyke/internal/fleet"
)

// workLogInterval is the time between two logs of a leader's work.
const workLogInterval = time.Second

// part is a kind of work that is done under the leader's lock.
type part int

const (
	// partDecisions are scheduling steps.
	partDecisions part = iota
	// partOrders are the checks of orders before they are sent, and their replies.
	partOrders
	// partReports are lease renewals and the reports of endpoints.
	partReports
	// partHostChanges are the checks of host changes before they are sent, and their replies.
	partHostChanges
	// partBatches are batches of rows to write, and their results.
	partBatches
	// partLists are the lists of endpoints and of hosts.
	partLists
	// partJobs are new jobs, cancels and lookups.
	partJobs
	// partOther is everything else.
	partOther

	partCount
)

var partNames = [partCount]string{"decisions", "orders", "reports", "host-changes", "batches", "lists", "jobs", "other"}

// work measures what a leader spends its time on. The time of a part is elapsed time under the
// lock; what a process uses beyond all parts goes into messages, logs and the runtime. It is
// guarded by the term's lock.
type work struct {
	parts     [partCount]workPart
	startWait *metrics.Histogram
	hostWait  *metrics.Histogram
	lockWait  *metrics.Histogram
	// loggedAt is when the work was last logged, and cpuThen and effortThen the processor time of the
	// process and the operations of decisions then.
	loggedAt   time.Time
	cpuThen    time.Duration
	effortThen fleet.Effort
	// Since then: the longest waits for the lock, of starts and of host changes between a decision
	// and their sending, and how many of each were sent.
	maxLockWait, maxStartWait, maxHostWait time.Duration
	starts, hostChanges                    int
}

// workPart is one part of the work.
type workPart struct {
	seconds *metrics.FloatCounter
	// count and took are those since the work was last logged.
	count int
	took  time.Duration
}

func newWork(now time.Time) work {
	w := work{
		startWait: metrics.GetOrCreateHistogram(`leader_order_wait_seconds{kind="start"}`),
		hostWait:  metrics.GetOrCreateHistogram(`leader_order_wait_seconds{kind="host-change"}`),
		lockWait:  metrics.GetOrCreateHistogram("leader_lock_wait_seconds"),
		loggedAt:  now, cpuThen: processorTime(),
	}
	for p := range partCount {
		w.parts[p].seconds = metrics.GetOrCreateFloatCounter(fmt.Sprintf("leader_work_seconds_total{part=%q}", partNames[p]))
	}
	return w
}

// add adds the time of one piece of work, which has waited for the lock before.
func (w *work) add(p part, waited, took time.Duration) {
	w.parts[p].count++
	w.parts[p].took += took
	w.parts[p].seconds.Add(took.Seconds())
	w.lockWait.Update(waited.Seconds())
	w.maxLockWait = max(w.maxLockWait, waited)
}

// startSent notes for how long a start has waited since it was decided.
func (w *work) startSent(waited time.Duration) {
	w.starts++
	w.startWait.Update(waited.Seconds())
	w.maxStartWait = max(w.maxStartWait, waited)
}

// hostChangeSent notes for how long a host change has waited since it was decided.
func (w *work) hostChangeSent(waited time.Duration) {
	w.hostChanges++
	w.hostWait.Update(waited.Seconds())
	w.maxHostWait = max(w.maxHostWait, waited)
}

// log logs the work since the last call, once per workLogInterval.
func (w *work) log(journal Journal, effort fleet.Effort, unsent int, now time.Time) {
	interval := now.Sub(w.loggedAt)
	if interval < workLogInterval {
		return
	}
	cpu, operations := processorTime(), effort.Minus(w.effortThen)
	fields := []any{
		"interval", milliseconds(interval), "processor", milliseconds(cpu - w.cpuThen), "steps", w.parts[partDecisions].count,
		"starts", w.starts, "unsent-starts", unsent, "reports", w.parts[partReports].count, "host-changes-sent", w.hostChanges,
		"start-wait", milliseconds(w.maxStartWait), "host-change-wait", milliseconds(w.maxHostWait), "lock-wait", milliseconds(w.maxLockWait),
		"forecasts", operations.Forecasts, "compared", operations.Compared, "visited", operations.Visited,
	}
	for p := range partCount {
		fields = append(fields, "time-"+partNames[p], milliseconds(w.parts[p].took))
		w.parts[p].count, w.parts[p].took = 0, 0
	}
	journal.Info("leader work", fields...)
	w.loggedAt, w.cpuThen, w.effortThen = now, cpu, effort
	w.maxLockWait, w.maxStartWait, w.maxHostWait, w.starts, w.hostChanges = 0, 0, 0, 0, 0
}

func milliseconds(d time.Duration) string {
	return d.Round(time.Millisecond).String()
}

// processorTime returns the processor time that this process has used, or 0 if the system does
// not say.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
