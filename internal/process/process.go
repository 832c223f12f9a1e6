// Package process assembles the long-running programs (entries, managers and the
// nodes that lead a fleet) from their settings, and starts and stops them.
//
// # Usage
//
//	err := process.RunEntry(ctx, config, logger) // ends after ctx, gracefully
//	err := process.RunManager(ctx, config, logger)
//	err := process.RunNode(ctx, nodeConfig)
//
// Startup of an entry or a manager: it starts the operations and peer servers,
// joins the roster, and then starts its own server and is ready. Shutdown: it
// reports not ready, waits for the load balancer (entries only), finishes the
// requests in flight, hands over permits and claims, waits until the roster has
// dropped it, and exits. A node has no roster: at shutdown it reports not ready,
// releases the leadership, waits for the load balancer and shuts its servers down.
package process

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"

	"github.com/lovagedyke/lovagedyke/internal/budget"
	"github.com/lovagedyke/lovagedyke/internal/certs"
	"github.com/lovagedyke/lovagedyke/internal/httpserver"
	"github.com/lovagedyke/lovagedyke/internal/intake"
	"github.com/lovagedyke/lovagedyke/internal/node"
	"github.com/lovagedyke/lovagedyke/internal/operations"
	"github.com/lovagedyke/lovagedyke/internal/peer"
	"github.com/lovagedyke/lovagedyke/internal/peer/peerpb"
	"github.com/lovagedyke/lovagedyke/internal/platform"
	"github.com/lovagedyke/lovagedyke/internal/roster"
	"github.com/lovagedyke/lovagedyke/internal/settings"
)

const (
	// peerTimeout bounds one call to a peer.
	peerTimeout = 3 * time.Second
	// internalReadTimeout bounds the arrival of a request of a peer or an operator.
	internalReadTimeout = 10 * time.Second
	// certificateInterval is the time between two checks of the certificate files.
	certificateInterval = 5 * time.Second
	// leavePollInterval is the time between two checks whether the roster has
	// dropped a stopping process.
	leavePollInterval = 50 * time.Millisecond
	// handOverDivisor determines the time for handing over: the grace period
	// divided by it, plus a second.
	handOverDivisor = 4
)

// Reasons for not being ready.
var (
	errStarting = errors.New("starting")
	errDraining = errors.New("draining")
)

// errDropped ends a process that the roster no longer contains.
var errDropped = errors.New("the roster has dropped this process: its host is listed as gone")

// process holds what entries and managers have in common.
type process struct {
	config   settings.Config
	log      *log.Logger
	platform *platform.Client
	dialer   *peer.Dialer
	// peerCerts and operatorCerts are nil for servers without TLS.
	peerCerts     *certs.Files
	operatorCerts *certs.Files
	node          *node.Node
	secret        string
	notReady      atomic.Pointer[error]
	servers       []*httpserver.Server
}

// newProcess creates the parts that entries and managers have in common.
func newProcess(config settings.Config, role roster.Role, logger *log.Logger) (*process, error) {
	p := &process{config: config, log: logger}
	p.setReady(errStarting)
	var err error
	if config.PeerSecretFile != "" {
		secret, err := settings.ReadSecret(config.PeerSecretFile)
		if err != nil {
			return nil, errors.Wrap(err, "read the peer secret")
		}
		p.secret = string(secret)
	}
	dialerConfig := peer.Config{Secret: p.secret, Timeout: peerTimeout}
	if p.peerCerts, err = loadCerts(config.PeerTLS); err != nil {
		return nil, errors.Wrap(err, "load the peer port's certificates")
	}
	if p.operatorCerts, err = loadCerts(config.OperatorTLS); err != nil {
		return nil, errors.Wrap(err, "load the operator port's certificates")
	}
	if p.peerCerts != nil {
		dialerConfig.TLS = p.peerCerts.Client()
	}
	p.dialer = peer.New(dialerConfig)
	p.platform = platform.New(platform.Config{Address: config.PlatformAddress, Process: config.Name})
	p.node = node.New(node.Config{
		Self: roster.Member{
			Identity: roster.Identity{Name: config.Name, Incarnation: config.Incarnation},
			Host:     config.Host, Role: role, Address: config.PeerAddress,
			DataCentre: config.DataCentre, State: roster.StateActive,
		},
		Store: p.platform, Dialer: p.dialer, Log: logger,
		FreshBound: config.FreshBound, GossipInterval: config.GossipInterval, PollInterval: config.PollInterval,
	})
	return p, nil
}

// setReady sets the reason for not being ready, nil for ready.
func (p *process) setReady(reason error) { p.notReady.Store(&reason) }

// ready returns nil, or the reason for not being ready.
func (p *process) ready() error { return *p.notReady.Load() }

// startServer starts a server, which close closes.
func (p *process) startServer(config httpserver.Config) (*httpserver.Server, error) {
	config.MaxHeader = int(p.config.MaxHeader)
	config.MaxConnections = p.config.MaxConnections
	config.ReadHeaderTimeout = p.config.ReadHeaderTimeout
	server, err := httpserver.Start(config)
	if err != nil {
		return nil, err
	}
	p.servers = append(p.servers, server)
	p.log.Info("port open", "port", config.Name, "address", server.Address())
	return server, nil
}

// startInternalServers starts the operations and peer servers.
func (p *process) startInternalServers(service peerpb.Peer, dump func() any) error {
	_, err := p.startServer(httpserver.Config{
		Name: "operations", Address: p.config.OperationsAddress,
		Handler:     intake.NoBodies(operations.New(operations.Config{Ready: p.ready, Dump: dump})),
		ReadTimeout: internalReadTimeout,
	})
	if err != nil {
		return err
	}
	messages := intake.NewBodies(intake.BodiesConfig{Budget: budget.New(budget.Config{Bytes: p.config.ClientMemory})})
	bound := func(next http.Handler) http.Handler {
		return intake.Messages(next, intake.MessagesConfig{Bodies: messages, MaxBytes: peer.MaxMessageBytes, Timeout: peerTimeout})
	}
	peerConfig := httpserver.Config{
		Name: "peer", Address: p.config.PeerAddress, Handler: peer.Handler(p.secret, service, bound), ReadTimeout: internalReadTimeout,
	}
	if p.peerCerts != nil {
		peerConfig.TLS = p.peerCerts.Server()
	}
	_, err = p.startServer(peerConfig)
	return err
}

// reloadLoop reloads replaced certificates until the context ends.
func (p *process) reloadLoop(ctx context.Context) {
	ticker := time.NewTicker(certificateInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		p.reload("peer", p.peerCerts)
		p.reload("operator", p.operatorCerts)
	}
}

// reload reloads one server's certificates if their files have changed.
func (p *process) reload(name string, files *certs.Files) {
	if files == nil {
		return
	}
	changed, err := files.Reload()
	if err != nil {
		p.log.Error("certificates not reloaded", "port", name, "reason", err.Error())
	} else if changed {
		p.log.Info("certificates reloaded", "port", name)
	}
}

// loadCerts returns nil for a server without TLS.
func loadCerts(files settings.TLSFiles) (*certs.Files, error) {
	if !files.Enabled() {
		return nil, nil
	}
	return certs.New(certs.Config{Certificate: files.Certificate, Key: files.Key, Authority: files.Authority})
}

// leave marks the process as leaving and waits until the roster has dropped it,
// which happens once other processes own its keys.
func (p *process) leave(ctx context.Context) {
	if err := p.node.Leave(ctx); err != nil {
		p.log.Warn("process not marked as leaving in the roster", "reason", err.Error())
		return
	}
	for ctx.Err() == nil {
		members, _ := p.node.Roster()
		if !members.Contains(p.node.Self().Identity) {
			p.log.Info("left the roster")
			return
		}
		p.node.PollNow()
		select {
		case <-ctx.Done():
		case <-time.After(leavePollInterval):
		}
	}
	p.log.Warn("process still in the roster at the end of the grace period")
}

// close closes all servers and connections.
func (p *process) close() {
	for _, server := range p.servers {
		_ = server.Close()
		<-server.Done()
	}
	p.dialer.Close()
	p.platform.Close()
}
