package soak

import (
	"context"
	"fmt"
	"slices"
	"syscall"
	"time"

	"github.com/lovagedyke/lovagedyke/internal/loops"
	"github.com/lovagedyke/lovagedyke/platform/standin"
)

// inject injects a fault, and removes it after its duration.
func (s *soak) inject(ctx context.Context, fault Fault) {
	// temporarily starts an effect and stops it after the fault's duration.
	temporarily := func(start, stop func()) {
		start()
		loops.Sleep(ctx, fault.Duration)
		stop()
	}
	setLink := func(link *proxy, state linkState) {
		temporarily(func() { link.setState(state) }, func() { link.setState(linkHealthy) })
	}
	fault = s.targetLeader(fault)
	restore := s.impair(fault)
	defer restore()
	node := s.processes[fault.Target%len(s.processes)]
	store, endpoint := s.storeProxies[fault.Target%len(s.storeProxies)], s.endpointProxy(fault.Target)
	host := fault.Target%s.config.Endpoints + 1
	// A line that cannot be written is missing in the log of a failed seed only.
	_, _ = fmt.Fprintf(s.faultLog, "%s %s target %d for %s\n", time.Now().UTC().Format(time.RFC3339Nano), fault.Kind, fault.Target+1, fault.Duration)
	switch fault.Kind {
	case Kill:
		node.Signal(syscall.SIGKILL)
	case Stop:
		node.Signal(syscall.SIGTERM)
	case Pause:
		temporarily(func() { node.Signal(syscall.SIGSTOP) }, func() { node.Signal(syscall.SIGCONT) })
	case KillAll:
		for _, p := range s.processes {
			p.Signal(syscall.SIGKILL)
		}
	case StoreDelayed:
		setLink(store, linkDelayed)
	case StoreReset:
		store.reset()
	case StoreOneWay:
		setLink(store, linkOneWay)
	case StoreSilent:
		setLink(store, linkSilent)
	case StoreUnavailable:
		temporarily(func() { s.platform.SetStoreDown(true) }, func() { s.platform.SetStoreDown(false) })
	case StoreLosesAnswers:
		temporarily(func() { s.platform.SetLoseAnswers(true) }, func() { s.platform.SetLoseAnswers(false) })
	case StoreDropsHistory:
		s.platform.DropHistory()
	case EndpointDelayed:
		setLink(endpoint, linkDelayed)
	case EndpointReset:
		endpoint.reset()
	case EndpointOneWay:
		setLink(endpoint, linkOneWay)
	case EndpointSilent:
		setLink(endpoint, linkSilent)
	case EndpointCrash:
		s.platform.CrashHost(host)
	case EndpointRestart:
		s.restartHost(host, standin.Restart{Pause: fault.Duration})
	case EndpointRestartEarlier:
		s.restartHost(host, standin.Restart{Pause: fault.Duration, ClockStep: -clockSetBack})
	case EndpointRestartElsewhere:
		s.restartHost(host, standin.Restart{Pause: fault.Duration, Elsewhere: true})
	case EndpointRestartUnlisted:
		s.restartHost(host, standin.Restart{Pause: fault.Duration, ListLag: listLag})
	case EndpointRestartSlow:
		s.restartHost(host, standin.Restart{Pause: fault.Duration, SlowClock: true})
	case EndpointHang:
		temporarily(func() { s.platform.SetHung(host, true) }, func() { s.platform.SetHung(host, false) })
	case EndpointHangRestart:
		temporarily(func() { s.platform.SetHung(host, true) }, func() {
			s.restartHost(host, standin.Restart{})
			s.platform.SetHung(host, false)
		})
	case EndpointLateOrders:
		temporarily(func() { s.platform.SetOrderDelay(host, orderDelay) }, func() { s.platform.SetOrderDelay(host, 0) })
	case EndpointLateRenewals:
		temporarily(func() { s.platform.SetRenewalDelay(host, orderDelay) }, func() { s.platform.SetRenewalDelay(host, 0) })
	case EndpointSlowStops:
		temporarily(func() { s.platform.SetStopTime(host, stopTime) }, func() { s.platform.SetStopTime(host, 0) })
	case DeadlyJobs:
		s.mu.Lock()
		s.deadlyUntil = time.Now().Add(fault.Duration)
		s.mu.Unlock()
	case EndpointShrinks:
		temporarily(func() { s.platform.SetCapacity(host, int(fault.Duration.Milliseconds())%maxShrunkCPU) }, func() { s.platform.SetCapacity(host, fullCPU) })
	case HostListLags, HostListGoesBack, HostListUnavailable, EndpointReplaced, EndpointReplacedUnlisted, EndpointLost:
		s.injectListFault(ctx, fault, host)
	case Evacuate, DataCentreReturnsCold, MaintenanceWave:
		s.injectEvacuationFault(ctx, fault)
	case DataCentreRestarts, DataCentreHangsUp, DataCentreCut, EndpointUnlisted:
		s.injectRecutFault(ctx, fault, host)
	case TakeoverBesideCut:
		s.takeOverBesideCut(ctx)
	case EndpointRefuses:
		s.refuseStarts(ctx, fault.Duration, host)
	case AllRefuse:
		s.refuseStarts(ctx, refusalTime, s.hosts()...)
	case EndpointDelayedAnswers:
		temporarily(func() { s.platform.SetAnswerDelay(host, answerDelay) }, func() { s.platform.SetAnswerDelay(host, 0) })
	}
}

// takeOverBesideCut cuts off the endpoint that runs most for the account with a cap, for longer than
// its lease lasts, and stops the leader.
func (s *soak) takeOverBesideCut(ctx context.Context) {
	link := s.endpointProxy(s.platform.BusiestHost() - 1)
	link.setState(linkSilent)
	s.processes[s.targetLeader(Fault{Kind: LeaderKill}).Target].Signal(syscall.SIGTERM)
	loops.Sleep(ctx, takeoverCutTime)
	link.setState(linkHealthy)
}

// refuseStarts lets the endpoints of hosts refuse starts for a time.
func (s *soak) refuseStarts(ctx context.Context, duration time.Duration, hosts ...int) {
	for _, host := range hosts {
		s.platform.SetRefusesStarts(host, true)
	}
	loops.Sleep(ctx, duration)
	for _, host := range hosts {
		s.platform.SetRefusesStarts(host, false)
	}
}

// hosts returns the numbers of all hosts.
func (s *soak) hosts() []int {
	hosts := make([]int, s.config.Endpoints)
	for n := range hosts {
		hosts[n] = n + 1
	}
	return hosts
}

// endpointProxy returns the proxy of the address at which an endpoint was first listed.
func (s *soak) endpointProxy(target int) *proxy {
	s.mu.Lock()
	defer s.mu.Unlock()
	if link := s.replacedProxies[target%s.config.Endpoints]; link != nil {
		return link
	}
	return s.endpointProxies[target%s.config.Endpoints]
}

func (s *soak) restartHost(host int, restart standin.Restart) {
	if err := s.platform.RestartHost(host, restart); err != nil {
		s.addViolation("fault not injected: restart of the endpoint of host %d: %v", host, err)
	}
}

// clearFaults removes all faults.
func (s *soak) clearFaults() {
	s.platform.SetStoreDown(false)
	s.platform.SetLoseAnswers(false)
	s.platform.SetHostListDown(false)
	s.withdrawEvacuations()
	s.mu.Lock()
	links := slices.Concat(s.storeProxies, s.endpointProxies)
	s.mu.Unlock()
	for _, link := range links {
		link.setState(linkHealthy)
	}
	for n := range s.config.Endpoints {
		s.platform.SetHostListLag(n+1, 0, 0)
		s.platform.SetHung(n+1, false)
		s.platform.SetRefusesStarts(n+1, false)
		s.platform.SetUnlisted(n+1, false)
		s.platform.SetOrderDelay(n+1, 0)
		s.platform.SetRenewalDelay(n+1, 0)
		s.platform.SetStopTime(n+1, 0)
		s.platform.SetAnswerDelay(n+1, 0)
		s.platform.SetCapacity(n+1, fullCPU)
	}
	for _, p := range s.processes {
		p.Signal(syscall.SIGCONT)
	}
}
