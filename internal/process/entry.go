package process

import (
	"context"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"

	"github.com/lovagedyke/lovagedyke/internal/budget"
	"github.com/lovagedyke/lovagedyke/internal/entry"
	"github.com/lovagedyke/lovagedyke/internal/httpserver"
	"github.com/lovagedyke/lovagedyke/internal/intake"
	"github.com/lovagedyke/lovagedyke/internal/loops"
	"github.com/lovagedyke/lovagedyke/internal/roster"
	"github.com/lovagedyke/lovagedyke/internal/settings"
)

// entryBodyFactor is how many times its bytes a body takes: an entry passes bodies on as they are.
const entryBodyFactor = 2

// RunEntry runs an entry until the context ends, and then stops it gracefully. It
// returns an error if the entry could not start or did not stop within the grace
// period.
func RunEntry(ctx context.Context, config settings.Config, logger *log.Logger) error {
	p, err := newProcess(config, roster.RoleEntry, logger)
	if err != nil {
		return err
	}
	defer p.close()
	requests := budget.New(budget.Config{Bytes: config.ClientMemory})
	measureBudget("caller", requests)
	e := entry.New(entry.Config{
		Node: p.node, Hosts: p.platform, Objects: p.platform, Log: logger, ClaimRetention: config.ClaimRetention,
		MaxBody: config.MaxBody, Bodies: intake.NewBodies(intake.BodiesConfig{Budget: requests, Factor: entryBodyFactor}),
	})
	p.node.Add(e)
	if err := p.startInternalServers(e.Service(), func() any { return e.Snapshot() }); err != nil {
		return err
	}

	// The loops outlive ctx, to serve requests in flight during the shutdown.
	loopCtx, stopLoops := context.WithCancel(context.WithoutCancel(ctx))
	var running conc.WaitGroup
	defer running.Wait()
	defer stopLoops()
	running.Go(func() { p.reloadLoop(loopCtx) })
	if err := p.node.Join(ctx); err != nil {
		return err
	}
	running.Go(func() { <-e.Run(loopCtx) })
	running.Go(func() { <-p.node.Run(loopCtx) })
	if err := e.AwaitReady(ctx); err != nil {
		return err
	}
	callerServer, err := p.startServer(httpserver.Config{Name: "caller", Address: config.CallerAddress, Handler: e})
	if err != nil {
		return err
	}
	p.setReady(nil)
	logger.Info("ready", "member", p.node.Self().Identity)

	select {
	case <-ctx.Done():
	case err := <-callerServer.Done():
		return err
	case <-p.watchDropped(loopCtx):
		return errors.CombineErrors(errDropped, p.stopEntry(e, callerServer))
	}
	return p.stopEntry(e, callerServer)
}

// stopEntry stops an entry gracefully.
func (p *process) stopEntry(e *entry.Entry, callerServer *httpserver.Server) error {
	p.log.Info("stopping", "balancer-delay", p.config.BalancerDelay, "grace", p.config.Grace)
	p.setReady(errDraining)
	callerServer.Drain()
	loops.Sleep(context.Background(), p.config.BalancerDelay)
	// Requests that outlive the grace period are aborted, so that permits and
	// claims can still be handed over.
	requestCtx, cancel := context.WithTimeout(context.Background(), p.config.Grace)
	defer cancel()
	err := callerServer.Shutdown(requestCtx)
	if drainErr := e.Drain(requestCtx); err == nil {
		err = drainErr
	}
	handOverCtx, cancel := context.WithTimeout(context.Background(), p.config.Grace/handOverDivisor+time.Second)
	defer cancel()
	e.HandOver(handOverCtx)
	p.leave(handOverCtx)
	e.Flush(handOverCtx)
	return errors.Wrap(err, "requests outlived the grace period")
}

// watchDropped returns a channel that is closed when the roster no longer
// contains this process.
func (p *process) watchDropped(ctx context.Context) <-chan struct{} {
	dropped := make(chan struct{})
	go func() {
		for ctx.Err() == nil {
			members, rowVersion := p.node.Roster()
			if rowVersion > 0 && !members.Contains(p.node.Self().Identity) {
				close(dropped)
				return
			}
			loops.Sleep(ctx, time.Second)
		}
	}()
	return dropped
}
