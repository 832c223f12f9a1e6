package soak

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/lovagedyke/lovagedyke/internal/loops"
	"github.com/lovagedyke/lovagedyke/platform/standin"
)

// injectListFault injects a fault of ListKinds, and removes it after its duration.
func (s *soak) injectListFault(ctx context.Context, fault Fault, host int) {
	switch fault.Kind {
	case HostListLags:
		s.lagHostList(ctx, fault, func(lag time.Duration) (least, most time.Duration) { return lag, lag })
	case HostListGoesBack:
		s.lagHostList(ctx, fault, func(lag time.Duration) (least, most time.Duration) { return 0, lag })
	case HostListUnavailable:
		s.platform.SetHostListDown(true)
		loops.Sleep(ctx, fault.Duration)
		s.platform.SetHostListDown(false)
	case EndpointReplaced:
		s.replaceEndpoint(host, standin.Restart{Pause: fault.Duration, Departure: standin.Exits})
	case EndpointReplacedUnlisted:
		lag := s.rowLag(fault, host)
		s.platform.SetHostListLag(host, lag, lag)
		s.replaceEndpoint(host, standin.Restart{Pause: fault.Duration, Departure: standin.Exits})
		loops.Sleep(ctx, lag)
		s.platform.SetHostListLag(host, 0, 0)
	case EndpointLost:
		s.replaceEndpoint(host, standin.Restart{Pause: fault.Duration, Departure: standin.FallsSilent})
	}
}

// replaceEndpoint ends the endpoint of a host, and begins another one with an ID of its own.
func (s *soak) replaceEndpoint(host int, restart standin.Restart) {
	restart.NewID = true
	s.restartHost(host, restart)
	address := s.platform.EndpointAddress(host)
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, link := range s.endpointProxies {
		if link.address() == address {
			s.replacedProxies[host-1] = link
		}
	}
}

// lagHostList lets each row of the host list lag by a time of its own for the fault's duration.
func (s *soak) lagHostList(ctx context.Context, fault Fault, bounds func(lag time.Duration) (least, most time.Duration)) {
	for n := range s.config.Endpoints {
		least, most := bounds(s.rowLag(fault, n+1))
		s.platform.SetHostListLag(n+1, least, most)
	}
	loops.Sleep(ctx, fault.Duration)
	for n := range s.config.Endpoints {
		s.platform.SetHostListLag(n+1, 0, 0)
	}
}

// rowLag returns how far a host's row lags during a fault.
func (s *soak) rowLag(fault Fault, host int) time.Duration {
	random := rand.New(rand.NewPCG(s.config.Seed, uint64(fault.At)+uint64(host)))
	return time.Duration(random.Int64N(int64(maxRowLag)))
}
