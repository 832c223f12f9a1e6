package member

import (
	"context"
	"net/netip"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/lovagedyke/lovagedyke/internal/evacuation"
	"github.com/lovagedyke/lovagedyke/internal/member/memberpb"
	"github.com/lovagedyke/lovagedyke/internal/policy"
	"github.com/lovagedyke/lovagedyke/internal/record"
)

type discardJournal struct{}

func (discardJournal) Info(string, ...any) {}

// slowPeer answers hellos after a time.
type slowPeer struct {
	memberpb.Member
	view  *memberpb.View
	delay time.Duration
}

// Hello implements memberpb.Member.
func (p slowPeer) Hello(context.Context, *memberpb.View) (*memberpb.View, error) {
	time.Sleep(p.delay)
	return p.view, nil
}

var follower = record.Member{Name: "b", Address: netip.MustParseAddrPort("10.0.0.2:7000")}

// newLeader returns a node that leads with token 7 and has one follower.
func newLeader(peer memberpb.Member) *Node {
	n := New(Config{
		Name: "a", Journal: discardJournal{},
		PolicyVersion:    func() uint64 { return 0 },
		MaxHostResources: func() policy.Resources { return policy.Resources{} },
	})
	n.members[follower.Name], n.leading, n.claim = follower, true, record.Claim{Token: 7, Name: "a"}
	n.dialer.clients[follower.Address] = peer
	return n
}

// Guards against two runs of a task at once: a paused leader resumes, reads an answer
// that a member gave before it learned of the next leader, and takes itself for confirmed.
func TestConfirmationIsAsOldAsItsRequest(t *testing.T) {
	tests := map[string]struct {
		token uint64
		// heardAfter is when the member said hello while the answer was on its way, or 0.
		heardAfter time.Duration
		want       time.Duration
		wantNone   bool
	}{
		"an answer":                    {token: 7},
		"a hello during the request":   {token: 7, heardAfter: time.Second, want: time.Second},
		"an answer with a later token": {token: 8, wantNone: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				view := &memberpb.View{From: encodeMember(follower), Token: test.token}
				n := newLeader(slowPeer{view: view, delay: 10 * time.Second})
				sentAt := time.Now()
				if test.heardAfter > 0 {
					time.AfterFunc(test.heardAfter, func() { n.applyView(view, time.Now()) })
				}
				n.handOver(context.Background(), "a test")
				got := n.MajorityConfirmedAt()
				if got.IsZero() != test.wantNone {
					t.Errorf("confirmed: got %t, want %t", !got.IsZero(), !test.wantNone)
				}
				if want := sentAt.Add(test.want); !got.IsZero() && !got.Equal(want) {
					t.Errorf("confirmed: got %s after the request, want %s", got.Sub(sentAt), test.want)
				}
			})
		})
	}
}

// Guards against an evacuation that a process learns of and does not pass on, and against one that
// an older view undoes.
func TestViewsCarryEvacuations(t *testing.T) {
	tests := map[string]struct {
		has, sent, want evacuation.Set
	}{
		"request":                {sent: evacuation.NewSet(5, "suva"), want: evacuation.NewSet(5, "suva")},
		"withdrawal":             {has: evacuation.NewSet(5, "suva"), sent: evacuation.NewSet(6), want: evacuation.NewSet(6)},
		"older view":             {has: evacuation.NewSet(5, "suva"), sent: evacuation.NewSet(4), want: evacuation.NewSet(5, "suva")},
		"process without news":   {has: evacuation.NewSet(5, "suva"), want: evacuation.NewSet(5, "suva")},
		"both without a request": {has: evacuation.NewSet(5), sent: evacuation.NewSet(7), want: evacuation.NewSet(7)},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			holder := evacuation.New(evacuation.Config{Journal: discardJournal{}})
			holder.Update(test.has, "test")
			n := newLeader(nil)
			n.config.Evacuations = holder
			answer, err := NewService(ServiceConfig{Node: n}).Hello(context.Background(), &memberpb.View{
				From: encodeMember(follower), EvacuationsAsOf: test.sent.AsOf, Evacuated: test.sent.DataCentres,
			})
			if err != nil {
				t.Fatal(err)
			}
			if got := holder.Current(); got.AsOf != test.want.AsOf || !slices.Equal(got.DataCentres, test.want.DataCentres) {
				t.Errorf("set: got %v, want %v", got, test.want)
			}
			if answer.EvacuationsAsOf != test.want.AsOf || !slices.Equal(answer.Evacuated, test.want.DataCentres) {
				t.Errorf("answer: got %d %v, want %v", answer.EvacuationsAsOf, answer.Evacuated, test.want)
			}
		})
	}
}
