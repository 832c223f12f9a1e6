package process

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/julienschmidt/httprouter"

	"github.com/lovagedyke/lovagedyke/internal/control"
	"github.com/lovagedyke/lovagedyke/internal/ingress"
	"github.com/lovagedyke/lovagedyke/internal/journal"
	"github.com/lovagedyke/lovagedyke/internal/loops"
	"github.com/lovagedyke/lovagedyke/internal/member"
	"github.com/lovagedyke/lovagedyke/internal/member/memberpb"
	"github.com/lovagedyke/lovagedyke/internal/operations"
	"github.com/lovagedyke/lovagedyke/internal/policy"
	"github.com/lovagedyke/lovagedyke/internal/table"
	"github.com/lovagedyke/lovagedyke/platform"
)

const (
	// storeTimeout bounds a call to the store; a slow store takes a second or more.
	storeTimeout = 1800 * time.Millisecond
	// gcPercent lets the heap grow to four times what is in use before it is
	// collected, within the memory limit: a leader's processor is scarcer.
	gcPercent = 300
	// endpointTimeout bounds an order to an endpoint.
	endpointTimeout = 400 * time.Millisecond
	// hostTimeout bounds a call to the host interface.
	hostTimeout = 2 * time.Second
	// connectTimeout bounds the opening of a connection to the platform's servers.
	connectTimeout = 400 * time.Millisecond
	// silenceTimeout ends connections whose other side does not acknowledge.
	silenceTimeout = 900 * time.Millisecond
	// balancerNotice is how long the balancer takes to see that a process is not
	// ready: two looks, a second apart.
	balancerNotice = 2200 * time.Millisecond
	// stopReserve is left of the grace for the last answers and the last lines.
	stopReserve = time.Second
	// headerRead bounds the reading of a request's header, and idleCaller how
	// long a caller's connection may stay unused.
	headerRead = 5 * time.Second
	idleCaller = 30 * time.Second
	// headerBytes bounds a request's header; the configuration may ask for less.
	headerBytes = 16 << 10
	// memoryShare is the part of the memory limit that the heap may take before
	// it is collected harder.
	memoryShare = 0.6
)

// NodeConfig is what RunNode needs besides the platform's settings.
type NodeConfig struct {
	Settings platform.Settings
	// SettingsPath is the file that the settings come from.
	SettingsPath string
	// Metrics is where metrics and the state's dump are served; invalid for nowhere.
	Metrics netip.AddrPort
	Journal *journal.Journal
}

// frontNode is a process between callers and endpoints, on the platform.
type frontNode struct {
	config   NodeConfig
	settings platform.Settings
	journal  *journal.Journal
	store    *platform.Store
	operator platform.OperatorRows
	holder   *policy.Holder
	member   *member.Node
	control  *control.Control
	ingress  *ingress.Ingress
	stopping atomic.Bool
	// news wakes the push of a fresh configuration.
	news chan uint64
	// hints holds versions that peers have.
	hints chan hint
}

// RunNode runs a front node until ctx ends, and then stops it in order.
func RunNode(ctx context.Context, config NodeConfig) error {
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(float64(config.Settings.MemoryMiB) * memoryShare * (1 << 20)))
	n := newFrontNode(config)
	n.journal.Info("start", "data-centre", n.settings.DataCentre, "callers", n.settings.Callers.String(),
		"peers", n.settings.Peers.String(), "first-start", n.settings.FirstStart)
	if n.settings.OrdersWithReports {
		n.journal.Info("orders are sent by calls", "setting", "heartbeat", "why", "the platform's pages show no form for orders in answers to reports")
	}
	return n.run(ctx)
}

// newFrontNode connects the parts.
func newFrontNode(config NodeConfig) *frontNode {
	settings := config.Settings
	client := platform.NewClient(platform.ClientConfig{Silence: silenceTimeout, Dial: connectTimeout})
	n := &frontNode{
		config: config, settings: settings, journal: config.Journal, news: make(chan uint64, 1),
		hints: make(chan hint, pendingHints),
	}
	n.store = platform.NewStore(platform.StoreConfig{Client: client, Address: settings.Store, Timeout: storeTimeout})
	unreadable := func(key string, err error) {
		n.journal.Info("row not readable", "key", key, "error", err.Error())
	}
	n.operator = platform.OperatorRows{Store: n.store, Unreadable: unreadable}
	n.holder = policy.NewHolder(policy.HolderConfig{Decode: platform.DecodePolicy, OnChange: n.policyChanged, Journal: n.journal})
	n.member = member.New(member.Config{
		Name: settings.Name, Address: settings.Peers, Processor: settings.Processor, Seeds: settings.Seeds, Store: n.store, Journal: n.journal,
		Won:              func(ctx context.Context, won memberClaim, version uint64) { n.control.Lead(ctx, won, version) },
		PolicyVersion:    n.holder.Version,
		MaxHostResources: func() policy.Resources { return n.control.MaxHostResources() },
	})
	var advice control.Advice
	if settings.Advice.IsValid() {
		advice = platform.NewAdviceService(platform.AdviceConfig{Client: client, Address: settings.Advice})
	}
	n.control = control.New(control.Config{
		Store: n.member.Store(), Feed: n.store,
		Endpoints:    platform.NewEndpoints(platform.EndpointsConfig{Client: client, Timeout: endpointTimeout}),
		EndpointList: platform.EndpointList{Store: n.store, Unreadable: unreadable},
		Hosts: platform.NewHosts(platform.HostsConfig{
			Client: client, Address: settings.Hosts, Holder: settings.Name, Timeout: hostTimeout,
		}),
		Advice: advice, WaveStatus: platform.WaveStatus{}, Bounds: settings.Bounds.FleetBounds(), Journal: n.journal,
		Lost: n.member.Lost, MajorityConfirmedAt: n.member.MajorityConfirmedAt, ObserveStore: n.storeAnswered,
	})
	n.ingress = ingress.New(ingress.Config{
		Policy: n.holder, Store: n.member.Store(), Fleet: member.NewFleetClient(n.member, n.control),
		Codec: platform.Form{}, Journal: n.journal, RowBytes: settings.CellBytes,
	})
	return n
}

// storeAnswered counts a feed's answer as a sign of the store; lost history is one, too.
func (n *frontNode) storeAnswered(err error) {
	if errors.Is(err, table.ErrHistoryLost) {
		err = nil
	}
	n.member.ObserveStore(err)
}

// run opens the ports and works until ctx ends.
func (n *frontNode) run(ctx context.Context) error {
	// The loops go on while the process stops in order.
	work, end := context.WithCancel(context.WithoutCancel(ctx))
	defer end()
	listeners, err := n.listen(work)
	if err != nil {
		return err
	}
	group := loops.New(work)
	group.Go(n.member.Run)
	group.Go(n.control.Run)
	group.Go(n.ingress.Run)
	group.Go(n.operatorFeed)
	group.Go(n.peerFeed)
	group.Go(n.pushLoop)
	group.Go(n.hintLoop)
	for _, l := range listeners {
		group.Go(l.serve)
	}
	group.Go(n.reloadLoop)
	select {
	case <-ctx.Done():
		n.stop(listeners)
	case <-group.Done():
		// A loop has found a broken invariant; Wait panics with it.
		for _, l := range listeners {
			_ = l.server.Close()
		}
	}
	end()
	group.Wait()
	n.journal.Info("stopped")
	return nil
}

// stop leaves in order: no new connections, no leadership, the answers, the end.
func (n *frontNode) stop(listeners []*listener) {
	deadline := time.Now().Add(n.settings.Bounds.Grace - stopReserve)
	n.journal.Info("stopping", "grace", n.settings.Bounds.Grace.String())
	n.stopping.Store(true)
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	n.member.Stop(ctx)
	timer := time.NewTimer(balancerNotice)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
	for _, l := range listeners {
		l.stop(ctx)
	}
}

// ready returns whether the balancer should send new connections.
func (n *frontNode) ready() error {
	if n.stopping.Load() {
		return errDraining
	}
	if n.holder.Current() == nil {
		return errStarting
	}
	return nil
}

// listener is one open port.
type listener struct {
	name    string
	socket  net.Listener
	server  *http.Server
	journal *journal.Journal
}

// listen opens all ports, so that a port that is taken stops the process.
func (n *frontNode) listen(ctx context.Context) ([]*listener, error) {
	readiness := httprouter.New()
	readiness.GET(platform.ReadyPath, func(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
		if err := n.ready(); err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
		}
	})
	service := member.NewService(member.ServiceConfig{Node: n.member, Fleet: n.control, Policy: n.holder, OnPolicyHint: n.takeHint})
	ports := []struct {
		name    string
		address netip.AddrPort
		handler http.Handler
	}{
		{"callers", n.settings.Callers, n.ingress},
		{"ready", n.settings.Ready, readiness},
		{"peers", n.settings.Peers, memberpb.NewMemberServer(service)},
		{"metrics", n.config.Metrics, operations.New(operations.Config{Ready: n.ready, Dump: n.dump})},
	}
	var listeners []*listener
	for _, port := range ports {
		if !port.address.IsValid() {
			continue
		}
		socket, err := (&net.ListenConfig{KeepAlive: -1}).Listen(ctx, "tcp", port.address.String())
		if err != nil {
			return nil, errors.Wrapf(err, "open the port for %s", port.name)
		}
		listeners = append(listeners, &listener{name: port.name, socket: socket, journal: n.journal, server: &http.Server{
			Handler: port.handler, ReadHeaderTimeout: headerRead, IdleTimeout: idleCaller, MaxHeaderBytes: headerBytes,
		}})
	}
	return listeners, nil
}

// serve answers until the server is stopped.
func (l *listener) serve(context.Context) {
	if err := l.server.Serve(l.socket); !errors.Is(err, http.ErrServerClosed) {
		l.journal.Info("port closed", "port", l.name, "error", err.Error())
	}
}

// stop ends the port once its requests are answered, or when ctx ends.
func (l *listener) stop(ctx context.Context) {
	if err := l.server.Shutdown(ctx); err != nil {
		l.journal.Info("port not drained", "port", l.name, "error", err.Error())
	}
	_ = l.server.Close()
}
