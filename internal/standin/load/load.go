// Package load is a bounded load tool: it sends requests through entries and
// checks that each answer is whole and belongs to its own request.
//
// # Usage
//
//	report, err := load.Run(ctx, load.Config{
//		Targets: targets, Service: "orders", Key: key, Rate: 200, Duration: 10 * time.Second,
//	})
package load

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"net/http"
	"net/netip"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"

	"github.com/lovagedyke/lovagedyke/internal/standin/endpoint"
)

const (
	defaultConcurrency = 16
	maxConcurrency     = 4096
	defaultTimeout     = 30 * time.Second
	deadlineHeader     = "Lovagedyke-Deadline"
	outcomeNotRun      = "not-run"
)

// Config says what to send. The run ends after Duration or Requests, whichever
// is first.
type Config struct {
	Targets []netip.AddrPort
	// Probes are the operations addresses of the targets, in their order. With
	// them the tool acts as a balancer: it passes over targets that are not ready.
	ReadinessAddresses []netip.AddrPort
	Service            string
	Key                string
	Method             string
	Rate               float64 // requests a second; unpaced if zero
	Duration           time.Duration
	Requests           int
	Concurrency        int
	BodyBytes          int
	// Marked gives each request an idempotency key of its own.
	IdempotencyKeys bool
	// Copies sends each request to so many targets at the same time.
	Copies    int
	Deadline  time.Duration
	Timeout   time.Duration
	Behaviour string
	RunTime   time.Duration
}

// generator sends the requests of one run.
type generator struct {
	cfg     Config
	client  *http.Client
	samples *collector
	begin   time.Time
	next    atomic.Int64
	balance *balancer
}

// Run sends the load and returns what came back; it ends early with ctx.
func Run(ctx context.Context, cfg Config) (Report, error) {
	cfg, err := complete(cfg)
	if err != nil {
		return Report{}, err
	}
	transport := &http.Transport{MaxIdleConnsPerHost: cfg.Concurrency * cfg.Copies, DisableCompression: true}
	defer transport.CloseIdleConnections()
	g := &generator{
		cfg:     cfg,
		client:  &http.Client{Transport: transport, Timeout: cfg.Timeout},
		samples: newCollector(),
		begin:   time.Now(),
		balance: newBalancer(cfg),
	}
	probing, stopProbing := context.WithCancel(ctx)
	defer stopProbing()
	probed := g.balance.run(probing)
	var group conc.WaitGroup
	for range cfg.Concurrency {
		group.Go(func() { g.send(ctx) })
	}
	group.Wait()
	stopProbing()
	<-probed
	return g.samples.finish(time.Since(g.begin)), nil
}

// complete fills in defaults and rejects what can't be run.
func complete(cfg Config) (Config, error) {
	if len(cfg.Targets) == 0 {
		return cfg, errors.New("targets: at least one is needed")
	}
	for _, target := range cfg.Targets {
		if !target.Addr().IsLoopback() {
			return cfg, errors.Newf("targets: %s is not on loopback", target)
		}
	}
	if len(cfg.ReadinessAddresses) > 0 && len(cfg.ReadinessAddresses) != len(cfg.Targets) {
		return cfg, errors.Newf("probes: %d for %d targets", len(cfg.ReadinessAddresses), len(cfg.Targets))
	}
	if cfg.Duration <= 0 && cfg.Requests <= 0 {
		return cfg, errors.New("duration or requests must be set")
	}
	if cfg.Concurrency <= 0 {
		cfg.Concurrency = defaultConcurrency
	}
	if cfg.Timeout <= 0 {
		cfg.Timeout = defaultTimeout
	}
	if cfg.Method == "" {
		cfg.Method = http.MethodPost
	}
	cfg.Concurrency = min(cfg.Concurrency, maxConcurrency)
	cfg.Copies = max(1, cfg.Copies)
	return cfg, nil
}

// send sends requests until the run is over.
func (g *generator) send(ctx context.Context) {
	for {
		index := g.next.Add(1) - 1
		if !g.await(ctx, index) {
			return
		}
		g.sendCopies(ctx, index)
	}
}

// await waits until the request of that index is due; false ends the run.
func (g *generator) await(ctx context.Context, index int64) bool {
	if g.cfg.Requests > 0 && index >= int64(g.cfg.Requests) {
		return false
	}
	due := time.Now()
	if g.cfg.Rate > 0 {
		due = g.begin.Add(time.Duration(float64(index) / g.cfg.Rate * float64(time.Second)))
	}
	if g.cfg.Duration > 0 && !due.Before(g.begin.Add(g.cfg.Duration)) {
		return false
	}
	timer := time.NewTimer(time.Until(due))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
	}
	return g.cfg.Duration <= 0 || time.Since(g.begin) < g.cfg.Duration
}

// sendCopies sends one request to as many targets as it has copies.
func (g *generator) sendCopies(ctx context.Context, index int64) {
	key := ""
	if g.cfg.IdempotencyKeys {
		key = newID()
	}
	// All copies are the same request, as a caller's repeat is.
	q := request{nonce: newID(), body: newBody(index, g.cfg.BodyBytes), behaviour: g.cfg.Behaviour}
	var refused atomic.Int64
	var group conc.WaitGroup
	for i := range g.cfg.Copies {
		target := g.balance.target(int(index) + i)
		group.Go(func() {
			s := g.exchange(ctx, target, key, q)
			if s.problem.Outcome == outcomeNotRun {
				refused.Add(1)
			}
			g.samples.add(s)
		})
	}
	group.Wait()
	if g.cfg.IdempotencyKeys && int(refused.Load()) == g.cfg.Copies {
		g.samples.refuse(key)
	}
}

// exchange sends one request and judges its answer.
func (g *generator) exchange(ctx context.Context, target netip.AddrPort, key string, q request) sample {
	// A run that ends lets its last requests finish.
	httpRequest, err := g.request(context.WithoutCancel(ctx), target, key, q)
	if err != nil {
		return sample{verdict: verdictFailure, err: err}
	}
	sent := time.Now()
	response, err := g.client.Do(httpRequest)
	if err != nil {
		return sample{sent: sent, verdict: verdictFailure, err: err}
	}
	defer func() { _ = response.Body.Close() }()
	verdict, own := q.check(response)
	return sample{
		sent:    sent,
		took:    time.Since(sent),
		verdict: verdict,
		problem: own,
		status:  response.StatusCode,
	}
}

// request builds the HTTP request.
func (g *generator) request(ctx context.Context, target netip.AddrPort, key string, q request) (*http.Request, error) {
	url := fmt.Sprintf("http://%s/%s/load", target, g.cfg.Service)
	built, err := http.NewRequestWithContext(ctx, g.cfg.Method, url, bytes.NewReader(q.body))
	if err != nil {
		return nil, err
	}
	header := built.Header
	header.Set(endpoint.NonceHeader, q.nonce)
	if g.cfg.Key != "" {
		header.Set("Authorization", "Bearer "+g.cfg.Key)
	}
	if key != "" {
		header.Set(endpoint.KeyHeader, key)
	}
	if q.behaviour != "" {
		header.Set(endpoint.BehaviourHeader, q.behaviour)
	}
	if g.cfg.RunTime > 0 {
		header.Set(endpoint.RunTimeHeader, g.cfg.RunTime.String())
	}
	if g.cfg.Deadline > 0 {
		header.Set(deadlineHeader, g.cfg.Deadline.String())
	}
	return built, nil
}

// newBody returns size bytes that differ from index to index.
func newBody(index int64, size int) []byte {
	unit := fmt.Sprintf("%d ", index)
	return []byte(strings.Repeat(unit, size/len(unit)+1))[:size]
}

// newID returns a random identifier of 128 bits.
func newID() string {
	var id [16]byte
	_, _ = rand.Read(id[:])
	return hex.EncodeToString(id[:])
}
