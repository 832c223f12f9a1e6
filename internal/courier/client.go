package courier

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"

	"github.com/lovagedyke/lovagedyke/internal/courier/courierpb"
	"github.com/lovagedyke/lovagedyke/internal/fleet"
	"github.com/lovagedyke/lovagedyke/internal/loops"
	"github.com/lovagedyke/lovagedyke/internal/record"
)

const (
	// chooseInterval is the time between two choices of couriers.
	chooseInterval = 500 * time.Millisecond
	// orderMargin is how much longer than directly an order may take by courier.
	orderMargin = 300 * time.Millisecond
	// directTime is how long an endpoint is called directly after its courier could
	// not reach it.
	directTime = 3 * time.Second
	// directOrders and carriedOrders are the numbers of orders to one endpoint that may be sent at the
	// same time, directly and by courier.
	directOrders, carriedOrders = 3, 8
	// maxLinks is the number of couriers of which a link is kept.
	maxLinks = 512
	// maxCourierIndexes is the number of endpoints of which the courier is remembered: those that have
	// left the fleet are among them.
	maxCourierIndexes = 1 << 16
)

// Member is a process that may carry orders.
type Member struct {
	record.Member
	// HeardAt is when it last said hello to this process as its leader, or zero.
	HeardAt time.Time
}

// ClientConfig configures a Client.
type ClientConfig struct {
	// Self is this process.
	Self record.Member
	// Direct calls endpoints from this process; Timeout bounds an order there.
	Direct  Endpoints
	Timeout time.Duration
	// Dial returns the client of another process.
	Dial func(address netip.AddrPort) courierpb.Courier
	// Members returns the other processes.
	Members func() []Member
	// EndpointCount returns how many endpoints the leader has.
	EndpointCount func() int
	Journal       Journal
	// Evacuations tells which starts are not sent any more; it may be nil.
	Evacuations Evacuations
}

// Client sends a leader's orders and lease renewals to endpoints, by courier if
// the fleet is too large for this process alone. It implements control.Endpoints.
type Client struct {
	config   ClientConfig
	newLinks chan *link
	// choosing is held while couriers are chosen: orders wait for the choice.
	choosing sync.Mutex

	mu       sync.Mutex
	links    map[string]*link
	couriers []record.Member
	chosenAt time.Time
	// courierIndexes holds the couriers of endpoints, as indexes of couriers.
	courierIndexes map[fleet.EndpointID]int
	// direct holds the endpoints that are called directly for a time.
	direct map[fleet.EndpointID]time.Time
}

// NewClient returns a client that calls directly until Run runs.
func NewClient(config ClientConfig) *Client {
	return &Client{
		config: config, newLinks: make(chan *link, maxLinks), links: map[string]*link{}, courierIndexes: map[fleet.EndpointID]int{}, direct: map[fleet.EndpointID]time.Time{},
	}
}

// Run runs the links to couriers until ctx ends.
func (c *Client) Run(ctx context.Context) {
	group := loops.New(ctx)
	group.Go(func(ctx context.Context) {
		for {
			select {
			case <-ctx.Done():
				return
			case l := <-c.newLinks:
				group.Go(l.run)
			}
		}
	})
	group.Wait()
}

// Start implements Endpoints.
func (c *Client) Start(ctx context.Context, to fleet.EndpointAddress, token uint64, start fleet.Start) fleet.Reply {
	pending := &pendingOrder{spec: start.Spec, order: &courierpb.Order{Kind: &courierpb.Order_Start{Start: encodeStart(start)}}}
	return c.order(ctx, to, token, pending, func() fleet.Reply {
		if prohibits(c.config.Evacuations, start.DataCentre) {
			return fleet.Reply{Outcome: fleet.OrderNotSent}
		}
		return c.config.Direct.Start(ctx, to, token, start)
	})
}

// Stop implements Endpoints.
func (c *Client) Stop(ctx context.Context, to fleet.EndpointAddress, token uint64, stop fleet.Stop) fleet.Reply {
	pending := &pendingOrder{order: &courierpb.Order{Kind: &courierpb.Order_Stop{Stop: &courierpb.Stop{
		Task: encodeTask(stop.Task), Run: stop.Run,
	}}}}
	return c.order(ctx, to, token, pending, func() fleet.Reply { return c.config.Direct.Stop(ctx, to, token, stop) })
}

// Throttle implements Endpoints.
func (c *Client) Throttle(ctx context.Context, to fleet.EndpointAddress, token uint64, throttle fleet.Throttle) fleet.Reply {
	pending := &pendingOrder{order: &courierpb.Order{Kind: &courierpb.Order_Throttle{Throttle: &courierpb.Throttle{
		Task: encodeTask(throttle.Task), Run: throttle.Run, Percent: int64(throttle.Percent),
	}}}}
	return c.order(ctx, to, token, pending, func() fleet.Reply { return c.config.Direct.Throttle(ctx, to, token, throttle) })
}

// order sends an order by courier, or directly if there is none or it did not take
// the order.
func (c *Client) order(ctx context.Context, to fleet.EndpointAddress, token uint64, pending *pendingOrder, direct func() fleet.Reply) fleet.Reply {
	l := c.linkFor(to.ID)
	if l == nil {
		return direct()
	}
	reply, err := c.deliver(ctx, l, to, token, pending, c.config.Timeout+orderMargin)
	if errors.Is(err, errNotTaken) {
		return direct()
	}
	if err != nil {
		return notTaken(unsent(err))
	}
	return notTaken(decodeReply(reply))
}

// notTaken returns the reply to an order that a courier did not send. That does not say that the endpoint
// cannot be reached: the next order to it goes directly, and shows that.
func notTaken(reply fleet.Reply) fleet.Reply {
	if reply.Outcome == fleet.OrderNotSent {
		reply.Outcome = fleet.OrderNotTaken
	}
	return reply
}

// RenewLease implements Endpoints. A renewal may be repeated, so one that a failed
// courier did not answer is sent directly. A question always is: a courier without an answer
// may itself be cut off.
func (c *Client) RenewLease(ctx context.Context, to fleet.EndpointAddress, token uint64, renewal fleet.LeaseRenewal) (fleet.Report, fleet.Reply) {
	l := c.linkFor(to.ID)
	if l == nil || renewal.IsQuestion {
		return c.config.Direct.RenewLease(ctx, to, token, renewal)
	}
	pending := &pendingOrder{order: &courierpb.Order{Kind: &courierpb.Order_Renewal{Renewal: encodeRenewal(renewal)}}}
	reply, err := c.deliver(ctx, l, to, token, pending, renewal.Wait+c.config.Timeout+orderMargin)
	if err != nil && ctx.Err() == nil && !l.isUsable(time.Now(), time.Time{}) {
		return c.config.Direct.RenewLease(ctx, to, token, renewal)
	}
	if err != nil {
		return fleet.Report{}, unsent(err)
	}
	return decodeReport(reply.Report), decodeReply(reply)
}

// deliver sends an order by courier. After a reply that the endpoint did not
// answer, the endpoint is called directly for a time.
func (c *Client) deliver(ctx context.Context, l *link, to fleet.EndpointAddress, token uint64, pending *pendingOrder, timeout time.Duration) (*courierpb.Reply, error) {
	address, err := to.Address.MarshalBinary()
	if err != nil {
		return nil, errors.Mark(errors.Wrapf(err, "encode the address of endpoint %q", to.ID), errNotTaken)
	}
	pending.token, pending.order.Endpoint, pending.order.Address = token, string(to.ID), address
	reply, err := l.deliver(ctx, pending, timeout)
	if err != nil {
		return nil, err
	}
	switch decodeReply(reply).Outcome {
	case fleet.OrderUnknown, fleet.OrderNotSent, fleet.OrderHungUp, fleet.OrderRefused:
		metrics.GetOrCreateCounter(`courier_endpoints_unreached_total`).Inc()
		c.mu.Lock()
		c.direct[to.ID] = time.Now().Add(directTime)
		c.mu.Unlock()
	}
	return reply, nil
}

// linkFor returns the link of the courier that carries an endpoint's orders, or nil
// if they go directly.
func (c *Client) linkFor(endpoint fleet.EndpointID) *link {
	now := time.Now()
	c.chooseIfDue(now)
	c.mu.Lock()
	defer c.mu.Unlock()
	if until, ok := c.direct[endpoint]; ok {
		if now.Before(until) {
			return nil
		}
		delete(c.direct, endpoint)
	}
	i := c.courierIndex(endpoint)
	if i < 0 {
		return nil
	}
	l := c.links[c.couriers[i].Name]
	if l == nil || !l.isUsable(now, time.Time{}) {
		// The next choice replaces it.
		return nil
	}
	return l
}

// courierIndex returns the index of the courier that carries an endpoint's orders, or -1 if there is
// none; c.mu must be held.
func (c *Client) courierIndex(endpoint fleet.EndpointID) int {
	i, ok := c.courierIndexes[endpoint]
	if !ok {
		i = courierOf(endpoint, c.couriers)
		c.courierIndexes[endpoint] = i
	}
	return i
}

// OrdersPerEndpoint returns how many orders to one endpoint may be sent at the same time. Those that
// go by courier wait for the courier's next message, and are carried together.
func (c *Client) OrdersPerEndpoint() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.couriers) == 0 {
		return directOrders
	}
	return carriedOrders
}

// interval returns the shortest time between two messages to a courier.
func (c *Client) interval() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return messageInterval(len(c.couriers), c.config.Self)
}

// chooseIfDue chooses the couriers again if the last choice is old.
func (c *Client) chooseIfDue(now time.Time) {
	c.choosing.Lock()
	defer c.choosing.Unlock()
	c.mu.Lock()
	isDue := now.Sub(c.chosenAt) > chooseInterval
	if isDue {
		c.chosenAt = now
	}
	c.mu.Unlock()
	if !isDue {
		return
	}
	endpoints, members := c.config.EndpointCount(), c.config.Members()
	c.mu.Lock()
	defer c.mu.Unlock()
	var usable []record.Member
	for _, member := range members {
		if l := c.links[member.Name]; l == nil || l.member != member.Member || l.isUsable(now, member.HeardAt) {
			usable = append(usable, member.Member)
		}
	}
	before := c.couriers
	c.couriers = chooseCouriers(endpoints, c.config.Self, usable)
	if !slices.Equal(c.couriers, before) || len(c.courierIndexes) > maxCourierIndexes {
		clear(c.courierIndexes)
	}
	for _, member := range c.couriers {
		c.openLink(member)
	}
	if len(c.couriers) != len(before) {
		c.config.Journal.Info("couriers chosen", "couriers", len(c.couriers), "before", len(before), "endpoints", endpoints, "members", len(members), "usable", len(usable))
	}
}

// openLink creates the link to a courier if there is none yet; c.mu must be held.
func (c *Client) openLink(member record.Member) {
	if l := c.links[member.Name]; l != nil && l.member == member {
		l.reuse(time.Now())
		return
	}
	l := newLink(member, c.config.Dial(member.Address), c.config.Journal)
	l.evacuations, l.interval = c.config.Evacuations, c.interval
	select {
	case c.newLinks <- l:
		c.links[member.Name] = l
	default:
		// Run has not opened earlier links yet: the member's endpoints are called directly.
	}
}
