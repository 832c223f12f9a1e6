package fleet

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/lovagedyke/lovagedyke/internal/policy"
)

// evacuationCheckInterval is the time between two checks of how far evacuations have come.
const evacuationCheckInterval = 200 * time.Millisecond

// evacuations holds the operators' requests that nothing more is sent to a data centre.
type evacuations struct {
	byDataCentre map[string]*evacuationState
	// heldLabels holds what isLabelHeld has found since hosts were last planned.
	heldLabels map[string]bool
	// waits holds what isEvacuationWait has found since their progress was last checked.
	waits map[taskKind]bool
	// checkedAt is when their progress was last checked.
	checkedAt time.Time
	// isAllLogged is true once it was logged that all data centres are evacuated.
	isAllLogged bool
}

// evacuationState is a request in force.
type evacuationState struct {
	// since is when this leader learnt of the request.
	since time.Time
	// isUnknownLogged is true once it was logged that no host and no endpoint is in the data centre.
	isUnknownLogged bool
	// emptyPools holds the pools without runs in the data centre that were logged.
	emptyPools map[string]bool
}

// SetEvacuations puts the complete list of evacuated data centres in force.
func (l *Leader) SetEvacuations(dataCentres []string, now time.Time) {
	before := l.evacuations.byDataCentre
	current := map[string]*evacuationState{}
	for _, dataCentre := range dataCentres {
		current[dataCentre] = before[dataCentre]
		if current[dataCentre] == nil {
			current[dataCentre] = &evacuationState{since: now, emptyPools: map[string]bool{}}
		}
	}
	isSame := len(before) == len(current)
	for dataCentre := range before {
		isSame = isSame && current[dataCentre] != nil
	}
	if isSame {
		return
	}
	l.evacuations = evacuations{byDataCentre: current, heldLabels: map[string]bool{}, waits: map[taskKind]bool{}}
	for dataCentre := range before {
		if current[dataCentre] == nil {
			l.limitCold(dataCentre)
		}
	}
	// The missing capacity is ordered in the next step, however large the fleet is.
	l.hosts.plannedAt = time.Time{}
}

// isProhibited reports whether nothing may be started in a data centre, which is "" if it is not
// known: it may be any of the evacuated ones.
func (l *Leader) isProhibited(dataCentre string) bool {
	return len(l.evacuations.byDataCentre) > 0 && (dataCentre == "" || l.evacuations.byDataCentre[dataCentre] != nil)
}

// dataCentreOf returns an endpoint's data centre, by its own row or else by that of its host, or "".
func (l *Leader) dataCentreOf(e *endpoint) string {
	if e.row.DataCentre != "" {
		return e.row.DataCentre
	}
	if h := l.hosts.byID[e.hostID()]; h != nil {
		return h.row.DataCentre
	}
	return ""
}

// isEvacuated reports whether nothing may be started on an endpoint since its data centre is
// evacuated, or since another one is and its own is not known.
func (l *Leader) isEvacuated(e *endpoint) bool {
	return len(l.evacuations.byDataCentre) > 0 && l.isProhibited(l.dataCentreOf(e))
}

// isHostEvacuated is isEvacuated for a host, whose row goes before that of its endpoint.
func (l *Leader) isHostEvacuated(h *hostState) bool {
	if len(l.evacuations.byDataCentre) == 0 {
		return false
	}
	dataCentre := h.row.DataCentre
	if e := l.endpoints[h.row.Endpoint]; dataCentre == "" && e != nil {
		dataCentre = e.row.DataCentre
	}
	return l.isProhibited(dataCentre)
}

// mustLeave reports whether persistent tasks leave an endpoint since its data centre is evacuated.
func (l *Leader) mustLeave(e *endpoint) bool {
	return len(l.evacuations.byDataCentre) > 0 && l.evacuations.byDataCentre[l.dataCentreOf(e)] != nil
}

// acceptsWork reports whether the endpoint may get new runs.
func (l *Leader) acceptsWork(e *endpoint, now time.Time) bool {
	return e.acceptsWork(now) && !l.isEvacuated(e)
}

// taskKind is what decides on which endpoints a task may run.
type taskKind struct {
	pool, label string
	size        policy.Resources
}

// isEvacuationWait reports whether a step waits since only evacuated endpoints could run its tasks.
func (l *Leader) isEvacuationWait(g taskGroup) bool {
	if len(l.evacuations.byDataCentre) == 0 {
		return false
	}
	kind := taskKind{pool: l.poolOf(g.job), label: g.step.step.Requires, size: g.step.step.Reserved()}
	waits, ok := l.evacuations.waits[kind]
	if !ok {
		waits = l.canOnlyRunEvacuated(kind)
		l.evacuations.waits[kind] = waits
	}
	return waits
}

// canOnlyRunEvacuated reports whether some endpoints could run a task, all of them evacuated.
func (l *Leader) canOnlyRunEvacuated(kind taskKind) bool {
	isAble := false
	for _, e := range l.endpointList {
		if e.row.Pool != kind.pool || !e.listed || e.gone || !e.hasLabel(kind.label) || !kind.size.FitsIn(e.row.Capacity) {
			continue
		}
		if !l.isEvacuated(e) {
			return false
		}
		isAble = true
	}
	return isAble
}

// isLabelHeld reports whether hosts and endpoints with a label are in evacuated data centres alone:
// more hosts from elsewhere do not help tasks that require it.
func (l *Leader) isLabelHeld(label string) bool {
	if label == "" || len(l.evacuations.byDataCentre) == 0 {
		return false
	}
	isHeld, ok := l.evacuations.heldLabels[label]
	if !ok {
		isHeld = l.isLabelOnlyEvacuated(label)
		l.evacuations.heldLabels[label] = isHeld
	}
	return isHeld
}

// isLabelOnlyEvacuated determines isLabelHeld.
func (l *Leader) isLabelOnlyEvacuated(label string) bool {
	isThere := false
	for _, h := range l.hosts.list {
		if !h.listed || !slices.Contains(h.row.Labels, label) {
			continue
		}
		if !l.isHostEvacuated(h) {
			return false
		}
		isThere = true
	}
	for _, e := range l.endpointList {
		if !e.listed || e.gone || !e.hasLabel(label) {
			continue
		}
		if !l.isEvacuated(e) {
			return false
		}
		isThere = true
	}
	return isThere
}

// EvacuationProgress is how far the evacuation of a data centre has come.
type EvacuationProgress struct {
	DataCentre string `json:"data-centre"`
	// Since is when this leader learnt of the request.
	Since time.Time `json:"since"`
	// Pools is sorted by name.
	Pools []PoolEvacuation `json:"pools,omitempty"`
}

// PoolEvacuation is what is left of a pool in an evacuated data centre.
type PoolEvacuation struct {
	Pool      string `json:"pool"`
	Endpoints int    `json:"endpoints"`
	Runs      int    `json:"runs"`
	// Persistent counts the runs of persistent tasks, and Held, by reason, those that cannot
	// leave now.
	Persistent int            `json:"persistent"`
	Held       map[string]int `json:"held,omitempty"`
}

// Evacuations returns the progress of the evacuations in force, sorted by data centre.
func (l *Leader) Evacuations(now time.Time) []EvacuationProgress {
	var progress []EvacuationProgress
	relocation := l.newRelocation(now)
	for _, dataCentre := range slices.Sorted(maps.Keys(l.evacuations.byDataCentre)) {
		pools := l.evacuationLeft(dataCentre)
		for _, e := range l.endpointList {
			if left := pools[e.row.Pool]; left != nil && e.tally.persistent > 0 && l.dataCentreOf(e) == dataCentre {
				countHeld(left, e, relocation)
			}
		}
		entry := EvacuationProgress{DataCentre: dataCentre, Since: l.evacuations.byDataCentre[dataCentre].since}
		for _, left := range pools {
			entry.Pools = append(entry.Pools, *left)
		}
		slices.SortFunc(entry.Pools, func(a, b PoolEvacuation) int { return cmp.Compare(a.Pool, b.Pool) })
		progress = append(progress, entry)
	}
	return progress
}

// countHeld counts the persistent runs on an endpoint that cannot leave it now.
func countHeld(left *PoolEvacuation, e *endpoint, relocation *relocation) {
	for _, r := range e.runs {
		if !r.isPersistent() || r.state == runStopping {
			continue
		}
		if reason := relocation.heldReason(r); reason != "" {
			if left.Held == nil {
				left.Held = map[string]int{}
			}
			left.Held[reason]++
		}
	}
}

// EvacuationRunsLeft returns, by evacuated data centre, how many runs are left there.
func (l *Leader) EvacuationRunsLeft() map[string]int {
	runs := map[string]int{}
	for dataCentre := range l.evacuations.byDataCentre {
		runs[dataCentre] = 0
	}
	if len(runs) == 0 {
		return runs
	}
	for _, e := range l.endpointList {
		if dataCentre := l.dataCentreOf(e); l.evacuations.byDataCentre[dataCentre] != nil {
			runs[dataCentre] += len(e.runs)
		}
	}
	return runs
}

// evacuationLeft counts what is left in a data centre, by pool.
func (l *Leader) evacuationLeft(dataCentre string) map[string]*PoolEvacuation {
	pools := map[string]*PoolEvacuation{}
	for _, e := range l.endpointList {
		if !e.listed && len(e.runs) == 0 || l.dataCentreOf(e) != dataCentre {
			continue
		}
		left := pools[e.row.Pool]
		if left == nil {
			left = &PoolEvacuation{Pool: e.row.Pool}
			pools[e.row.Pool] = left
		}
		left.Endpoints++
		left.Runs += len(e.runs)
		left.Persistent += e.tally.persistent
	}
	return pools
}

// logEvacuations logs, once each, the pools that are empty, requests for data centres in which
// nothing is, and that all data centres are evacuated.
func (l *Leader) logEvacuations(now time.Time) {
	if len(l.evacuations.byDataCentre) == 0 || now.Sub(l.evacuations.checkedAt) < evacuationCheckInterval {
		return
	}
	l.evacuations.checkedAt = now
	clear(l.evacuations.waits)
	known := l.dataCentres()
	for dataCentre, state := range l.evacuations.byDataCentre {
		if l.hosts.isLoaded && !known[dataCentre] && !state.isUnknownLogged {
			state.isUnknownLogged = true
			l.log("evacuation names an unknown data centre", "data-centre", dataCentre, "known", slices.Sorted(maps.Keys(known)))
		}
		for pool, left := range l.evacuationLeft(dataCentre) {
			if left.Runs == 0 && !state.emptyPools[pool] {
				state.emptyPools[pool] = true
				l.log("evacuation: pool is empty", "pool", pool, "data-centre", dataCentre, "endpoints", left.Endpoints, "took", age(state.since, now))
			}
		}
	}
	for dataCentre := range known {
		if l.evacuations.byDataCentre[dataCentre] == nil {
			return
		}
	}
	if len(known) > 0 && !l.evacuations.isAllLogged {
		l.evacuations.isAllLogged = true
		l.log("all data centres are evacuated", "data-centres", slices.Sorted(maps.Keys(known)))
	}
}

// dataCentres returns the data centres in which hosts or endpoints are listed.
func (l *Leader) dataCentres() map[string]bool {
	known := map[string]bool{}
	for _, h := range l.hosts.list {
		if h.listed && h.row.DataCentre != "" {
			known[h.row.DataCentre] = true
		}
	}
	for _, e := range l.endpointList {
		if e.listed && e.row.DataCentre != "" {
			known[e.row.DataCentre] = true
		}
	}
	return known
}
