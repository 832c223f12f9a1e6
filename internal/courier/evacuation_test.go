package courier

import (
	"context"
	"net/netip"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lovagedyke/lovagedyke/internal/courier/courierpb"
	"github.com/lovagedyke/lovagedyke/internal/evacuation"
	"github.com/lovagedyke/lovagedyke/internal/fleet"
	"github.com/lovagedyke/lovagedyke/internal/record"
)

// fixedEvacuations is a set that does not change.
type fixedEvacuations evacuation.Set

func (s fixedEvacuations) Current() evacuation.Set { return evacuation.Set(s) }

// orderCounter counts and accepts orders.
type orderCounter struct {
	Endpoints
	orders int
}

func (c *orderCounter) Start(context.Context, fleet.EndpointAddress, uint64, fleet.Start) fleet.Reply {
	c.orders++
	return fleet.Reply{Outcome: fleet.OrderAccepted}
}

func (c *orderCounter) Stop(context.Context, fleet.EndpointAddress, uint64, fleet.Stop) fleet.Reply {
	c.orders++
	return fleet.Reply{Outcome: fleet.OrderAccepted}
}

// evacuationCases are starts and stops of which some must not be sent.
var evacuationCases = map[string]struct {
	evacuations Evacuations
	dataCentre  string
	isStop      bool
	want        bool
}{
	"no news of evacuations":            {dataCentre: "suva", want: true},
	"no request":                        {evacuations: fixedEvacuations{}, dataCentre: "suva", want: true},
	"another data centre":               {evacuations: fixedEvacuations(evacuation.NewSet(1, "nadi")), dataCentre: "suva", want: true},
	"evacuated":                         {evacuations: fixedEvacuations(evacuation.NewSet(1, "suva")), dataCentre: "suva"},
	"data centre unknown to its leader": {evacuations: fixedEvacuations(evacuation.NewSet(1, "suva"))},
	"stop":                              {evacuations: fixedEvacuations(evacuation.NewSet(1, "suva")), dataCentre: "suva", isStop: true, want: true},
}

// Guards against a start that a courier holds at the request and carries out after it.
func TestCourierDropsStartsInEvacuatedDataCentre(t *testing.T) {
	address, err := netip.MustParseAddrPort("10.0.0.1:8000").MarshalBinary()
	if err != nil {
		t.Fatal(err)
	}
	for name, test := range evacuationCases {
		t.Run(name, func(t *testing.T) {
			endpoints := &orderCounter{}
			server := NewServer(ServerConfig{Endpoints: endpoints, Journal: discardJournal{}, Evacuations: test.evacuations})
			current := newSession()
			order := &courierpb.Order{Number: 5, Endpoint: "i-1", Address: address, Kind: &courierpb.Order_Start{
				Start: encodeStart(fleet.Start{DataCentre: test.dataCentre}),
			}}
			if test.isStop {
				order.Kind = &courierpb.Order_Stop{Stop: &courierpb.Stop{}}
			}
			server.carry(context.Background(), carriedOrder{session: current, order: order, specs: []string{"text"}, received: time.Now()})
			if got := endpoints.orders == 1; got != test.want {
				t.Errorf("order carried: got %t, want %t", got, test.want)
			}
			got := fleet.OrderOutcome(current.collect(context.Background(), 0)[0].Outcome)
			if isUnsent := got == fleet.OrderNotSent; isUnsent == test.want {
				t.Errorf("outcome: got %q, want one that says whether it was sent (%t)", got, test.want)
			}
		})
	}
}

// Guards against a start that waits at the leader for a courier, and is sent after the request.
func TestLinkDropsStartsInEvacuatedDataCentre(t *testing.T) {
	for name, test := range evacuationCases {
		t.Run(name, func(t *testing.T) {
			l := newLink(record.Member{Name: "courier"}, nil, discardJournal{})
			l.evacuations = test.evacuations
			pending := &pendingOrder{
				order: &courierpb.Order{Kind: &courierpb.Order_Start{Start: encodeStart(fleet.Start{DataCentre: test.dataCentre})}},
				done:  make(chan result, 1), expires: time.Now().Add(time.Minute),
			}
			if test.isStop {
				pending.order.Kind = &courierpb.Order_Stop{Stop: &courierpb.Stop{}}
			}
			l.queue = []*pendingOrder{pending}
			batch, _ := l.take()
			if got := len(batch) == 1; got != test.want {
				t.Errorf("order sent: got %t, want %t", got, test.want)
			}
			if test.want {
				return
			}
			if r := <-pending.done; !errors.Is(r.err, errWithdrawn) || unsent(r.err).Outcome != fleet.OrderNotSent {
				t.Errorf("result: got %v, want %v", r.err, errWithdrawn)
			}
		})
	}
}

// Guards against a start that goes directly to its endpoint after its courier did not take it.
func TestDirectStartInEvacuatedDataCentre(t *testing.T) {
	for name, test := range evacuationCases {
		if test.isStop {
			continue
		}
		t.Run(name, func(t *testing.T) {
			endpoints := &orderCounter{}
			client := NewClient(ClientConfig{
				Direct: endpoints, Members: func() []Member { return nil }, EndpointCount: func() int { return 0 },
				Journal: discardJournal{}, Evacuations: test.evacuations,
			})
			reply := client.Start(context.Background(), fleet.EndpointAddress{ID: "i-1"}, 1, fleet.Start{DataCentre: test.dataCentre})
			if got := endpoints.orders == 1; got != test.want {
				t.Errorf("start sent: got %t, want %t", got, test.want)
			}
			if got := reply.Outcome == fleet.OrderNotSent; got == test.want {
				t.Errorf("outcome: got %q, want one that says whether it was sent (%t)", reply.Outcome, test.want)
			}
		})
	}
}
