package fleet

import (
	"cmp"
	"slices"
	"time"

	"github.com/lovagedyke/lovagedyke/internal/admission"
	"github.com/lovagedyke/lovagedyke/internal/job"
	"github.com/lovagedyke/lovagedyke/internal/policy"
)

const (
	// outlookInterval is the shortest time between two computations of the outlook, each of
	// which ranks all waiting work once more. Processes ask for it every 250 ms or less often.
	outlookInterval = 200 * time.Millisecond
	// shortageGap is for how long a shortage may be interrupted and count as the same one:
	// hosts arrive one by one, and jobs in bursts.
	shortageGap = time.Second
	// shortageLineInterval is the time between two log lines about a pool that is short.
	shortageLineInterval = time.Second
	// maxOutlookPriorities bounds the priorities that an outlook distinguishes.
	maxOutlookPriorities = 16
)

// outlookState is the newest outlook and what it is derived from.
type outlookState struct {
	current    admission.Outlook
	computedAt time.Time
	shortages  map[string]*shortage
	// hostSize is the mean size of a host, or zero.
	hostSize policy.Resources
	starts   map[string]*startRate
}

// shortage is the time in which a pool has been short.
type shortage struct {
	since, lastSeenAt, loggedAt time.Time
}

// Outlook returns what new jobs have to expect. It is empty unless a pool is short: its
// waiting work that can be in time exceeds what its hosts can start before the latest
// start times.
func (l *Leader) Outlook(now time.Time) admission.Outlook {
	if !l.outlook.computedAt.IsZero() && now.Sub(l.outlook.computedAt) < outlookInterval {
		return l.outlook.current
	}
	l.outlook.computedAt = now
	l.outlook.current = admission.Outlook{Pools: l.poolOutlooks(now)}
	l.outlook.current.UnavailableLabels, l.outlook.current.NoDataCentre = l.unavailableLabels()
	if len(l.outlook.current.Pools) > 0 {
		l.outlook.current.AccountsBeyondShare = l.accountsBeyondShare(now)
	}
	return l.outlook.current
}

// unavailableLabels returns the labels that only evacuated endpoints carry, and whether all data
// centres are evacuated. Neither is known before the hosts have been read: they tell the data centres
// of endpoints whose rows name none, and spare ones can be moved into a pool.
func (l *Leader) unavailableLabels() (labels []string, noDataCentre bool) {
	if len(l.evacuations.byDataCentre) == 0 || !l.hosts.isLoaded {
		return nil, false
	}
	evacuated, open := map[string]bool{}, map[string]bool{}
	noDataCentre = true
	for _, e := range l.endpointList {
		if !e.listed || e.gone {
			continue
		}
		carried := open
		if l.isEvacuated(e) {
			carried = evacuated
		} else {
			noDataCentre = false
		}
		for _, label := range e.row.Labels {
			carried[label] = true
		}
	}
	for _, h := range l.hosts.list {
		// A host in the spare pool has no endpoint, and can be moved into a pool.
		if h.listed && h.row.State != HostDown && !l.isHostEvacuated(h) {
			noDataCentre = false
			for _, label := range h.row.Labels {
				open[label] = true
			}
		}
	}
	for label := range evacuated {
		if !open[label] {
			labels = append(labels, label)
		}
	}
	slices.Sort(labels)
	return labels, noDataCentre && len(l.endpoints) > 0
}

// poolOutlooks returns the outlooks of the pools that are short. A leader that does not
// know all runs yet starts no inherited task, and knows neither its capacity nor its load.
func (l *Leader) poolOutlooks(now time.Time) map[string]admission.PoolOutlook {
	waiting := map[string]*waitingWork{}
	l.outlook.hostSize = l.meanHost
	l.visit(len(l.live))
	for _, j := range l.live {
		l.addWaiting(waiting, j, now)
	}
	if len(waiting) == 0 {
		return nil
	}
	unknown := l.findUnknownRuns(now)
	if unknown.isAnywhere {
		return nil
	}
	capacity, free := l.poolCapacities(now), l.freeCores(now)
	var pools map[string]admission.PoolOutlook
	for pool, work := range waiting {
		cores := capacity[pool]
		if unknown.inPools[pool] != "" || !work.exceeds(cores, free[pool], now) {
			continue
		}
		if pools == nil {
			pools = map[string]admission.PoolOutlook{}
		}
		short := l.noteShortage(pool, now)
		outlook := work.outlook(cores, l.inflowWithinShares(pool, now), now.Sub(short.since))
		if rate := l.outlook.starts[pool]; rate != nil && outlook.ShortFor >= startRateWindow {
			work.addWaits(&outlook, rate, now.Sub(l.config.Now))
		}
		pools[pool] = outlook
		l.logShortPool(short, pool, pools[pool], now)
	}
	return pools
}

// noteShortage records that a pool is short now.
func (l *Leader) noteShortage(pool string, now time.Time) *shortage {
	if l.outlook.shortages == nil {
		l.outlook.shortages = map[string]*shortage{}
	}
	short := l.outlook.shortages[pool]
	if short == nil || now.Sub(short.lastSeenAt) > shortageGap {
		short = &shortage{since: now}
		l.outlook.shortages[pool] = short
	}
	short.lastSeenAt = now
	return short
}

// logShortPool periodically logs the work of a pool that is short.
func (l *Leader) logShortPool(short *shortage, pool string, outlook admission.PoolOutlook, now time.Time) {
	if now.Sub(short.loggedAt) < shortageLineInterval {
		return
	}
	short.loggedAt = now
	l.log("pool is short", append([]any{"pool", pool}, outlook.Fields()...)...)
}

// waitingStep is the waiting work of a step that can be in time.
type waitingStep struct {
	latestStart time.Time
	// cores is what its tasks need together, coreSeconds their work.
	cores, coreSeconds float64
}

// waitingWork is the work that waits in a pool, in core-seconds by priority.
type waitingWork struct {
	inTime []waitingStep
	// all includes what is too late.
	all, onTime, late, beyond, beyondLate [maxOutlookPriorities]float64
	// coresOnTime and coresBeyond are what the tasks need together that can be in time, within
	// shares and beyond them.
	coresOnTime, coresBeyond [maxOutlookPriorities]float64
	// priorities is one more than the lowest priority of the work.
	priorities int
}

// addWaiting adds the work of a job whose tasks wait for capacity.
func (l *Leader) addWaiting(waiting map[string]*waitingWork, j *jobState, now time.Time) {
	hasLaterWork := true
	for _, step := range j.steps {
		if len(step.pending) == 0 || step.step.Persistent || !l.underCap(j.submission.Account, step.step.Resources, 1) {
			continue
		}
		pool := l.poolOf(j)
		work := waiting[pool]
		if work == nil {
			work = &waitingWork{}
			waiting[pool] = work
		}
		cores, coreSeconds := l.workOf(j, step.step, len(step.pending))
		rank := l.rankOf(j, step, now)
		if rank.lateness == onTime {
			work.inTime = append(work.inTime, waitingStep{latestStart: rank.latestStart, cores: cores, coreSeconds: coreSeconds})
		}
		if hasLaterWork {
			// The steps that depend on the waiting ones take the same capacity.
			coreSeconds += l.laterWork(j, step.key.Occurrence)
			hasLaterWork = false
		}
		work.add(rank, cores, coreSeconds)
	}
}

// add adds work of a rank.
func (w *waitingWork) add(r rank, cores, coreSeconds float64) {
	priority := min(max(0, r.priority), maxOutlookPriorities-1)
	w.priorities = max(w.priorities, priority+1)
	w.all[priority] += coreSeconds
	switch {
	case r.lateness == tooLate:
	case r.beyondShare && r.lateness == late:
		w.beyondLate[priority] += coreSeconds
	case r.beyondShare:
		w.beyond[priority] += coreSeconds
		w.coresBeyond[priority] += cores
	case r.lateness == late:
		w.late[priority] += coreSeconds
	default:
		w.onTime[priority] += coreSeconds
		w.coresOnTime[priority] += cores
	}
}

// workOf returns how many cores a number of a step's tasks need together, and their
// expected work. Memory counts as the cores that hosts have with it.
func (l *Leader) workOf(j *jobState, step job.Step, count int) (cores, coreSeconds float64) {
	cores = l.coresOf(step.Reserved()) * float64(count)
	return cores, cores * l.durationsOf(j.submission.Queue).Mean(step.Estimate).Seconds()
}

// laterWork returns the work of an occurrence's steps that are not ready yet.
func (l *Leader) laterWork(j *jobState, occurrence int) float64 {
	sum := 0.0
	for number, step := range j.submission.Steps {
		key := job.StepKey{Occurrence: occurrence, Step: number}
		if step.Persistent || j.steps[key] != nil || j.progress.StepDone(j.submission, key) {
			continue
		}
		_, coreSeconds := l.workOf(j, step, step.Count)
		sum += coreSeconds
	}
	return sum
}

// coresOf returns the share of resources of the mean host, in its cores.
func (l *Leader) coresOf(amount policy.Resources) float64 {
	cores := float64(amount.CPU) / milliCores
	if size := l.outlook.hostSize; size.Memory > 0 {
		cores = max(cores, float64(amount.Memory)/float64(size.Memory)*float64(size.CPU)/milliCores)
	}
	return cores
}

// milliCores is the unit of policy.Resources.CPU in a core.
const milliCores = 1000

// exceeds reports whether the work that can be in time exceeds what a number of cores,
// of which some are free, can start before the latest start times.
func (w *waitingWork) exceeds(cores, free float64, now time.Time) bool {
	slices.SortFunc(w.inTime, func(a, b waitingStep) int { return a.latestStart.Compare(b.latestStart) })
	sum := 0.0
	for _, step := range w.inTime {
		startable := min(step.cores, free)
		free -= startable
		if step.cores > 0 {
			sum += step.coreSeconds * (1 - startable/step.cores)
		}
		if sum > cores*step.latestStart.Sub(now).Seconds() {
			return true
		}
	}
	return false
}

// outlook returns the outlook of a pool with this work.
func (w *waitingWork) outlook(cores, inflow float64, shortFor time.Duration) admission.PoolOutlook {
	out := admission.PoolOutlook{Cores: cores, Inflow: inflow, ShortFor: shortFor}
	higher := 0.0
	// One more than the lowest priority stands for all below it.
	for priority := range min(w.priorities+1, maxOutlookPriorities) {
		out.AheadByPriority = append(out.AheadByPriority, higher+w.onTime[priority])
		out.LateByPriority = append(out.LateByPriority, w.late[priority])
		out.BeyondByPriority = append(out.BeyondByPriority, w.beyond[priority])
		out.BeyondLateByPriority = append(out.BeyondLateByPriority, w.beyondLate[priority])
		higher += w.all[priority]
	}
	return out
}

// poolCapacities returns the cores of each pool, including hosts on their way to it.
func (l *Leader) poolCapacities(now time.Time) map[string]float64 {
	capacities := map[string]float64{}
	l.visit(len(l.hosts.byID))
	for _, h := range l.hosts.list {
		pool := h.destination()
		if !h.listed || !l.countsToward(h, pool, now) {
			continue
		}
		capacity := h.row.Capacity
		if e := l.endpointOf(h); e != nil && e.row.Pool == pool {
			capacity = e.row.Capacity
		}
		capacities[pool] += float64(capacity.CPU) / milliCores
	}
	if l.hosts.isLoaded {
		return capacities
	}
	for _, e := range l.endpointList {
		if e.listed && e.reached && !e.gone && !e.leaving {
			capacities[e.row.Pool] += float64(e.row.Capacity.CPU) / milliCores
		}
	}
	return capacities
}

// freeCores returns the free cores of each pool's endpoints that accept work.
func (l *Leader) freeCores(now time.Time) map[string]float64 {
	free := map[string]float64{}
	l.visit(len(l.endpoints))
	for _, e := range l.endpointList {
		if l.acceptsWork(e, now) {
			free[e.row.Pool] += max(0, float64(e.available().CPU)/milliCores)
		}
	}
	return free
}

// inflowWithinShares returns how many cores the work needs that has arrived in a pool
// within its accounts' shares, if that continues.
func (l *Leader) inflowWithinShares(pool string, now time.Time) float64 {
	var cpu, memory float64
	for _, arrived := range l.arrivalHistoryOf(pool).arrivals {
		if !arrived.beyondShare && now.Sub(arrived.at) <= arrivalWindow {
			cpu += arrived.cpu
			memory += arrived.memory
		}
	}
	return l.coresOf(policy.Resources{CPU: int64(cpu), Memory: int64(memory)}) / arrivalWindow.Seconds()
}

// accountsBeyondShare returns the client accounts whose next job is most likely beyond their
// share, sorted: their share is used up, and so it was for most of their recent jobs. An
// account that sends as much as its share has used it up at times.
func (l *Leader) accountsBeyondShare(now time.Time) []string {
	// Jobs beyond shares less those within.
	excess := map[string]int{}
	for _, history := range l.arrivalHistories {
		for _, arrived := range history.arrivals {
			switch {
			case now.Sub(arrived.at) > arrivalWindow:
			case arrived.beyondShare:
				excess[arrived.account]++
			default:
				excess[arrived.account]--
			}
		}
	}
	var accounts []string
	for account, bucket := range l.shareBuckets {
		weight := l.policy.Accounts[account].Weight
		if weight > 0 && excess[account] > 0 && bucket.tokensAt(weight, now) < 1 {
			accounts = append(accounts, account)
		}
	}
	slices.SortFunc(accounts, cmp.Compare[string])
	return accounts
}
