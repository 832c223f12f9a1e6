package member

import (
	"context"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lovagedyke/lovagedyke/internal/admission"
	"github.com/lovagedyke/lovagedyke/internal/job"
	"github.com/lovagedyke/lovagedyke/internal/member/memberpb"
	"github.com/lovagedyke/lovagedyke/internal/record"
)

// outlookOf returns an encoded outlook in which a pool with a number of cores is short.
func outlookOf(cores float64) []byte {
	return admission.Outlook{Pools: map[string]admission.PoolOutlook{"p": {Cores: cores}}}.Encode()
}

// wantOutlook fails the test unless the newest outlook's pool has a number of cores; 0
// stands for no outlook.
func wantOutlook(t *testing.T, client *FleetClient, want float64) {
	t.Helper()
	outlook, _, ok := client.Outlook(time.Now())
	if got := outlook.Pools["p"].Cores; got != want || ok != (want > 0) {
		t.Errorf("outlook: got %g cores (%t), want %g", got, ok, want)
	}
}

// Guards against refusals by the outlook of a leader that has a successor, or by what a
// process says that does not lead.
func TestOutlookInViews(t *testing.T) {
	address := &memberpb.Address{Name: "b", Address: "10.0.0.2:7000"}
	view := func(token uint64, leading bool, outlook []byte) *memberpb.View {
		return &memberpb.View{From: address, Leader: address, Token: token, Leading: leading, Outlook: outlook}
	}
	tests := map[string]struct {
		views []*memberpb.View
		want  float64
	}{
		"of the leader":               {[]*memberpb.View{view(7, true, outlookOf(8))}, 8},
		"newer":                       {[]*memberpb.View{view(7, true, outlookOf(8)), view(7, true, outlookOf(4))}, 4},
		"of the next leader":          {[]*memberpb.View{view(7, true, outlookOf(8)), view(8, true, outlookOf(4))}, 4},
		"of an older leader":          {[]*memberpb.View{view(8, true, outlookOf(8)), view(7, true, outlookOf(4))}, 8},
		"of a process without a term": {[]*memberpb.View{view(7, false, outlookOf(8))}, 0},
		"undecodable":                 {[]*memberpb.View{view(7, true, outlookOf(8)), view(7, true, []byte("{"))}, 8},
		"of a leader before":          {[]*memberpb.View{view(7, true, nil)}, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			n := newLeader(nil)
			n.leading, n.claim = false, record.Claim{}
			client := NewFleetClient(n, localFleet{})
			for _, v := range test.views {
				n.applyView(v, time.Now())
			}
			if name == "of a leader before" {
				if _, _, ok := client.Outlook(time.Now()); !ok {
					t.Error("news without an outlook: got none, want an empty outlook")
				}
				return
			}
			wantOutlook(t, client, test.want)
		})
	}
}

// localFleet is the local leader, which has an outlook while it leads.
type localFleet struct {
	leading bool
	outlook []byte
}

func (f localFleet) Leading() bool                { return f.leading }
func (localFleet) Accept([][]byte) bool           { return true }
func (localFleet) Cancel(job.ID) bool             { return true }
func (localFleet) State(job.ID) (job.State, bool) { return "", false }
func (localFleet) Waiting() map[string]int        { return nil }
func (f localFleet) Outlook() []byte              { return f.outlook }

// acceptingPeer answers Accept.
type acceptingPeer struct {
	memberpb.Member
	reply *memberpb.LeaderReply
}

func (p acceptingPeer) Accept(context.Context, *memberpb.AcceptRequest) (*memberpb.LeaderReply, error) {
	if p.reply == nil {
		return nil, errors.New("no answer")
	}
	return p.reply, nil
}

// Guards against a process that learns of an overload only with its next hello.
func TestOutlookInReplyToAccept(t *testing.T) {
	tests := map[string]struct {
		reply *memberpb.LeaderReply
		want  float64
	}{
		"of the leader":     {&memberpb.LeaderReply{Leading: true, Outlook: outlookOf(8)}, 8},
		"of another":        {&memberpb.LeaderReply{Outlook: outlookOf(8)}, 0},
		"without an answer": {nil, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			n := newLeader(acceptingPeer{reply: test.reply})
			n.leading, n.claim = false, record.Claim{Token: 7, Name: follower.Name, Address: follower.Address}
			client := NewFleetClient(n, localFleet{})
			client.NotifyAccepted(context.Background(), [][]byte{{}})
			wantOutlook(t, client, test.want)
		})
	}
}

func TestOwnOutlook(t *testing.T) {
	n := newLeader(nil)
	n.config.Outlook = func() []byte { return outlookOf(8) }
	wantOutlook(t, NewFleetClient(n, localFleet{leading: true, outlook: outlookOf(8)}), 8)
	if got, want := string(n.view(unknownMembers).Outlook), string(outlookOf(8)); got != want {
		t.Errorf("outlook in the leader's view: got %q, want %q", got, want)
	}
	n.leading = false
	if got := n.view(unknownMembers).Outlook; len(got) != 0 {
		t.Errorf("outlook in the view of a process that does not lead: got %q, want none", got)
	}
}
