package courier

import (
	"context"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/twitchtv/twirp"

	"github.com/lovagedyke/lovagedyke/internal/courier/courierpb"
	"github.com/lovagedyke/lovagedyke/internal/evacuation"
	"github.com/lovagedyke/lovagedyke/internal/fleet"
	"github.com/lovagedyke/lovagedyke/internal/loops"
)

const (
	// maxConcurrentOrders is the number of orders that a courier carries at once;
	// more are answered as not sent.
	maxConcurrentOrders = 1500
	// collectDelay delays a message of replies after its first, for more to join.
	collectDelay = 12 * time.Millisecond
	// sessionTimeout is how long the replies of a silent leader are kept.
	sessionTimeout = 5 * time.Second
	// maxDelay is the longest time that an order may wait in this process before
	// it is sent: one that was held up, by a pause of the process, is dropped.
	maxDelay = 300 * time.Millisecond
	// stoppingMessage is the error of a courier that takes no orders any more.
	stoppingMessage = "this process takes no more orders: it is stopping"
)

// Endpoints sends orders and lease renewals to endpoints.
type Endpoints interface {
	Start(ctx context.Context, to fleet.EndpointAddress, token uint64, start fleet.Start) fleet.Reply
	Stop(ctx context.Context, to fleet.EndpointAddress, token uint64, stop fleet.Stop) fleet.Reply
	Throttle(ctx context.Context, to fleet.EndpointAddress, token uint64, throttle fleet.Throttle) fleet.Reply
	RenewLease(ctx context.Context, to fleet.EndpointAddress, token uint64, renewal fleet.LeaseRenewal) (fleet.Report, fleet.Reply)
}

// Journal logs events.
type Journal interface {
	Info(event string, fields ...any)
}

// Evacuations is this process's copy of the set of evacuated data centres.
type Evacuations interface {
	Current() evacuation.Set
}

// prohibits reports whether a data centre may get no starts; evacuations may be nil.
func prohibits(evacuations Evacuations, dataCentre string) bool {
	return evacuations != nil && evacuations.Current().Prohibits(dataCentre)
}

// ServerConfig configures a Server.
type ServerConfig struct {
	Endpoints Endpoints
	Journal   Journal
	// Evacuations tells which starts are not carried out any more; it may be nil.
	Evacuations Evacuations
}

// Server carries leaders' orders to endpoints. It implements courierpb.Courier.
type Server struct {
	config ServerConfig
	orders chan carriedOrder

	mu       sync.Mutex
	sessions map[uint64]*session
	carrying int
	stopping bool
}

// carriedOrder is an order on its way through this process.
type carriedOrder struct {
	session  *session
	token    uint64
	order    *courierpb.Order
	specs    []string
	received time.Time
}

// NewServer returns a server that carries nothing until Run runs.
func NewServer(config ServerConfig) *Server {
	return &Server{config: config, orders: make(chan carriedOrder, maxConcurrentOrders), sessions: map[uint64]*session{}}
}

// Run carries orders until ctx ends.
func (s *Server) Run(ctx context.Context) {
	group := loops.New(ctx)
	group.Go(func(ctx context.Context) {
		for {
			select {
			case <-ctx.Done():
				return
			case next := <-s.orders:
				group.Go(func(ctx context.Context) { s.carry(ctx, next) })
			}
		}
	})
	group.Wait()
}

// Stop refuses further orders; replies to earlier ones can still be collected.
func (s *Server) Stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopping = true
}

// Deliver implements courierpb.Courier.
func (s *Server) Deliver(ctx context.Context, request *courierpb.DeliverRequest) (*courierpb.DeliverReply, error) {
	current, err := s.accept(request)
	if err != nil {
		return nil, err
	}
	return &courierpb.DeliverReply{Replies: current.collect(ctx, milliseconds(request.WaitMs))}, nil
}

// accept queues a request's orders. If it returns an error, none is executed.
func (s *Server) accept(request *courierpb.DeliverRequest) (*session, error) {
	now := time.Now()
	specs, err := inflateSpecs(request)
	if err != nil {
		return nil, twirp.NewError(twirp.Malformed, err.Error())
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopping && len(request.Orders) > 0 {
		return nil, twirp.NewError(twirp.Unavailable, stoppingMessage)
	}
	for id, old := range s.sessions {
		if now.Sub(old.usedAt) > sessionTimeout {
			delete(s.sessions, id)
		}
	}
	current := s.sessions[request.Session]
	if current == nil {
		current = newSession()
		s.sessions[request.Session] = current
		s.config.Journal.Info("carrying orders for a leader", "token", request.Token, "session", request.Session)
	}
	current.usedAt = now
	for _, order := range request.Orders {
		next := carriedOrder{session: current, token: request.Token, order: order, specs: specs, received: now}
		if s.carrying >= maxConcurrentOrders {
			metrics.GetOrCreateCounter(`courier_orders_refused_total`).Inc()
			current.add(&courierpb.Reply{Number: order.Number, Outcome: string(fleet.OrderNotSent)})
			continue
		}
		s.carrying++
		// Never blocks: the channel has room for all that are carried.
		s.orders <- next
	}
	return current, nil
}

// carry executes one order and adds its reply to the session.
func (s *Server) carry(ctx context.Context, next carriedOrder) {
	reply := &courierpb.Reply{Number: next.order.Number, Outcome: string(fleet.OrderNotSent)}
	if time.Since(next.received) <= maxDelay {
		s.execute(ctx, next, reply)
	}
	metrics.GetOrCreateCounter(`courier_orders_total{outcome="` + reply.Outcome + `"}`).Inc()
	s.mu.Lock()
	s.carrying--
	s.mu.Unlock()
	next.session.add(reply)
}

// execute calls the endpoint and fills the reply.
func (s *Server) execute(ctx context.Context, next carriedOrder, reply *courierpb.Reply) {
	to, err := decodeAddress(next.order)
	if err != nil {
		s.config.Journal.Info("order not carried", "endpoint", next.order.Endpoint, "token", next.token, "error", err.Error())
		return
	}
	var outcome fleet.Reply
	switch kind := next.order.Kind.(type) {
	case *courierpb.Order_Start:
		start, err := decodeStart(to.ID, kind.Start, next.specs)
		if err != nil {
			s.config.Journal.Info("order not carried", "endpoint", next.order.Endpoint, "token", next.token, "error", err.Error())
			return
		}
		if prohibits(s.config.Evacuations, start.DataCentre) {
			s.config.Journal.Info("start not carried: the data centre is evacuated", "job", start.Task.Job, "endpoint", to.ID,
				"data-centre", start.DataCentre, "token", next.token)
			return
		}
		outcome = s.config.Endpoints.Start(ctx, to, next.token, start)
	case *courierpb.Order_Stop:
		outcome = s.config.Endpoints.Stop(ctx, to, next.token, fleet.Stop{Endpoint: to.ID, Task: decodeTask(kind.Stop.Task), Run: kind.Stop.Run})
	case *courierpb.Order_Throttle:
		outcome = s.config.Endpoints.Throttle(ctx, to, next.token, fleet.Throttle{
			Endpoint: to.ID, Task: decodeTask(kind.Throttle.Task), Run: kind.Throttle.Run, Percent: int(kind.Throttle.Percent),
		})
	case *courierpb.Order_Renewal:
		var report fleet.Report
		report, outcome = s.config.Endpoints.RenewLease(ctx, to, next.token, decodeRenewal(kind.Renewal))
		if outcome.Outcome == fleet.OrderAccepted {
			reply.Report = encodeReport(report)
		}
	default:
		s.config.Journal.Info("order of unknown kind not carried", "endpoint", next.order.Endpoint, "token", next.token)
		return
	}
	reply.Outcome, reply.ClockMs = string(outcome.Outcome), outcome.Clock.Milliseconds()
}

// session holds the replies that a leader has not collected yet.
type session struct {
	// usedAt is when the leader last called; it is guarded by the server's lock.
	usedAt time.Time

	mu      sync.Mutex
	replies []*courierpb.Reply
	// calls counts the calls that collect replies; an earlier one ends its wait
	// when the next arrives.
	calls int
	// changed is closed, and replaced, when a reply or a call has arrived.
	changed chan struct{}
}

func newSession() *session {
	return &session{changed: make(chan struct{})}
}

// add adds a reply.
func (s *session) add(reply *courierpb.Reply) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.replies = append(s.replies, reply)
	if len(s.replies) == 1 {
		s.notify()
	}
}

// notify wakes the calls that wait; s.mu must be held.
func (s *session) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// collect returns the replies. Without any it waits for one, for at most wait, or
// until another call collects.
func (s *session) collect(ctx context.Context, wait time.Duration) []*courierpb.Reply {
	s.mu.Lock()
	s.calls++
	call := s.calls
	s.notify()
	s.mu.Unlock()
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		s.mu.Lock()
		changed, hasReplies, isLatest := s.changed, len(s.replies) > 0, s.calls == call
		s.mu.Unlock()
		if hasReplies {
			break
		}
		if !isLatest {
			return nil
		}
		select {
		case <-ctx.Done():
			return nil
		case <-timer.C:
			return nil
		case <-changed:
		}
	}
	pause := time.NewTimer(collectDelay)
	defer pause.Stop()
	select {
	case <-ctx.Done():
	case <-pause.C:
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	replies := s.replies
	s.replies = nil
	return replies
}
