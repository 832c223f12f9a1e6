package member

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/lovagedyke/lovagedyke/internal/admission"
	"github.com/lovagedyke/lovagedyke/internal/fleet"
	"github.com/lovagedyke/lovagedyke/internal/job"
	"github.com/lovagedyke/lovagedyke/internal/member/memberpb"
)

const (
	// leaderCallTimeout bounds a call to the leader; callers then fall back to
	// the store.
	leaderCallTimeout = 600 * time.Millisecond
	// countCacheTime is how long queue counts are served from the cache (the
	// platform's API allows counts that are 2 s old).
	countCacheTime = 700 * time.Millisecond
	// maxCountAge is the maximum age of a count when no leader answers.
	maxCountAge = 2 * time.Second
)

// FleetClient calls the fleet's leader, in this process or another.
type FleetClient struct {
	node  *Node
	local Fleet

	mu        sync.Mutex
	waiting   map[string]int64
	waitingAt time.Time
}

// NewFleetClient returns a client; local is used while this process leads.
func NewFleetClient(node *Node, local Fleet) *FleetClient {
	return &FleetClient{node: node, local: local}
}

// leader returns the client of the leading process, or nil if this process
// leads or no leader is known.
func (f *FleetClient) leader() (peer memberpb.Member, isSelf bool) {
	member, isSelf, ok := f.node.Leader()
	if isSelf || !ok || !member.Address.IsValid() {
		return nil, isSelf
	}
	return f.node.Dial(member.Address), false
}

// NotifyAccepted notifies the leader of stored jobs. If that fails, the leader
// reads them from the store's feed.
func (f *FleetClient) NotifyAccepted(ctx context.Context, submissions [][]byte) {
	peer, isSelf := f.leader()
	if isSelf {
		f.local.Accept(submissions)
		return
	}
	if peer == nil {
		return
	}
	token := f.node.leaderToken()
	reply, err := peer.Accept(ctx, &memberpb.AcceptRequest{Submissions: submissions})
	if err != nil {
		f.node.config.Journal.Info("leader not notified of accepted jobs", "jobs", len(submissions), "error", err.Error())
		return
	}
	if reply.Leading {
		// The token is that of the leader that was asked, or of an earlier one.
		f.node.outlooks.Receive(token, reply.Outlook, time.Now())
	}
}

// Outlook returns the newest outlook for new jobs and how long ago it was received, or
// false if none has been.
func (f *FleetClient) Outlook(now time.Time) (outlook admission.Outlook, age time.Duration, ok bool) {
	if _, isSelf := f.leader(); isSelf && f.local.Leading() {
		f.node.outlooks.Receive(f.node.leaderToken(), f.local.Outlook(), now)
	}
	return f.node.outlooks.Current(now)
}

// NotifyCancelled notifies the leader of a stored cancel.
func (f *FleetClient) NotifyCancelled(ctx context.Context, id job.ID) {
	peer, isSelf := f.leader()
	if isSelf {
		f.local.Cancel(id)
		return
	}
	if peer == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, leaderCallTimeout)
	defer cancel()
	if _, err := peer.Cancel(ctx, &memberpb.CancelRequest{Id: string(id)}); err != nil {
		f.node.config.Journal.Info("leader not notified of a cancelled job", "request-id", id, "error", err.Error())
	}
}

// State asks the leader for a job's state.
func (f *FleetClient) State(ctx context.Context, id job.ID) (state job.State, known, answered bool) {
	peer, isSelf := f.leader()
	if isSelf {
		state, known = f.local.State(id)
		return state, known, f.local.Leading()
	}
	if peer == nil {
		return "", false, false
	}
	ctx, cancel := context.WithTimeout(ctx, leaderCallTimeout)
	defer cancel()
	reply, err := peer.State(ctx, &memberpb.StateRequest{Id: string(id)})
	if err != nil || !reply.Leading {
		return "", false, false
	}
	return job.State(reply.State), reply.Known, true
}

// Waiting returns the number of a queue's jobs that have not started.
func (f *FleetClient) Waiting(ctx context.Context, queue string) (int, bool) {
	peer, isSelf := f.leader()
	if isSelf && f.local.Leading() {
		return f.local.Waiting()[queue], true
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if time.Since(f.waitingAt) < countCacheTime {
		return int(f.waiting[queue]), true
	}
	if peer != nil {
		callCtx, cancel := context.WithTimeout(ctx, leaderCallTimeout)
		reply, err := peer.Waiting(callCtx, &memberpb.WaitingRequest{})
		cancel()
		if err == nil && reply.Leading {
			f.waiting, f.waitingAt = reply.Waiting, time.Now()
		}
	}
	if time.Since(f.waitingAt) > maxCountAge {
		return 0, false
	}
	return int(f.waiting[queue]), true
}

// Unschedulable returns why no host can ever run a step's task, or "".
func (f *FleetClient) Unschedulable(step job.Step) string {
	f.node.mu.Lock()
	maxHostResources, sizes := f.node.maxHostResources, f.node.hostSizes
	f.node.mu.Unlock()
	if own := f.node.ownHostSizes(); len(own) > 0 {
		sizes = own
	}
	if own := f.node.config.MaxHostResources(); own.CPU > 0 {
		maxHostResources = own
	}
	if maxHostResources.CPU > 0 && !step.Reserved().FitsIn(maxHostResources) {
		return "a task is larger than any endpoint"
	}
	if most := fleet.MaxTasksAtOnce(step, sizes); step.Gang && len(sizes) > 0 && step.Count > most {
		return fmt.Sprintf("a gang of %d tasks is larger than all endpoints together, which have room for %d", step.Count, most)
	}
	return ""
}
