package load

import (
	"context"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"
)

const (
	// probeInterval is the time between two readiness probes of a target.
	probeInterval = 100 * time.Millisecond
	// probeTimeout is the time limit of one readiness probe.
	probeTimeout = time.Second
)

// balancer chooses targets round-robin and skips those that are not ready, as the
// platform's load balancer does.
type balancer struct {
	targets            []netip.AddrPort
	readinessAddresses []netip.AddrPort
	notReady           []atomic.Bool
	client             *http.Client
}

// newBalancer returns a balancer that considers all targets ready at first.
func newBalancer(cfg Config) *balancer {
	return &balancer{
		targets:            cfg.Targets,
		readinessAddresses: cfg.ReadinessAddresses,
		notReady:           make([]atomic.Bool, len(cfg.Targets)),
		client:             &http.Client{Timeout: probeTimeout, Transport: &http.Transport{}},
	}
}

// target returns the first ready target from the index on, or the one at the index
// if no target is ready.
func (b *balancer) target(index int) netip.AddrPort {
	for i := range b.targets {
		at := (index + i) % len(b.targets)
		if !b.notReady[at].Load() {
			return b.targets[at]
		}
	}
	return b.targets[index%len(b.targets)]
}

// probe probes the targets until the context ends, and then closes the channel.
func (b *balancer) probe(ctx context.Context) <-chan struct{} {
	done := make(chan struct{})
	go func() {
		defer close(done)
		defer b.client.CloseIdleConnections()
		if len(b.readinessAddresses) == 0 {
			return
		}
		for {
			for i, address := range b.readinessAddresses {
				b.notReady[i].Store(!b.ready(ctx, address))
			}
			select {
			case <-ctx.Done():
				return
			case <-time.After(probeInterval):
			}
		}
	}()
	return done
}

// ready requests /readyz at a target's operations address.
func (b *balancer) ready(ctx context.Context, address netip.AddrPort) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address.String()+"/readyz", nil)
	if err != nil {
		return false
	}
	answer, err := b.client.Do(request)
	if err != nil {
		return false
	}
	_ = answer.Body.Close()
	return answer.StatusCode == http.StatusOK
}
