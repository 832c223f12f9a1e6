package entry

import (
	"context"
	"encoding/hex"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lovagedyke/lovagedyke/internal/claim"
	"github.com/lovagedyke/lovagedyke/internal/peer"
	"github.com/lovagedyke/lovagedyke/internal/peer/peerpb"
	"github.com/lovagedyke/lovagedyke/internal/roster"
	"github.com/lovagedyke/lovagedyke/internal/table"
)

const (
	// claimTickInterval is the time between two ticks of the replica.
	claimTickInterval = 25 * time.Millisecond
	// claimInterval and finishInterval bound the transactions of one entry.
	// With them, seven entries write at most 280 transactions per second.
	claimInterval  = 25 * time.Millisecond
	finishInterval = 250 * time.Millisecond
	// claimProbeInterval is the time between acknowledgements of a roster, and
	// so the delay of claims on IDs whose primary has changed.
	claimProbeInterval = 100 * time.Millisecond
	// claimCallTimeout bounds one call to the table or a peer about claims.
	claimCallTimeout = 2 * time.Second
	// releaseTimeout bounds the attempts to release a claim.
	releaseTimeout = 10 * time.Second
	// maxClaimAttempts bounds how often a claim is requested while its primary
	// changes.
	maxClaimAttempts = 5
	// claimRetryDelay lets a roster change spread before the claim is requested
	// again.
	claimRetryDelay = 20 * time.Millisecond
	// maxClaimEvents bounds the queue of the replica's events.
	maxClaimEvents = 4096
)

// errClaimsStopped is returned for claims while the process stops.
var errClaimsStopped = errors.New("claim replica has stopped: the entry is shutting down")

// peerNode is the part of node.Node that claims and charges use.
type peerNode interface {
	Self() roster.Member
	Store() table.Store
	Roster() (roster.Roster, uint64)
	Dial(member roster.Member) peerpb.Peer
	PollNow()
}

// claims runs a claim.Replica: an event loop owns it, and each table or peer
// call that the replica requests runs in its own goroutine.
type claims struct {
	*eventLoop[claim.Effect]
	node     peerNode
	replica  *claim.Replica
	sequence atomic.Uint64
	// runInBackground runs work that the caller does not wait for.
	runInBackground func(func(ctx context.Context))

	// answerWaiters and confirmWaiters are owned by the event loop.
	answerWaiters  map[claim.Token]chan claim.Answer
	confirmWaiters map[claim.Token]chan claim.Confirm
}

// newClaims returns claims. Requests wait until run is called.
func newClaims(node peerNode, retention time.Duration) *claims {
	return &claims{
		eventLoop: newEventLoop[claim.Effect](maxClaimEvents),
		node:      node,
		replica: claim.New(claim.Config{
			Self: node.Self().Identity, Retention: retention, ProbeInterval: claimProbeInterval,
			ClaimInterval: claimInterval, FinishInterval: finishInterval,
		}),
		answerWaiters:  make(map[claim.Token]chan claim.Answer),
		confirmWaiters: make(map[claim.Token]chan claim.Confirm),
	}
}

// run runs the event loop until the context ends.
func (c *claims) run(ctx context.Context) {
	c.eventLoop.run(ctx, claimTickInterval, c.replica.Tick, c.execute)
}

// execute executes an effect of the replica.
func (c *claims) execute(ctx context.Context, effect claim.Effect) {
	switch effect := effect.(type) {
	case claim.Commit:
		c.callTable(ctx, effect.Call, func(ctx context.Context) ([]table.Row, error) {
			return nil, c.node.Store().Commit(ctx, effect.Txn)
		})
	case claim.Get:
		c.callTable(ctx, effect.Call, func(ctx context.Context) ([]table.Row, error) {
			return c.node.Store().Get(ctx, effect.Keys...)
		})
	case claim.Scan:
		c.callTable(ctx, effect.Call, func(ctx context.Context) ([]table.Row, error) {
			return c.node.Store().Scan(ctx, effect.Prefix)
		})
	case claim.AskSecondary:
		c.calls.Go(func() { c.mirrorToSecondary(ctx, effect) })
	case claim.Confirm:
		if waiter, ok := c.confirmWaiters[effect.Record.Token]; ok {
			waiter <- effect
			delete(c.confirmWaiters, effect.Record.Token)
		}
	case claim.Answer:
		if waiter, ok := c.answerWaiters[effect.Token]; ok {
			waiter <- effect
			delete(c.answerWaiters, effect.Token)
		}
	case claim.StaleRoster:
		c.node.PollNow()
	}
}

// callTable calls the table and posts the result to the replica.
func (c *claims) callTable(ctx context.Context, call uint64, fn func(context.Context) ([]table.Row, error)) {
	c.calls.Go(func() {
		ctx, cancel := context.WithTimeout(ctx, claimCallTimeout)
		defer cancel()
		rows, err := fn(ctx)
		c.post(func(now time.Time) []claim.Effect {
			return c.replica.HandleTableResult(now, claim.TableResult{Call: call, Rows: rows, Err: err})
		})
	})
}

// mirrorToSecondary has a peer record a claim as the secondary, and posts its
// confirmation to the replica.
func (c *claims) mirrorToSecondary(ctx context.Context, mirror claim.AskSecondary) {
	ctx, cancel := context.WithTimeout(ctx, claimCallTimeout)
	defer cancel()
	record, err := peer.RecordMessage(mirror.Record)
	if err != nil {
		return
	}
	reply, err := c.node.Dial(mirror.To).Mirror(ctx, &peerpb.MirrorRequest{
		From: peer.IdentityMessage(mirror.From), RosterVersion: mirror.Version, Record: record,
	})
	if err != nil {
		return
	}
	confirmed, err := peer.Record(reply.GetRecord())
	if err != nil {
		return
	}
	c.post(func(now time.Time) []claim.Effect {
		return c.replica.HandleConfirm(now, claim.Confirm{
			To: mirror.From, From: mirror.To.Identity, Version: reply.GetRosterVersion(),
			Record: confirmed, Recorded: reply.GetRecorded(),
		})
	})
}

// rosterChanged passes a new roster to the replica.
func (c *claims) rosterChanged(members roster.Roster, rowVersion uint64) {
	c.post(func(now time.Time) []claim.Effect {
		return c.replica.ApplyRoster(now, members, rowVersion)
	})
}

// newToken returns a token for a new attempt that is claimed at the primary.
func (c *claims) newToken(primary roster.Identity) claim.Token {
	return claim.Token{Claimant: c.node.Self().Identity, Primary: primary, Sequence: c.sequence.Add(1)}
}

// acquire requests a claim from the ID's primary. If the ID has moved to
// another primary, it repeats the request there with a new token. An error
// means that no answer arrived: the caller must release the claim of the
// returned answer's token.
func (c *claims) acquire(ctx context.Context, request claim.Request) (claim.Answer, error) {
	var answer claim.Answer
	for range maxClaimAttempts {
		members, _ := c.node.Roster()
		primary, _ := members.Pair(claim.BucketKey(request.ID.Bucket()))
		if primary.Name == "" {
			return claim.Answer{Outcome: claim.OutcomeMoved}, nil
		}
		request.Version = members.Version
		request.Token = c.newToken(primary.Identity)
		var err error
		answer, err = c.requestFromPrimary(ctx, primary, request)
		if err != nil || answer.Outcome != claim.OutcomeMoved {
			return answer, err
		}
		// The former primary may have begun to record the claim.
		staleToken := request.Token
		c.runInBackground(func(ctx context.Context) { c.release(ctx, request.ID, staleToken) })
		c.node.PollNow()
		select {
		case <-ctx.Done():
			return answer, ctx.Err()
		case <-time.After(claimRetryDelay):
		}
	}
	return answer, nil
}

// requestFromPrimary requests a claim from the primary, which is this process
// or a peer.
func (c *claims) requestFromPrimary(ctx context.Context, primary roster.Member, request claim.Request) (claim.Answer, error) {
	unanswered := claim.Answer{Token: request.Token}
	if primary.Identity == c.node.Self().Identity {
		return c.requestLocal(ctx, request)
	}
	reply, err := c.node.Dial(primary).Claim(ctx, peer.ClaimMessage(request))
	if err != nil {
		return unanswered, errors.Wrapf(err, "request claim from primary %s", primary.Name)
	}
	return peer.Answer(request.Token, reply)
}

// requestLocal requests a claim from this process's replica as the primary.
func (c *claims) requestLocal(ctx context.Context, request claim.Request) (claim.Answer, error) {
	waiter := make(chan claim.Answer, 1)
	posted := c.post(func(now time.Time) []claim.Effect {
		c.answerWaiters[request.Token] = waiter
		return c.replica.Request(now, request)
	})
	unanswered := claim.Answer{Token: request.Token}
	if !posted {
		return unanswered, errClaimsStopped
	}
	select {
	case answer := <-waiter:
		return answer, nil
	case <-ctx.Done():
		c.post(func(time.Time) []claim.Effect {
			delete(c.answerWaiters, request.Token)
			return nil
		})
		return unanswered, ctx.Err()
	case <-c.stopped:
		return unanswered, errClaimsStopped
	}
}

// mirrorLocal records a claim in this process's replica as the secondary.
func (c *claims) mirrorLocal(ctx context.Context, mirror claim.AskSecondary) (claim.Confirm, error) {
	waiter := make(chan claim.Confirm, 1)
	posted := c.post(func(now time.Time) []claim.Effect {
		c.confirmWaiters[mirror.Record.Token] = waiter
		return c.replica.Mirror(now, mirror)
	})
	if !posted {
		return claim.Confirm{}, errClaimsStopped
	}
	select {
	case confirm := <-waiter:
		return confirm, nil
	case <-ctx.Done():
		c.post(func(time.Time) []claim.Effect {
			delete(c.confirmWaiters, mirror.Record.Token)
			return nil
		})
		return claim.Confirm{}, ctx.Err()
	case <-c.stopped:
		return claim.Confirm{}, errClaimsStopped
	}
}

// finish reports the outcome of a granted attempt to the primary. If the
// primary cannot be reached, the record stays claimed until its run limit and
// counts as unknown after that.
func (c *claims) finish(ctx context.Context, record claim.Record, state claim.State, result *claim.Result) {
	primary, ok := c.primary(record.ID)
	if !ok {
		return
	}
	if primary.Identity == c.node.Self().Identity {
		c.finishLocal(record, state, result)
		return
	}
	encoded, err := peer.RecordMessage(record)
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, claimCallTimeout)
	defer cancel()
	_, _ = c.node.Dial(primary).Finish(ctx, &peerpb.FinishRequest{
		Record: encoded, State: string(state), Result: peer.ResultMessage(result),
	})
}

// finishLocal records an outcome in this process's replica and waits until it
// is recorded.
func (c *claims) finishLocal(record claim.Record, state claim.State, result *claim.Result) bool {
	recorded, _ := query(c.eventLoop, func(now time.Time) (bool, []claim.Effect) {
		return c.replica.Finish(now, record, state, result)
	})
	return recorded
}

// release tells the primary that the attempt will never be dispatched, and
// retries until the primary has accepted that or releaseTimeout has passed.
// After that the claim stays, and counts as unknown once its run limit has
// passed.
func (c *claims) release(ctx context.Context, id claim.ID, token claim.Token) {
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	for ctx.Err() == nil {
		primary, ok := c.primary(id)
		if ok && c.releaseAt(ctx, primary, id, token) {
			return
		}
		select {
		case <-ctx.Done():
		case <-c.stopped:
			return
		case <-time.After(claimCallTimeout / 4):
		}
	}
}

// releaseAt makes one attempt to release the claim at the primary.
func (c *claims) releaseAt(ctx context.Context, primary roster.Member, id claim.ID, token claim.Token) bool {
	if primary.Identity == c.node.Self().Identity {
		return c.releaseLocal(id, token)
	}
	ctx, cancel := context.WithTimeout(ctx, claimCallTimeout)
	defer cancel()
	reply, err := c.node.Dial(primary).Release(ctx, &peerpb.ReleaseRequest{
		Id: peer.ClaimIDMessage(id), Token: peer.TokenMessage(token),
	})
	return err == nil && reply.GetTaken()
}

// releaseLocal releases a claim in this process's replica. It returns false if
// the replica has stopped.
func (c *claims) releaseLocal(id claim.ID, token claim.Token) bool {
	return c.post(func(now time.Time) []claim.Effect {
		return c.replica.Release(now, id, token)
	})
}

// primary returns the ID's primary in the newest roster.
func (c *claims) primary(id claim.ID) (roster.Member, bool) {
	members, _ := c.node.Roster()
	primary, _ := members.Pair(claim.BucketKey(id.Bucket()))
	return primary, primary.Name != ""
}

// snapshot returns the replica's state for the dump.
func (c *claims) snapshot() claim.Snapshot {
	snapshot, _ := query(c.eventLoop, func(time.Time) (claim.Snapshot, []claim.Effect) { return c.replica.Snapshot(), nil })
	return snapshot
}

// claimID returns the claim ID of an idempotent request.
func claimID(c *call) claim.ID {
	return claim.ID{Team: c.team, Service: c.entry.Name, Key: c.idempotencyKey}
}

// claimRequest returns the request to claim the only attempt of an idempotent
// request.
func claimRequest(c *call) claim.Request {
	return claim.Request{
		ID: claimID(c), Digest: hex.EncodeToString(c.digest[:]), RunLimit: c.entry.LongestRun,
	}
}
