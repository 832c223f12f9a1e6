package process

import (
	"context"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"

	"github.com/lovagedyke/lovagedyke/internal/entry"
	"github.com/lovagedyke/lovagedyke/internal/port"
	"github.com/lovagedyke/lovagedyke/internal/roster"
	"github.com/lovagedyke/lovagedyke/internal/settings"
)

// RunEntry runs an entry until the context ends, and then stops it gracefully.
// The error tells that it could not start, or that the grace did not suffice.
func RunEntry(ctx context.Context, config settings.Config, logger *log.Logger) error {
	p, err := newProcess(config, roster.RoleEntry, logger)
	if err != nil {
		return err
	}
	defer p.close()
	e := entry.New(entry.Config{
		Node: p.node, Hosts: p.platform, Objects: p.platform, Log: logger, ClaimRetention: config.ClaimRetention,
		MaxBody: config.MaxBody,
	})
	p.node.Add(e)
	if err := p.openInner(e.Service(), func() any { return e.Snapshot() }); err != nil {
		return err
	}

	// The loops outlive ctx: they serve the requests in flight during a stop.
	loops, stopLoops := context.WithCancel(context.WithoutCancel(ctx))
	var running conc.WaitGroup
	defer running.Wait()
	defer stopLoops()
	running.Go(func() { p.reloadLoop(loops) })
	if err := p.node.Join(ctx); err != nil {
		return err
	}
	running.Go(func() { <-e.Run(loops) })
	running.Go(func() { <-p.node.Run(loops) })
	if err := e.AwaitReady(ctx); err != nil {
		return err
	}
	callers, err := p.open(port.Config{Name: "caller", Address: config.CallerAddress, Handler: e})
	if err != nil {
		return err
	}
	p.setReady(nil)
	logger.Info("ready", "member", p.node.Self().Identity)

	select {
	case <-ctx.Done():
	case err := <-callers.Done():
		return err
	case <-p.dropped(loops):
		return errors.CombineErrors(errDropped, p.stopEntry(e, callers))
	}
	return p.stopEntry(e, callers)
}

// stopEntry ends an entry without cutting a request.
func (p *process) stopEntry(e *entry.Entry, callers *port.Port) error {
	p.log.Info("stopping", "balancer-delay", p.config.BalancerDelay, "grace", p.config.Grace)
	p.setReady(errDraining)
	callers.Drain()
	pause(context.Background(), p.config.BalancerDelay)
	// Requests that outlive their part of the grace are cut, so that permits
	// and claims can still be handed over.
	requests, cancel := context.WithTimeout(context.Background(), p.config.Grace)
	defer cancel()
	err := callers.Shutdown(requests)
	if drainErr := e.Drain(requests); err == nil {
		err = drainErr
	}
	handOver, cancel := context.WithTimeout(context.Background(), p.config.Grace/leaveShare+time.Second)
	defer cancel()
	e.HandOver(handOver)
	p.leave(handOver)
	e.Flush(handOver)
	return errors.Wrap(err, "requests outlived the grace")
}

// dropped returns a channel that is closed when the roster lacks this process.
func (p *process) dropped(ctx context.Context) <-chan struct{} {
	gone := make(chan struct{})
	go func() {
		for ctx.Err() == nil {
			members, rowVersion := p.node.Roster()
			if rowVersion > 0 && !members.Contains(p.node.Self().Identity) {
				close(gone)
				return
			}
			pause(ctx, time.Second)
		}
	}()
	return gone
}
