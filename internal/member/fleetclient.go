package member

import (
	"context"
	"sync"
	"time"

	"github.com/lovagedyke/lovagedyke/internal/job"
	"github.com/lovagedyke/lovagedyke/internal/member/memberpb"
)

const (
	// askTimeout bounds a question to the leader; the store is the second choice.
	askTimeout = 600 * time.Millisecond
	// countAge is how old a queue's count may be that a caller is told (the
	// platform's page of calls allows 2 s).
	countAge = 700 * time.Millisecond
	// countMost is how old it may be when no leader answers.
	countMost = 2 * time.Second
)

// FleetClient asks the fleet's leader, in this process or another.
type FleetClient struct {
	node  *Node
	local Fleet

	mu        sync.Mutex
	waiting   map[string]int64
	waitingAt time.Time
}

// NewFleetClient returns a client; local is this process's own part.
func NewFleetClient(node *Node, local Fleet) *FleetClient {
	return &FleetClient{node: node, local: local}
}

// leader returns the other process's client, or nil if this one leads or none is known.
func (f *FleetClient) leader() (peer memberpb.Member, isSelf bool) {
	member, isSelf, ok := f.node.Leader()
	if isSelf || !ok || !member.Address.IsValid() {
		return nil, isSelf
	}
	return f.node.Dial(member.Address), false
}

// Accepted tells the leader of jobs that the store holds. A leader that does
// not hear it reads them from the store's feed.
func (f *FleetClient) NotifyAccepted(ctx context.Context, submissions [][]byte) {
	peer, isSelf := f.leader()
	if isSelf {
		f.local.Accept(submissions)
		return
	}
	if peer == nil {
		return
	}
	if _, err := peer.Accept(ctx, &memberpb.AcceptRequest{Submissions: submissions}); err != nil {
		f.node.config.Journal.Info("leader not told of jobs", "jobs", len(submissions), "error", err.Error())
	}
}

// Cancelled tells the leader of a cancel that the store holds.
func (f *FleetClient) NotifyCancelled(ctx context.Context, id job.ID) {
	peer, isSelf := f.leader()
	if isSelf {
		f.local.Cancel(id)
		return
	}
	if peer == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	if _, err := peer.Cancel(ctx, &memberpb.CancelRequest{Id: string(id)}); err != nil {
		f.node.config.Journal.Info("leader not told of a cancel", "request-id", id, "error", err.Error())
	}
}

// State asks for a job's state.
func (f *FleetClient) State(ctx context.Context, id job.ID) (state job.State, known, answered bool) {
	peer, isSelf := f.leader()
	if isSelf {
		state, known = f.local.State(id)
		return state, known, f.local.Leading()
	}
	if peer == nil {
		return "", false, false
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	reply, err := peer.State(ctx, &memberpb.StateRequest{Id: string(id)})
	if err != nil || !reply.Leading {
		return "", false, false
	}
	return job.State(reply.State), reply.Known, true
}

// Waiting returns how many of a queue's jobs have not begun.
func (f *FleetClient) Waiting(ctx context.Context, queue string) (int, bool) {
	peer, isSelf := f.leader()
	if isSelf && f.local.Leading() {
		return f.local.Waiting()[queue], true
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if time.Since(f.waitingAt) < countAge {
		return int(f.waiting[queue]), true
	}
	if peer != nil {
		asking, cancel := context.WithTimeout(ctx, askTimeout)
		reply, err := peer.Waiting(asking, &memberpb.WaitingRequest{})
		cancel()
		if err == nil && reply.Leading {
			f.waiting, f.waitingAt = reply.Waiting, time.Now()
		}
	}
	if time.Since(f.waitingAt) > countMost {
		return 0, false
	}
	return int(f.waiting[queue]), true
}

// Unservable returns why no host can ever run a step's task, or "".
func (f *FleetClient) Unschedulable(step job.Step) string {
	f.node.mu.Lock()
	largest := f.node.largest
	f.node.mu.Unlock()
	if own := f.node.config.MaxHostResources(); own.CPU > 0 {
		largest = own
	}
	if largest.CPU > 0 && !step.Reserved().FitsIn(largest) {
		return "a task is larger than any endpoint"
	}
	return ""
}
