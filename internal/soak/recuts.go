package soak

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/lovagedyke/lovagedyke/internal/loops"
	"github.com/lovagedyke/lovagedyke/platform/standin"
)

// A recut restarts the endpoints of a data centre under their IDs, and soon after cuts all nodes off
// from them. The endpoints take no orders while they are down; the next incarnation carries out
// what was sent to them meanwhile, with deadlines that were meant for the clock of the former one.
const (
	// recutStart is the time of the first recut, recutInterval that between two.
	recutStart, recutInterval = 5 * time.Second, 15 * time.Second
	// recutDownTime is how long the endpoints are down. The leader is killed recutKillDelay after
	// they are back, and they are cut off recutCutDelay later, for recutCutTime.
	recutDownTime  = 600 * time.Millisecond
	recutKillDelay = 1400 * time.Millisecond
	recutCutDelay  = 600 * time.Millisecond
	recutCutTime   = 9 * time.Second
	// regularRecuts is the share of seeds, one in so many, whose recuts have just these times.
	regularRecuts = 4
	// recutDataCentres is the number of data centres of a soak with recuts.
	recutDataCentres = 2
	// One of longInterval jobs has a task that runs for longRecutTaskTime, recutJobInterval is the time
	// between two jobs.
	longInterval, longRecutTaskTime = 3, 12 * time.Second
	recutJobInterval                = 160 * time.Millisecond
)

// The bounds of recuts that are not regular.
const (
	// allCutFraction is the fraction of recuts of all data centres, earlierCutFraction that of recuts
	// with another cut, which may last beyond the first restart.
	allCutFraction, earlierCutFraction = 0.15, 0.3
	minEarlierCut, maxEarlierCut       = time.Second, 3 * time.Second
	// There are up to maxRestartsInARow restarts, otherDownFraction of them with another down time.
	maxRestartsInARow              = 3
	minRestartGap, maxRestartGap   = 200 * time.Millisecond, 2 * time.Second
	otherDownFraction              = 0.4
	maxRecutDownTime               = 2500 * time.Millisecond
	minRecutCutDelay               = 300 * time.Millisecond
	maxRecutCutDelay               = 3 * time.Second
	minRecutCut, maxRecutCut       = 4 * time.Second, 10 * time.Second
	minRecutPause                  = 3 * time.Second
	maxLeaderFaults, maxCompanions = 2, 3
	maxLeaderDelay                 = 2 * time.Second
	minLeaderFault                 = time.Second
	maxRecutLeaderFault            = 6 * time.Second
	minCompanion                   = time.Second
)

// recutRestarts are the kinds of restarts of a recut.
var recutRestarts = []Kind{DataCentreRestarts, DataCentreRestarts, DataCentreHangsUp}

// recutLeaderFaults are the kinds of faults of whoever leads beside a recut.
var recutLeaderFaults = []Kind{LeaderKill, LeaderKill, LeaderPause, LeaderCutOff}

// KindsOfRecuts returns the kinds of faults of a recut.
func KindsOfRecuts() []Kind {
	return append(KindsOfRecutsWithoutKill(), LeaderKill)
}

// KindsOfRecutsWithoutKill returns the kinds of faults of a recut that leaves the leader alone.
func KindsOfRecutsWithoutKill() []Kind {
	return []Kind{DataCentreRestarts, DataCentreCut}
}

// recutCompanions are the kinds of faults of endpoints beside a recut.
var recutCompanions = []Kind{EndpointLateOrders, EndpointLateRenewals, EndpointRestartUnlisted, EndpointRestart, EndpointUnlisted, HostListLags}

// KindsAroundRecuts returns the kinds of KindsOfRecuts, with other faults of whoever leads, late orders,
// lists that lag and rows that are gone.
func KindsAroundRecuts() []Kind {
	return slices.Concat(KindsOfRecuts(), []Kind{DataCentreHangsUp, LeaderPause, LeaderCutOff}, recutCompanions)
}

// planRecuts returns recuts with faults around them.
func planRecuts(seed uint64, duration time.Duration, endpoints int, kinds []Kind) []Fault {
	var plan []Fault
	isRegular := !slices.Contains(kinds, LeaderPause) || seed%regularRecuts == 0
	p := recutPlanner{random: rand.New(rand.NewPCG(seed, 3)), endpoints: endpoints}
	for at := recutStart; at < duration; {
		if isRegular {
			plan = append(plan, regularRecut(at, slices.Contains(kinds, LeaderKill))...)
			at += recutInterval
			continue
		}
		faults, end := p.recut(at)
		plan = append(plan, faults...)
		at = max(at+recutInterval, end+minRecutPause)
	}
	return plan
}

// regularRecut returns a recut of the first data centre.
func regularRecut(at time.Duration, killsLeader bool) []Fault {
	killAt := at + recutDownTime + recutKillDelay
	faults := []Fault{
		{Kind: DataCentreRestarts, At: at, Duration: recutDownTime},
		{Kind: DataCentreCut, At: killAt + recutCutDelay, Duration: recutCutTime},
	}
	if killsLeader {
		faults = append(faults, Fault{Kind: LeaderKill, At: killAt})
	}
	return faults
}

// recutPlanner draws recuts of all kinds.
type recutPlanner struct {
	random    *rand.Rand
	endpoints int
}

// recut draws a recut of one data centre, or of all, and returns when it ends.
func (p recutPlanner) recut(begin time.Duration) (faults []Fault, end time.Duration) {
	targets := []int{p.random.IntN(recutDataCentres)}
	if p.random.Float64() < allCutFraction {
		targets = []int{0, 1}
	}
	onTargets := func(kind Kind, at, duration time.Duration) {
		for _, target := range targets {
			faults = append(faults, Fault{Kind: kind, At: at, Duration: duration, Target: target})
		}
	}
	restartAt, earlierCutEnd := begin, begin
	if p.random.Float64() < earlierCutFraction {
		cutTime := p.between(minEarlierCut, maxEarlierCut)
		onTargets(DataCentreCut, begin, cutTime)
		earlierCutEnd += cutTime
		restartAt += p.between(0, cutTime)
	}
	backAt := restartAt
	for n := range 1 + p.random.IntN(maxRestartsInARow) {
		if n > 0 {
			restartAt = backAt + p.between(minRestartGap, maxRestartGap)
		}
		down := recutDownTime
		if p.random.Float64() < otherDownFraction {
			down = p.between(0, maxRecutDownTime)
		}
		onTargets(recutRestarts[p.random.IntN(len(recutRestarts))], restartAt, down)
		backAt = restartAt + down
	}
	cutAt, cutTime := max(earlierCutEnd, backAt+p.between(minRecutCutDelay, maxRecutCutDelay)), p.between(minRecutCut, maxRecutCut)
	onTargets(DataCentreCut, cutAt, cutTime)
	leaderAt := backAt
	for range p.random.IntN(maxLeaderFaults + 1) {
		leaderAt += p.between(0, maxLeaderDelay)
		faults = append(faults, Fault{
			Kind: recutLeaderFaults[p.random.IntN(len(recutLeaderFaults))], At: leaderAt, Duration: p.between(minLeaderFault, maxRecutLeaderFault),
		})
	}
	for range p.random.IntN(maxCompanions + 1) {
		faults = append(faults, Fault{
			Kind: recutCompanions[p.random.IntN(len(recutCompanions))], At: p.between(begin, cutAt), Duration: p.between(minCompanion, maxFaultDuration),
			Target: p.random.IntN(p.endpoints/recutDataCentres)*recutDataCentres + targets[0],
		})
	}
	return faults, cutAt + cutTime
}

// between draws a time from least to most.
func (p recutPlanner) between(least, most time.Duration) time.Duration {
	return least + time.Duration(p.random.Int64N(int64(most-least)+1))
}

func (s *soak) hasRecuts() bool {
	return slices.Contains(s.config.Kinds, DataCentreCut)
}

// injectRecutFault injects a fault of KindsAroundRecuts that no other soak has, and removes it after its duration.
func (s *soak) injectRecutFault(ctx context.Context, fault Fault, host int) {
	dataCentre := dataCentres[fault.Target%recutDataCentres]
	switch fault.Kind {
	case DataCentreRestarts, DataCentreHangsUp:
		restart := standin.Restart{Pause: fault.Duration}
		if fault.Kind == DataCentreHangsUp {
			restart.Departure = standin.HangsUp
		}
		if err := s.platform.RestartDataCentre(dataCentre, restart); err != nil {
			s.addViolation("fault not injected: restart of the endpoints of %s: %v", dataCentre, err)
		}
	case DataCentreCut:
		s.setLinksOf(fault.Target, linkCut)
		loops.Sleep(ctx, fault.Duration)
		s.setLinksOf(fault.Target, linkHealthy)
	case EndpointUnlisted:
		s.platform.SetUnlisted(host, true)
		loops.Sleep(ctx, fault.Duration)
		s.platform.SetUnlisted(host, false)
	}
}

// setLinksOf sets the state of the links to all endpoints of a data centre.
func (s *soak) setLinksOf(dataCentre int, state linkState) {
	for n := dataCentre % recutDataCentres; n < s.config.Endpoints; n += recutDataCentres {
		s.endpointProxy(n).setState(state)
	}
}
