package process

import (
	"context"
	"net/http"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"

	"github.com/lovagedyke/lovagedyke/internal/httpserver"
	"github.com/lovagedyke/lovagedyke/internal/manager"
	"github.com/lovagedyke/lovagedyke/internal/roster"
	"github.com/lovagedyke/lovagedyke/internal/settings"
)

// RunManager runs a manager until the context ends, and then stops it gracefully.
func RunManager(ctx context.Context, config settings.Config, logger *log.Logger) error {
	p, err := newProcess(config, roster.RoleManager, logger)
	if err != nil {
		return err
	}
	defer p.close()
	operatorKey, err := settings.ReadSecret(config.OperatorKeyFile)
	if err != nil {
		return errors.Wrap(err, "read the operator key")
	}
	m := manager.New(manager.Config{
		Node: p.node, Platform: p.platform, ListLag: config.ListLag, RebootLimit: config.RebootLimit, RollOutTime: config.Weights.RelativeRollOutTime(),
		ClaimRetention: config.ClaimRetention, Log: logger,
	})
	p.node.Add(m)
	if err := p.startInternalServers(m.Service(), func() any { return m.Snapshot() }); err != nil {
		return err
	}

	loopCtx, stopLoops := context.WithCancel(context.WithoutCancel(ctx))
	var running conc.WaitGroup
	defer running.Wait()
	defer stopLoops()
	running.Go(func() { p.reloadLoop(loopCtx) })
	if err := p.node.Join(ctx); err != nil {
		return err
	}
	running.Go(func() { <-p.node.Run(loopCtx) })
	running.Go(func() { <-m.Run(loopCtx) })
	operatorServer, err := p.startOperatorServer(m.Handler(operatorKey))
	if err != nil {
		return err
	}
	p.setReady(nil)
	logger.Info("ready", "member", p.node.Self().Identity)

	select {
	case <-ctx.Done():
	case err := <-operatorServer.Done():
		return err
	case <-p.watchDropped(loopCtx):
		return errors.CombineErrors(errDropped, p.stopManager(m, operatorServer))
	}
	return p.stopManager(m, operatorServer)
}

// startOperatorServer starts the operators' server, with TLS if certificates are
// configured.
func (p *process) startOperatorServer(handler http.Handler) (*httpserver.Server, error) {
	config := httpserver.Config{Name: "operator", Address: p.config.OperatorAddress, Handler: handler, ReadTimeout: internalReadTimeout}
	if p.operatorCerts != nil {
		config.TLS = p.operatorCerts.Server()
	}
	return p.startServer(config)
}

// stopManager stops a manager gracefully.
func (p *process) stopManager(m *manager.Manager, operatorServer *httpserver.Server) error {
	p.log.Info("stopping", "grace", p.config.Grace)
	p.setReady(errDraining)
	operatorServer.Drain()
	requestCtx, cancel := context.WithTimeout(context.Background(), p.config.Grace)
	defer cancel()
	err := operatorServer.Shutdown(requestCtx)
	m.Finish()
	handOverCtx, cancel := context.WithTimeout(context.Background(), p.config.Grace/handOverDivisor+time.Second)
	defer cancel()
	p.node.HandOver(handOverCtx)
	p.leave(handOverCtx)
	return errors.Wrap(err, "requests outlived the grace period")
}
