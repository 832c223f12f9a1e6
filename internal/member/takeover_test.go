package member

import (
	"context"
	"fmt"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/lovagedyke/lovagedyke/internal/member/memberpb"
	"github.com/lovagedyke/lovagedyke/internal/policy"
	"github.com/lovagedyke/lovagedyke/internal/record"
)

// silentPeer never answers, as a process without power.
type silentPeer struct {
	memberpb.Member
}

// Hello implements memberpb.Member.
func (silentPeer) Hello(ctx context.Context, _ *memberpb.View) (*memberpb.View, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

// newCandidate returns a node that has lost its leader, and whose members are the given peers, the
// first of which are the strongest.
func newCandidate(peers []memberpb.Member) *Node {
	n := New(Config{
		Name: "a", Journal: discardJournal{},
		PolicyVersion:    func() uint64 { return 0 },
		MaxHostResources: func() policy.Resources { return policy.Resources{} },
	})
	n.claim = record.Claim{Token: 7, Name: "former"}
	for i, peer := range peers {
		name := fmt.Sprintf("member-%02d", i)
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 1, byte(i)}), 7000)
		n.members[name] = record.Member{Name: name, Address: address, CPUCores: float64(len(peers) - i), LinkMbps: 1000}
		n.dialer.clients[address] = peer
	}
	return n
}

// Pattern: data-centre-without-power. Guards against a fleet without a leader for seconds: the candidate asked the other members one
// after the other, so that each one in a data centre without power delayed it by a time-out.
func TestCandidateAsksMembersAtTheSameTime(t *testing.T) {
	deaf := slowPeer{view: &memberpb.View{Token: 7, LeaderHeardMs: time.Hour.Milliseconds()}, delay: 10 * time.Millisecond}
	hearing := slowPeer{view: &memberpb.View{Token: 7}, delay: 20 * time.Millisecond}
	leading := slowPeer{view: &memberpb.View{Token: 7, Leading: true}, delay: 20 * time.Millisecond}
	tests := map[string]struct {
		silent int
		alive  []memberpb.Member
		want   bool
		within time.Duration
	}{
		"all answer":                   {alive: []memberpb.Member{deaf, deaf, deaf}, want: true, within: deaf.delay},
		"a data centre without power":  {silent: 13, alive: []memberpb.Member{deaf, deaf, deaf}, want: true, within: helloTimeout},
		"one hears the leader":         {silent: 13, alive: []memberpb.Member{deaf, hearing}, within: hearing.delay},
		"one leads":                    {silent: 13, alive: []memberpb.Member{deaf, leading}, within: leading.delay},
		"none answers":                 {silent: 13, within: helloTimeout},
		"most of a large fleet is off": {silent: 90, alive: []memberpb.Member{deaf}, want: true, within: 3 * helloTimeout},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var peers []memberpb.Member
				for range test.silent {
					peers = append(peers, silentPeer{})
				}
				n := newCandidate(append(peers, test.alive...))
				startedAt := time.Now()
				if got := n.peersLostLeader(t.Context(), 0); got != test.want {
					t.Errorf("the members have lost the leader: got %t, want %t", got, test.want)
				}
				if got := time.Since(startedAt); got > test.within {
					t.Errorf("time without a leader: got %s, want at most %s", got, test.within)
				}
			})
		})
	}
}

// Guards against a leader that offers its place to members without power, one after the other, while
// the fleet waits.
func TestSuccessorsHaveConfirmedTheLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newCandidate([]memberpb.Member{silentPeer{}, silentPeer{}, silentPeer{}, silentPeer{}})
		n.confirmedAt["member-03"] = time.Now()
		n.confirmedAt["member-01"] = time.Now().Add(-leaderTimeout / 2)
		n.confirmedAt["member-00"] = time.Now().Add(-time.Minute)
		var got []string
		for _, member := range n.successors() {
			got = append(got, member.Name)
		}
		if want := "[member-01 member-03 member-00 member-02]"; fmt.Sprint(got) != want {
			t.Errorf("successors: got %v, want %s", got, want)
		}
	})
}
