package process

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lovagedyke/lovagedyke/internal/control"
	"github.com/lovagedyke/lovagedyke/internal/courier"
	"github.com/lovagedyke/lovagedyke/internal/evacuation"
	"github.com/lovagedyke/lovagedyke/internal/fleet"
	"github.com/lovagedyke/lovagedyke/internal/ingress"
	"github.com/lovagedyke/lovagedyke/internal/intake"
	"github.com/lovagedyke/lovagedyke/internal/journal"
	"github.com/lovagedyke/lovagedyke/internal/loops"
	"github.com/lovagedyke/lovagedyke/internal/member"
	"github.com/lovagedyke/lovagedyke/internal/policy"
	"github.com/lovagedyke/lovagedyke/internal/record"
	"github.com/lovagedyke/lovagedyke/internal/table"
	"github.com/lovagedyke/lovagedyke/platform"
)

const (
	// storeTimeout bounds a call to the store; a slow store takes a second or longer.
	storeTimeout = 1800 * time.Millisecond
	// gcPercent lets the heap grow to four times the live data before garbage
	// collection, within the memory limit: a leader is short of CPU rather than
	// of memory.
	gcPercent = 300
	// endpointTimeout bounds an order to an endpoint.
	endpointTimeout = 400 * time.Millisecond
	// hostTimeout bounds a call to the host interface.
	hostTimeout = 2 * time.Second
	// connectTimeout bounds the opening of a connection to the platform's servers.
	connectTimeout = 400 * time.Millisecond
	// ackTimeout closes connections whose peer does not acknowledge data.
	ackTimeout = 900 * time.Millisecond
	// balancerDelay is how long the load balancer takes to detect that a process
	// is not ready: two health checks, one second apart.
	balancerDelay = 2200 * time.Millisecond
	// shutdownReserve is the part of the grace period reserved for the last
	// responses and log lines.
	shutdownReserve = time.Second
	// headerReadTimeout bounds reading a request's header, and idleConnTimeout how
	// long a connection may stay idle.
	headerReadTimeout = 5 * time.Second
	idleConnTimeout   = 30 * time.Second
	// maxHeaderBytes bounds a request's header; the configuration may set a lower
	// limit.
	maxHeaderBytes = 16 << 10
	// heapLimitShare is the part of the process's memory limit that is set as the
	// Go runtime's soft limit, above which garbage is collected more often.
	heapLimitShare = 0.6
)

// NodeConfig is what RunNode needs besides the platform's settings.
type NodeConfig struct {
	Settings platform.Settings
	// SettingsPath is the path of the settings file.
	SettingsPath string
	// AdmitAll is set to refuse no job for load.
	AdmitAll bool
	// Metrics is the address that serves metrics and the state dump; an invalid
	// address disables them.
	Metrics netip.AddrPort
	// DeadlineOrder starts work by its deadlines also while a pool is short of capacity.
	DeadlineOrder bool
	Journal       *journal.Journal
	// Dial opens connections to the platform and to other processes; nil means over TCP.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// nodeProcess is a process that accepts callers' jobs and can lead the fleet.
type nodeProcess struct {
	config   NodeConfig
	settings platform.Settings
	journal  *journal.Journal
	store    *platform.Store
	operator platform.OperatorRows
	holder   *policy.Holder
	// evacuations holds the evacuated data centres.
	evacuations *evacuation.Holder
	// lag is how far this process is behind the newest configuration.
	lag policy.Lag
	// download is the configuration that peers are sending, and downloading is held
	// by the goroutine that adds to it.
	download    policy.Download
	downloading sync.Mutex
	member      *member.Node
	control     *control.Control
	ingress     *ingress.Ingress
	doors       *doors
	// carrier carries the leader's orders, and couriers sends this process's orders
	// by others while it leads.
	carrier  *courier.Server
	couriers *courier.Client
	stopping atomic.Bool
	// policyUpdates holds the newest configuration version to announce to peers.
	policyUpdates chan uint64
	// hints holds versions that peers have announced.
	hints chan hint
}

// RunNode runs a node until ctx ends, and then stops it gracefully.
func RunNode(ctx context.Context, config NodeConfig) error {
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(float64(config.Settings.MemoryMiB) * heapLimitShare * (1 << 20)))
	n := newNodeProcess(config)
	n.journal.Info("start", "data-centre", n.settings.DataCentre, "callers", n.settings.Callers.String(),
		"peers", n.settings.Peers.String(), "first-start", n.settings.Bootstrap, "admission", !config.AdmitAll)
	if n.settings.OrdersByHeartbeat {
		n.journal.Info("orders are sent by calls", "setting", "heartbeat", "why", "the platform's API defines no format for orders in heartbeat replies")
	}
	return n.run(ctx)
}

// newNodeProcess creates the node's parts and connects them.
func newNodeProcess(config NodeConfig) *nodeProcess {
	settings := config.Settings
	client := platform.NewClient(platform.ClientConfig{AckTimeout: ackTimeout, DialTimeout: connectTimeout, Dial: config.Dial})
	n := &nodeProcess{
		config: config, settings: settings, journal: config.Journal, policyUpdates: make(chan uint64, 1),
		hints: make(chan hint, hintQueueSize), doors: newDoors(settings),
	}
	n.store = platform.NewStore(platform.StoreConfig{Client: client, Address: settings.Store, Timeout: storeTimeout})
	logDecodeError := func(key string, err error) {
		n.journal.Info("row cannot be decoded", "key", key, "error", err.Error())
	}
	n.operator = platform.OperatorRows{Store: n.store, OnDecodeError: logDecodeError}
	n.holder = policy.NewHolder(policy.HolderConfig{Decode: platform.DecodePolicy, OnChange: n.policyChanged, Journal: n.journal})
	n.evacuations = evacuation.New(evacuation.Config{Journal: n.journal, OnChange: n.evacuationsChanged})
	measureEvacuations(n.evacuations.Current())
	n.member = member.New(member.Config{
		Name: settings.Name, Address: settings.Peers, CPUCores: settings.CPUCores, LinkMbps: settings.LinkMbps,
		Seeds: settings.Seeds, Store: n.store, Journal: n.journal, Dial: config.Dial,
		Won:              func(ctx context.Context, won leadershipClaim, version uint64) { n.control.Lead(ctx, won, version) },
		PolicyVersion:    n.holder.Version,
		OnPolicyVersion:  n.policyAnnounced,
		MaxHostResources: func() policy.Resources { return n.control.MaxHostResources() },
		HostSizes:        func() []fleet.HostSize { return n.control.HostSizes() },
		Evacuations:      n.evacuations,
		Outlook:          func() []byte { return n.control.Outlook() },
	})
	endpoints := platform.NewEndpoints(platform.EndpointsConfig{Client: client, Timeout: endpointTimeout})
	n.carrier = courier.NewServer(courier.ServerConfig{Endpoints: endpoints, Journal: n.journal, Evacuations: n.evacuations})
	n.couriers = courier.NewClient(courier.ClientConfig{
		Self:   record.Member{Name: settings.Name, Address: settings.Peers, CPUCores: settings.CPUCores, LinkMbps: settings.LinkMbps},
		Direct: endpoints, Timeout: endpointTimeout, Dial: n.member.DialCourier, Members: n.courierMembers,
		EndpointCount: func() int { return n.control.EndpointCount() }, Journal: n.journal, Evacuations: n.evacuations,
	})
	var advice control.Advice
	if settings.Advice.IsValid() {
		advice = platform.NewAdviceService(platform.AdviceConfig{Client: client, Address: settings.Advice})
	}
	n.control = control.New(control.Config{
		Store: n.member.Store(), Feed: n.store,
		Endpoints: n.couriers, OrdersPerEndpoint: n.couriers.OrdersPerEndpoint,
		EndpointList: platform.EndpointList{Store: n.store, OnDecodeError: logDecodeError},
		Hosts: platform.NewHosts(platform.HostsConfig{
			Client: client, Address: settings.Hosts, Holder: settings.Name, Timeout: hostTimeout,
		}),
		Advice: advice, WaveStatus: platform.WaveStatus{}, Bounds: settings.Bounds.FleetBounds(), Journal: n.journal,
		DeadlineOrder: config.DeadlineOrder,
		Lost:          n.member.Lost, MajorityConfirmedAt: n.member.MajorityConfirmedAt, ObserveStore: n.observeStore,
		StoreReachableSince: n.member.StoreReachableSince,
		Evacuations:         n.evacuations, EvacuationRows: platform.EvacuationRows{OnDecodeError: logDecodeError},
		RowBytes: settings.RowBytes, RowFormat: n.member.RowFormat,
	})
	n.ingress = ingress.New(ingress.Config{
		Policy: n.holder, Store: n.member.Store(), Fleet: member.NewFleetClient(n.member, n.control),
		Codec: platform.Codec{}, Journal: n.journal, Bodies: intake.NewBodies(intake.BodiesConfig{Budget: n.doors.requests}), RowBytes: settings.RowBytes, RowFormat: n.member.RowFormat, AdmitAll: config.AdmitAll,
	})
	return n
}

// courierMembers returns the other processes, which may carry orders.
func (n *nodeProcess) courierMembers() []courier.Member {
	var members []courier.Member
	for _, contact := range n.member.Contacts() {
		members = append(members, courier.Member{Member: contact.Member, HeardAt: contact.ConfirmedAt})
	}
	return members
}

// observeStore records a feed's result. Lost history is an answer of the store
// and doesn't count as a failure.
func (n *nodeProcess) observeStore(err error) {
	if errors.Is(err, table.ErrHistoryLost) {
		err = nil
	}
	n.member.ObserveStore(err)
}

// run starts the servers and runs all loops until ctx ends.
func (n *nodeProcess) run(ctx context.Context) error {
	// The loops outlive ctx, for a graceful shutdown.
	workCtx, endWork := context.WithCancel(context.WithoutCancel(ctx))
	defer endWork()
	servers, err := n.listen(workCtx)
	if err != nil {
		return err
	}
	group := loops.New(workCtx)
	group.Go(n.member.Run)
	group.Go(n.control.Run)
	group.Go(n.carrier.Run)
	group.Go(n.couriers.Run)
	group.Go(n.ingress.Run)
	for _, loop := range n.configurationLoops() {
		group.Go(loop)
	}
	for _, s := range servers {
		group.Go(s.serve)
	}
	group.Go(n.reloadLoop)
	group.Go(n.budgetLoop)
	select {
	case <-ctx.Done():
		n.stop(servers)
	case <-group.Done():
		// A loop has panicked over a broken invariant; Wait repeats the panic.
		for _, s := range servers {
			_ = s.server.Close()
		}
	}
	endWork()
	group.Wait()
	n.journal.Info("stopped")
	return nil
}

// stop shuts down gracefully: it reports not ready, releases the leadership,
// waits until the load balancer has noticed, and drains the servers.
func (n *nodeProcess) stop(servers []*nodeServer) {
	deadline := time.Now().Add(n.settings.Bounds.Grace - shutdownReserve)
	n.journal.Info("stopping", "grace", n.settings.Bounds.Grace.String())
	n.stopping.Store(true)
	n.carrier.Stop()
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	n.member.Stop(ctx)
	timer := time.NewTimer(balancerDelay)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
	for _, s := range servers {
		s.stop(ctx)
	}
}

// ready returns nil if the load balancer should send new connections, or the
// reason why not.
func (n *nodeProcess) ready() error {
	if n.stopping.Load() {
		return errDraining
	}
	if n.holder.Current() == nil {
		return errStarting
	}
	return nil
}

// nodeServer is an HTTP server with its open listener.
type nodeServer struct {
	name     string
	listener net.Listener
	server   *http.Server
	journal  *journal.Journal
}

// listen opens the listeners of all servers. An address that is in use is an
// error, which ends the process.
func (n *nodeProcess) listen(ctx context.Context) ([]*nodeServer, error) {
	var servers []*nodeServer
	for _, door := range n.doorsOf() {
		if !door.config.Address.IsValid() {
			continue
		}
		listener, err := intake.Listen(ctx, door.config)
		if err != nil {
			return nil, err
		}
		server := &http.Server{
			Handler: door.handler, ReadHeaderTimeout: headerReadTimeout, IdleTimeout: idleConnTimeout, MaxHeaderBytes: maxHeaderBytes,
		}
		listener.Configure(server)
		if door.config.Name == callersPort {
			n.doors.callers = listener
		}
		servers = append(servers, &nodeServer{name: door.config.Name, listener: listener, journal: n.journal, server: server})
	}
	return servers, nil
}

// serve handles requests until the server is stopped.
func (s *nodeServer) serve(context.Context) {
	if err := s.server.Serve(s.listener); !errors.Is(err, http.ErrServerClosed) {
		s.journal.Info("port closed unexpectedly", "port", s.name, "error", err.Error())
	}
}

// stop shuts the server down once its requests are answered, or when ctx ends.
func (s *nodeServer) stop(ctx context.Context) {
	if err := s.server.Shutdown(ctx); err != nil {
		s.journal.Info("port closed with requests in progress", "port", s.name, "error", err.Error())
	}
	_ = s.server.Close()
}
