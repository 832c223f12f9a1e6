package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/lovagedyke/lovagedyke/internal/loops"
	"github.com/lovagedyke/lovagedyke/platform/standin"
)

const (
	// evacuationBound is how long after a request to evacuate a data centre tasks may still start
	// there: the users' figure, and not one of the soak.
	evacuationBound = 5 * time.Second
	// shortFraction is the fraction of evacuations that are withdrawn before the bound, within
	// maxShortEvacuation. The others outlast it by minJudgedTime to maxJudgedTime.
	shortFraction                = 0.3
	maxShortEvacuation           = 2 * time.Second
	minJudgedTime, maxJudgedTime = 2 * time.Second, 6 * time.Second
	// maxEvacuationGap is the longest time between two evacuations of a data centre.
	maxEvacuationGap = 3 * time.Second
	// leaderFaultFraction is the fraction of evacuations with a fault of whoever leads within
	// leaderFaultDelay of the request. It lasts for at most maxLeaderFault, so that starts count
	// again soon after the bound.
	leaderFaultFraction = 0.5
	leaderFaultDelay    = 1500 * time.Millisecond
	maxLeaderFault      = 2 * time.Second
	// operatorRetryInterval is the time between two attempts of an operator while the store is
	// unavailable.
	operatorRetryInterval = 50 * time.Millisecond
	// coldTime is how long the endpoints of a data centre are cold after they have returned.
	coldTime = 5 * time.Second
	// waveHosts is the number of hosts in a wave, waveDuration its time limit.
	waveHosts    = 2
	waveDuration = 10 * time.Second
)

// dataCentres are the data centres of a soak with evacuations.
var dataCentres = []string{"dc-1", "dc-2", "dc-3"}

// EvacuationKinds returns the kinds of faults of data centres and of whoever leads.
func EvacuationKinds() []Kind {
	return []Kind{Evacuate, DataCentreReturnsCold, MaintenanceWave, LeaderKill, LeaderPause, LeaderCutOff}
}

// KindsAroundEvacuations returns the kinds of EvacuationKinds, with those of processes, the store
// and late orders. Links that hold orders back are left out: an endpoint gets these late, and
// does not know it.
func KindsAroundEvacuations() []Kind {
	return append(EvacuationKinds(),
		Kill, Pause, Stop, KillAll, StoreDelayed, StoreReset, StoreOneWay, StoreSilent, StoreUnavailable, StoreLosesAnswers, StoreDropsHistory,
		EndpointRestart, EndpointHang, EndpointLateOrders)
}

// planEvacuations returns series of evacuations of each data centre, with faults around the
// leader. None ends long after the duration.
func planEvacuations(seed uint64, duration time.Duration) []Fault {
	random := rand.New(rand.NewPCG(seed, 2))
	upTo := func(limit time.Duration) time.Duration { return time.Duration(random.Int64N(int64(limit))) }
	leaderFaults := []Kind{LeaderKill, LeaderPause, LeaderCutOff}
	var plan []Fault
	for target := range dataCentres {
		for at := upTo(maxEvacuationGap); at < duration; at += upTo(maxEvacuationGap) {
			fault := Fault{Kind: Evacuate, At: at, Target: target, Duration: evacuationBound + minJudgedTime + upTo(maxJudgedTime-minJudgedTime)}
			if random.Float64() < shortFraction || at+evacuationBound+minJudgedTime > duration {
				fault.Duration = upTo(maxShortEvacuation)
			}
			plan = append(plan, fault)
			if random.Float64() < leaderFaultFraction {
				plan = append(plan, Fault{Kind: leaderFaults[random.IntN(len(leaderFaults))], At: at + upTo(leaderFaultDelay), Duration: upTo(maxLeaderFault)})
			}
			at += fault.Duration
		}
	}
	return plan
}

// targetLeader returns the fault that a fault of whoever leads is now.
func (s *soak) targetLeader(fault Fault) Fault {
	kinds := map[Kind]Kind{LeaderKill: Kill, LeaderPause: Pause, LeaderCutOff: StoreSilent}
	kind, ok := kinds[fault.Kind]
	if !ok {
		return fault
	}
	fault.Kind = kind
	for n := range s.processes {
		if nodeName(n) == s.platform.Leader() {
			fault.Target = n
		}
	}
	return fault
}

// impair notes the processes that a fault pauses, cuts off or leaves without the store, until
// restore is called.
func (s *soak) impair(fault Fault) (restore func()) {
	impaired := []int{fault.Target % len(s.processes)}
	switch fault.Kind {
	case Pause, StoreOneWay, StoreSilent:
	case StoreUnavailable:
		impaired = impaired[:0]
		for n := range s.processes {
			impaired = append(impaired, n)
		}
	default:
		return func() {}
	}
	var restores []func()
	for _, n := range impaired {
		restores = append(restores, s.platform.Impair(nodeName(n)))
	}
	return func() {
		for _, restore := range restores {
			restore()
		}
	}
}

// injectEvacuationFault injects a fault of data centres, and removes it after its duration.
func (s *soak) injectEvacuationFault(ctx context.Context, fault Fault) {
	dataCentre := dataCentres[fault.Target%len(dataCentres)]
	switch fault.Kind {
	case Evacuate:
		s.operate(ctx, "request "+dataCentre, func() bool { return s.platform.RequestEvacuation(dataCentre) })
		loops.Sleep(ctx, fault.Duration)
		s.operate(ctx, "withdraw "+dataCentre, func() bool { return s.platform.WithdrawEvacuation(dataCentre) })
	case DataCentreReturnsCold:
		if err := s.platform.RestartDataCentre(dataCentre, standin.Restart{Pause: fault.Duration, ColdTime: coldTime}); err != nil {
			s.addViolation("fault not injected: restart of the endpoints of %s: %v", dataCentre, err)
		}
	case MaintenanceWave:
		var hosts []int
		for n := range min(waveHosts, s.config.Endpoints) {
			hosts = append(hosts, (fault.Target+n)%s.config.Endpoints+1)
		}
		s.mu.Lock()
		s.lastWave++
		wave := s.lastWave
		s.mu.Unlock()
		s.platform.WriteWave(wave, hosts, waveDuration, 1)
	}
}

// operate repeats an operator's action until the store accepts it, and logs when that was.
func (s *soak) operate(ctx context.Context, name string, action func() bool) {
	for !action() {
		if ctx.Err() != nil {
			return
		}
		loops.Sleep(ctx, operatorRetryInterval)
	}
	_, _ = fmt.Fprintf(s.faultLog, "%s operator: %s accepted\n", time.Now().UTC().Format(time.RFC3339Nano), name)
}

// withdrawEvacuations ends all evacuations.
func (s *soak) withdrawEvacuations() {
	if !s.hasEvacuations() {
		return
	}
	for _, dataCentre := range dataCentres {
		s.platform.WithdrawEvacuation(dataCentre)
	}
}

func (s *soak) hasEvacuations() bool {
	return slices.Contains(s.config.Kinds, Evacuate)
}
