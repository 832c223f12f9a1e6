package soak

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// Kind is a kind of fault.
type Kind string

// The kinds of faults. The link faults (delayed, reset, one-way and silent) affect
// the connections of one node to the store, or of all nodes to one endpoint.
const (
	Kill              Kind = "kill"
	Pause             Kind = "pause"
	Stop              Kind = "stop"
	KillAll           Kind = "kill-all"
	StoreDelayed      Kind = "store-delayed"
	StoreReset        Kind = "store-reset"
	StoreOneWay       Kind = "store-one-way"
	StoreSilent       Kind = "store-silent"
	StoreUnavailable  Kind = "store-away"
	StoreLosesAnswers Kind = "store-loses-answers"
	StoreDropsHistory Kind = "store-forgets"
	EndpointDelayed   Kind = "endpoint-delayed"
	EndpointReset     Kind = "endpoint-reset"
	EndpointOneWay    Kind = "endpoint-one-way"
	EndpointSilent    Kind = "endpoint-silent"
	EndpointCrash     Kind = "endpoint-crash"
	// EndpointRestart, EndpointRestartEarlier and EndpointRestartElsewhere begin a new
	// incarnation under the endpoint's ID after Duration: as is, with the wall clock set
	// back, or at another address. EndpointHang holds back orders; EndpointHangRestart
	// restarts before they are carried out. EndpointLateOrders breaks off orders and
	// carries them out seconds later, EndpointDelayedAnswers delays responses.
	EndpointRestart          Kind = "endpoint-restart"
	EndpointRestartEarlier   Kind = "endpoint-restart-earlier"
	EndpointRestartElsewhere Kind = "endpoint-restart-elsewhere"
	EndpointHang             Kind = "endpoint-hang"
	EndpointHangRestart      Kind = "endpoint-hang-restart"
	EndpointLateOrders       Kind = "endpoint-late-orders"
	EndpointDelayedAnswers   Kind = "endpoint-delayed-answers"
	// EndpointLateRenewals breaks off lease renewals and carries them out seconds later.
	// EndpointRestartUnlisted and EndpointRestartSlow begin a new incarnation of which the
	// lists do not know for a while, or whose monotonic clock is slow. EndpointSlowStops
	// lets runs go on for a while after they were told to stop.
	EndpointLateRenewals    Kind = "endpoint-late-renewals"
	EndpointRestartUnlisted Kind = "endpoint-restart-unlisted"
	EndpointRestartSlow     Kind = "endpoint-restart-slow"
	EndpointSlowStops       Kind = "endpoint-slow-stops"
	// DeadlyJobs lets some of the jobs have a task that crashes each endpoint that starts
	// it. EndpointShrinks changes an endpoint's capacity while it runs.
	DeadlyJobs      Kind = "deadly-jobs"
	EndpointShrinks Kind = "endpoint-shrinks"
	// HostListLags lets each row of the host list lag by a time of its own, HostListGoesBack
	// lets rows jump within that time. HostListUnavailable makes the list unavailable.
	HostListLags        Kind = "host-list-lags"
	HostListGoesBack    Kind = "host-list-goes-back"
	HostListUnavailable Kind = "host-list-away"
	// EndpointReplaced ends an endpoint's process, and its host has another endpoint with an
	// ID and an address of its own after Duration. EndpointReplacedUnlisted lets the host's
	// row lag meanwhile. EndpointLost ends it without a sign: calls get no answer.
	EndpointReplaced         Kind = "endpoint-replaced"
	EndpointReplacedUnlisted Kind = "endpoint-replaced-unlisted"
	EndpointLost             Kind = "endpoint-lost"
	// Evacuate requests the evacuation of the data centre Target, and withdraws it after Duration.
	// DataCentreReturnsCold restarts the endpoints of one, which are cold then. MaintenanceWave
	// writes a wave over some hosts.
	Evacuate              Kind = "evacuate"
	DataCentreReturnsCold Kind = "data-centre-returns-cold"
	MaintenanceWave       Kind = "maintenance-wave"
	// LeaderKill, LeaderPause and LeaderCutOff are Kill, Pause and StoreSilent of whoever leads.
	LeaderKill   Kind = "leader-kill"
	LeaderPause  Kind = "leader-pause"
	LeaderCutOff Kind = "leader-cut-off"
	// TakeoverBesideCut cuts off the endpoint that runs most for the account with a cap, and stops
	// the leader.
	TakeoverBesideCut Kind = "takeover-beside-cut"
	// EndpointRefuses lets an endpoint refuse all starts, AllRefuse all of them for refusalTime.
	EndpointRefuses Kind = "endpoint-refuses"
	AllRefuse       Kind = "all-refuse"
	// DataCentreRestarts restarts the endpoints of the data centre Target under their IDs, which are down for
	// Duration: orders wait for the next incarnations. DataCentreHangsUp breaks off the reports that wait,
	// too. DataCentreCut cuts all nodes off from the endpoints of one, which go on. EndpointUnlisted keeps
	// an endpoint from the store, so that its row is gone.
	DataCentreRestarts Kind = "data-centre-restarts"
	DataCentreHangsUp  Kind = "data-centre-hangs-up"
	DataCentreCut      Kind = "data-centre-cut"
	EndpointUnlisted   Kind = "endpoint-unlisted"
)

// KindsWithoutRestarts returns the kinds of faults in which each endpoint has one
// incarnation.
func KindsWithoutRestarts() []Kind {
	return []Kind{
		Kill, Pause, Stop, KillAll, StoreDelayed, StoreReset, StoreOneWay, StoreSilent, StoreUnavailable, StoreLosesAnswers, StoreDropsHistory,
		EndpointDelayed, EndpointReset, EndpointOneWay, EndpointSilent, EndpointCrash,
	}
}

// RestartKinds returns the kinds of faults around restarts of endpoints.
func RestartKinds() []Kind {
	return []Kind{
		EndpointRestart, EndpointRestartEarlier, EndpointRestartElsewhere, EndpointHang, EndpointHangRestart, EndpointLateOrders,
		EndpointDelayedAnswers,
	}
}

// LagKinds returns the kinds of faults in which renewals, lists, clocks or stops of
// endpoints lag behind.
func LagKinds() []Kind {
	return []Kind{EndpointLateRenewals, EndpointRestartUnlisted, EndpointRestartSlow, EndpointSlowStops}
}

// BudgetKinds returns the kinds of faults that call for limits to starts.
func BudgetKinds() []Kind {
	return []Kind{DeadlyJobs, EndpointShrinks}
}

// KindsWithRestarts returns the kinds of faults without those in which something lags
// behind.
func KindsWithRestarts() []Kind {
	return append(KindsWithoutRestarts(), RestartKinds()...)
}

// ListKinds returns the kinds of faults of host lists and of endpoints that are replaced.
func ListKinds() []Kind {
	return []Kind{HostListLags, HostListGoesBack, HostListUnavailable, EndpointReplaced, EndpointReplacedUnlisted, EndpointLost}
}

// KindsAroundLists returns the kinds of ListKinds, with those of links to endpoints and of
// leaders that make them matter.
func KindsAroundLists() []Kind {
	return append(ListKinds(), EndpointDelayed, EndpointReset, EndpointOneWay, EndpointSilent, EndpointHang, EndpointRestart, Kill, Pause)
}

// KindsAroundTakeovers returns the kinds of faults that replace leaders, with those that keep
// endpoints out of reach meanwhile.
func KindsAroundTakeovers() []Kind {
	return []Kind{
		Kill, Pause, Stop, LeaderKill, LeaderCutOff, StoreUnavailable, EndpointOneWay, EndpointSilent, EndpointReset, EndpointDelayed,
		TakeoverBesideCut, TakeoverBesideCut, TakeoverBesideCut,
	}
}

// KindsAroundStarts returns the kinds of faults that keep starts from being carried out, with those that
// replace leaders meanwhile.
func KindsAroundStarts() []Kind {
	return []Kind{
		EndpointRefuses, EndpointRefuses, AllRefuse, EndpointOneWay, EndpointSilent, EndpointReset, EndpointDelayed, EndpointRestart,
		Kill, Pause, Stop, LeaderKill,
	}
}

// KindsWithBudgets returns the kinds of faults without those of host lists.
func KindsWithBudgets() []Kind {
	return slices.Concat(KindsWithRestarts(), LagKinds(), BudgetKinds())
}

// AllKinds returns all kinds of faults.
func AllKinds() []Kind {
	return append(KindsWithBudgets(), ListKinds()...)
}

// Fault is one fault to inject.
type Fault struct {
	Kind Kind
	// At is the time of the fault since the start. Duration is how long it lasts;
	// kinds that take effect at once ignore it.
	At, Duration time.Duration
	// Target is the index of the node or endpoint, starting at 0.
	Target int
}

const (
	// meanFaultInterval is the mean time between two faults or series of faults.
	meanFaultInterval = 1200 * time.Millisecond
	// maxFaultDuration limits the duration of a fault.
	maxFaultDuration = 4 * time.Second
	// seriesFraction is the fraction of faults that are repeated, seriesLength times
	// in all.
	seriesFraction = 0.25
	seriesLength   = 3
	seriesInterval = 300 * time.Millisecond
	// promptFraction is the fraction of restarts without a pause, maxRestartPause the
	// longest pause of the others.
	promptFraction  = 0.5
	maxRestartPause = maxFaultDuration / 3
	// companionFraction is the fraction of late orders, late renewals and delayed answers
	// during which the endpoint restarts.
	companionFraction = 0.75
	// cutOffFraction is the fraction of replaced endpoints that are soon out of reach,
	// maxCutOffDelay the longest time until then.
	cutOffFraction = 0.5
	maxCutOffDelay = 2 * time.Second
)

// Plan returns the faults of a seed in order of time, of the given kinds. It does not depend
// on what other kinds there are.
func Plan(seed uint64, duration time.Duration, nodes, endpoints int, kinds []Kind) []Fault {
	plan := planFaults(seed, duration, nodes, endpoints, kinds)
	slices.SortStableFunc(plan, func(a, b Fault) int { return cmp.Compare(a.At, b.At) })
	return plan
}

// planFaults returns the faults of a plan in any order.
func planFaults(seed uint64, duration time.Duration, nodes, endpoints int, kinds []Kind) []Fault {
	if slices.Contains(kinds, DataCentreCut) {
		return planRecuts(seed, duration, endpoints, kinds)
	}
	random := rand.New(rand.NewPCG(seed, 0))
	var plan []Fault
	crashes := 0
	for at := time.Duration(0); ; {
		at += time.Duration(random.ExpFloat64() * float64(meanFaultInterval))
		if at >= duration {
			break
		}
		fault := Fault{Kind: kinds[random.IntN(len(kinds))], At: at, Duration: time.Duration(random.Int64N(int64(maxFaultDuration)))}
		fault.Target = random.IntN(nodes)
		if fault.targetsEndpoint() {
			fault.Target = random.IntN(endpoints)
		}
		if fault.Kind == EndpointCrash {
			// At most half of the endpoints crash.
			if crashes++; crashes > endpoints/2 {
				continue
			}
			fault.Target = crashes - 1
			plan = append(plan, fault)
			continue
		}
		if fault.isRestart() {
			fault.Duration = restartPause(random, fault)
		}
		if fault.hasCompanion() && random.Float64() < companionFraction {
			at := fault.At + time.Duration(random.Int64N(int64(fault.Duration)+1))
			plan = append(plan, Fault{Kind: EndpointRestart, At: at, Target: fault.Target})
		}
		if fault.isReplacement() && random.Float64() < cutOffFraction {
			plan = append(plan, cutOff(random, fault))
		}
		repeats := 1
		if random.Float64() < seriesFraction {
			repeats = seriesLength
		}
		for range repeats {
			plan = append(plan, fault)
			fault.At += seriesInterval
		}
	}
	if slices.Contains(kinds, Evacuate) {
		plan = append(plan, planEvacuations(seed, duration)...)
	}
	return plan
}

// restartPause returns the pause of a restart.
func restartPause(random *rand.Rand, fault Fault) time.Duration {
	// The list can only show a host as down that is so for a while.
	if fault.Kind != EndpointReplacedUnlisted && random.Float64() < promptFraction {
		return 0
	}
	return fault.Duration * time.Duration(maxRestartPause) / maxFaultDuration
}

// cutOff returns a fault that keeps the endpoint that has replaced another one out of reach.
func cutOff(random *rand.Rand, replacement Fault) Fault {
	kinds := []Kind{EndpointDelayed, EndpointOneWay, EndpointSilent, EndpointHang}
	return Fault{
		Kind: kinds[random.IntN(len(kinds))], Target: replacement.Target, Duration: time.Duration(random.Int64N(int64(maxFaultDuration))),
		At: replacement.At + replacement.Duration + time.Duration(random.Int64N(int64(maxCutOffDelay))),
	}
}

func (f Fault) targetsEndpoint() bool {
	if f.isReplacement() {
		return true
	}
	switch f.Kind {
	case EndpointDelayed, EndpointReset, EndpointOneWay, EndpointSilent, EndpointCrash, EndpointShrinks, EndpointRefuses, EndpointUnlisted:
		return true
	default:
		return slices.Contains(RestartKinds(), f.Kind) || slices.Contains(LagKinds(), f.Kind)
	}
}

// isRestart reports whether the fault is a restart after a pause of its duration.
func (f Fault) isRestart() bool {
	if f.isReplacement() {
		return true
	}
	switch f.Kind {
	case EndpointRestart, EndpointRestartEarlier, EndpointRestartElsewhere, EndpointRestartUnlisted, EndpointRestartSlow, DataCentreReturnsCold:
		return true
	default:
		return false
	}
}

// isReplacement reports whether the endpoint's host has another endpoint after that.
func (f Fault) isReplacement() bool {
	return f.Kind == EndpointReplaced || f.Kind == EndpointReplacedUnlisted || f.Kind == EndpointLost
}

// hasCompanion reports whether the endpoint may restart during the fault.
func (f Fault) hasCompanion() bool {
	return f.Kind == EndpointLateOrders || f.Kind == EndpointLateRenewals || f.Kind == EndpointDelayedAnswers
}
